#ifndef FIREFLYSLIP_PROGRAM_AGENT_TRAFFIC_H_
#define FIREFLYSLIP_PROGRAM_AGENT_TRAFFIC_H_

#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "fireflyslip/delivery.h"
#include "fireflyslip/http.h"
#include "fireflyslip/link.h"
#include "fireflyslip/runtime.h"
#include "fireflyslip/scheduling.h"
#include "program/claim_journals.h"
#include "program/fleet_snapshot.h"
#include "program/process_context.h"
#include "program/upstream_call.h"

namespace fireflyslip {

/// \brief Handles attempts on the traffic thread of an agent: drops duplicates,
/// queues attempts, writes the claims of non-idempotent calls and runs attempts
/// on the upstream.
///
/// An attempt passes through the ledger, the scheduler and, if it is
/// non-idempotent, its claim journal. Answers are sent to entries by the ledger
/// only. All functions must be called on the traffic thread.
class agent_traffic {
 public:
  using send_function =
      std::function<void(const vm_id& peer, link_message message)>;

  agent_traffic(io_thread& thread,
                process_context& process,
                send_function send);

  void Start();

  /// \brief Starts to drain: new attempts are refused after a grace period of
  /// 3 s, and accepted attempts run to their end.
  void Drain();

  /// \brief Number of queued and running attempts and of unacknowledged
  /// answers. At least 1 during the grace period of a drain.
  std::size_t in_progress() const;

  void OnSnapshot(snapshot_pointer snapshot);
  void OnPeerConnected(const hello_message& peer);
  void OnPeerLost(const vm_id& peer);
  void OnMessage(const vm_id& peer, link_message message);

  /// \brief Sets whether the engine accepts new model requests, and the version
  /// that it serves. Queued and running requests are not affected.
  void SetModelAvailability(bool accepts, model_version version);

  /// \brief Number of model requests that were accepted and have not ended.
  std::size_t running_model_requests() const;

  /// \brief Fails all running model requests.
  void OnUpstreamCrashed();

  /// \brief Called after a pause of the process, in which another agent may
  /// have taken over the journals; they are read again before use.
  void OnPause();

 private:
  enum class attempt_phase {
    kQueued,    ///< Waits in the scheduler, possibly after a preemption.
    kClaiming,  ///< Has a slot and waits until its claim is durable.
    kRunning,   ///< Runs on the upstream.
  };
  struct active_attempt {
    std::shared_ptr<attempt_message> message;
    time_point arrival;
    time_point deadline;
    bool needs_claim = false;
    attempt_phase phase = attempt_phase::kQueued;
    bool was_started = false;
    bool preempting = false;
    bool was_preempted = false;
    bool crashed = false;     ///< Was running when the upstream crashed.
    std::uint64_t parts = 0;  ///< Parts produced since the last start.
    std::shared_ptr<upstream_call> call;
  };
  using attempt_map = std::map<attempt_id, active_attempt>;

  void OnAttempt(const vm_id& entry, attempt_message message);
  std::optional<error> FindRefusal(const attempt_message& message) const;
  void Admit(const attempt_id& attempt);
  void StartAttempt(const attempt_id& attempt);
  void StopAttempt(const attempt_id& attempt);
  void PreemptAttempt(const attempt_id& attempt);
  void RefuseQueued(const request_scheduler::refuse& refusal);
  void StartUpstreamCall(const attempt_id& attempt);
  boost::asio::awaitable<void> RunCall(attempt_id attempt,
                                       std::shared_ptr<attempt_message> message,
                                       std::shared_ptr<upstream_call> call,
                                       time_point deadline);
  void OnRunEnded(const attempt_id& attempt,
                  const result<upstream_result>& ended);
  void OnClaimAnswer(const attempt_id& attempt, const stored_answer& answer);
  void OnClaimRefused(const attempt_id& attempt, const error& refusal);
  void ReportAnswer(const attempt_id& attempt, const upstream_result& answer);
  void ReportFailure(const attempt_id& attempt,
                     const error& failure,
                     outcome conclusion);
  void FinishAttempt(const attempt_id& attempt, std::uint64_t tokens);
  void ReportCrash();
  void SendLoadReports();
  void Record(event_kind kind,
              const attempt_id& attempt,
              std::vector<event_field> fields = {});

  void Apply(const attempt_ledger::action& action);
  void Apply(const request_scheduler::action& action);
  bool accepts_work() const;
  bool refuses_new_work() const;
  bool serves_model() const;

  io_thread& thread_;
  process_context& process_;
  send_function send_;
  timer_service timers_;
  http_client client_;
  snapshot_pointer snapshot_ = std::make_shared<fleet_snapshot>();
  std::map<vm_id, incarnation_number> entries_;
  core_driver<attempt_ledger> ledger_;
  core_driver<request_scheduler> scheduler_;
  claim_journals journals_;
  attempt_map attempts_;
  std::optional<attempt_message> incoming_attempt_;
  /// False until the control thread knows which version the engine serves.
  bool accepts_model_requests_ = false;
  model_version version_;
  std::optional<time_point> draining_since_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_AGENT_TRAFFIC_H_
