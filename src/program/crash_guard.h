#ifndef FIREFLYSLIP_PROGRAM_CRASH_GUARD_H_
#define FIREFLYSLIP_PROGRAM_CRASH_GUARD_H_

#include <functional>
#include <set>
#include <string>

#include "fireflyslip/link.h"
#include "fireflyslip/retry.h"
#include "fireflyslip/runtime.h"
#include "program/process_context.h"

namespace fireflyslip {

/// \brief Tracks requests that crash upstreams and shares the crash counts with
/// the other entries. Used on the traffic thread.
///
/// Fingerprints are hexadecimal strings of which only the first 16 digits are
/// compared.
class crash_guard {
 public:
  using send_function =
      std::function<void(const vm_id& peer, link_message message)>;

  crash_guard(process_context& process,
              timer_service& timers,
              send_function send);

  bool IsSuspect(const std::string& fingerprint) const;
  bool IsBlocked(const std::string& fingerprint) const;
  void OnCompleted(const std::string& fingerprint);

  void OnEntryConnected(const vm_id& peer) { entries_.insert(peer); }
  void OnEntryLost(const vm_id& peer) { entries_.erase(peer); }
  void OnMessage(const vm_id& peer, const upstream_crashed_message& message);
  void OnMessage(const crash_notice_message& message);

 private:
  void Apply(const crash_registry::action& action);

  process_context& process_;
  send_function send_;
  std::set<vm_id> entries_;
  core_driver<crash_registry> registry_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_CRASH_GUARD_H_
