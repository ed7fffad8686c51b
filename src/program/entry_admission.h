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

/// \brief Enforces the rate limits of the contracts at one entry. Each entry
/// owns a share of each contract and lends what it does not use to the other
/// entries. Used on the traffic thread.
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

  /// \brief Replaces the estimated tokens of an admitted request by the tokens
  /// that it used.
  void ReportUsage(const request_context& context);

  void OnSnapshot(const fleet_snapshot& snapshot);
  void OnEntryConnected(const vm_id& peer) { connected_.insert(peer); }
  void OnEntryLost(const vm_id& peer);
  void OnMessage(const vm_id& peer, const share_request_message& message);
  void OnMessage(const vm_id& peer, const share_grant_message& message);

  /// \brief Returns borrowed shares that expired while the process was paused.
  void OnPause() { ledger_.Handle(tick{}); }

 private:
  struct demand {
    double requests_per_second = 0;  // Limit of the contract.
    double tokens_per_second = 0;    // Limit of the contract.
    double requests = 0;             // Since the last measurement.
    double tokens = 0;               // Since the last measurement.
    double fraction = 0;             // Smoothed demand, of the contract.
  };
  /// Remainder of the burst that a workspace may use after the start of the
  /// process.
  struct startup_allowance {
    double requests = 0;
    double tokens = 0;
  };

  void Apply(const admission_controller::action& action);
  void Apply(const share_ledger::action& action);
  bool TakeStartupAllowance(const request_context& context, bool admitted);
  void MeasureDemand();

  process_context& process_;
  send_function send_;
  core_driver<admission_controller> controller_;
  core_driver<share_ledger> ledger_;
  std::set<vm_id> connected_;
  std::vector<workspace_limits> limits_;
  std::vector<vm_id> peers_;
  std::map<workspace_id, demand> demands_;
  std::map<workspace_id, startup_allowance> startup_allowances_;
  std::optional<time_point> startup_end_;
  std::optional<admission_controller::reject> rejected_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_ENTRY_ADMISSION_H_
