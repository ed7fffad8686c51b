#ifndef FIREFLYSLIP_PROGRAM_ENTRY_ADMISSION_H_
#define FIREFLYSLIP_PROGRAM_ENTRY_ADMISSION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>

#include "fireflyslip/admission.h"
#include "fireflyslip/link.h"
#include "fireflyslip/runtime.h"
#include "program/fleet_snapshot.h"
#include "program/process_context.h"
#include "program/request_context.h"

namespace fireflyslip {

/// \brief Enforces the contracts at one entry and lends unused shares to the
/// other entries. Used on the traffic thread.
class entry_admission {
 public:
  using send_function =
      std::function<void(const vm_id& peer, link_message message)>;

  entry_admission(process_context& process,
                  timer_service& timers,
                  send_function send);

  /// \brief Admits a request, or fails with `kRateLimited` and sets
  /// `context.retry_after`.
  status Admit(request_context& context);

  /// \brief Replaces the estimate of an admitted request by what it used.
  void Used(const request_context& context);

  void OnSnapshot(const fleet_snapshot& snapshot);
  void OnEntryConnected(const vm_id& peer) { connected_.insert(peer); }
  void OnEntryLost(const vm_id& peer);
  void OnMessage(const vm_id& peer, const share_request_message& message);
  void OnMessage(const vm_id& peer, const share_grant_message& message);

  /// \brief Expires borrowed shares whose time ran out while the process was
  /// paused.
  void OnPause() { ledger_.Handle(tick{}); }

 private:
  struct demand {
    double requests_per_second = 0;  // of the contract
    double tokens_per_second = 0;    // of the contract
    double requests = 0;             // since the last measurement
    double tokens = 0;
    double fraction = 0;
  };
  /// What is left of the burst that a workspace may use after the start.
  struct start_allowance {
    double requests = 0;
    double tokens = 0;
  };

  void Carry(const admission_controller::action& action);
  void Carry(const share_ledger::action& action);
  bool TakeStartAllowance(const request_context& context, bool admitted);
  void MeasureDemand();

  process_context& process_;
  send_function send_;
  core_driver<admission_controller> controller_;
  core_driver<share_ledger> ledger_;
  std::set<vm_id> connected_;
  std::vector<workspace_limits> limits_;
  std::vector<vm_id> peers_;
  std::map<workspace_id, demand> demands_;
  std::map<workspace_id, start_allowance> start_allowances_;
  std::optional<time_point> start_ends_;
  std::optional<admission_controller::reject> rejected_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_ENTRY_ADMISSION_H_
