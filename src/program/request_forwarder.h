#ifndef FIREFLYSLIP_PROGRAM_REQUEST_FORWARDER_H_
#define FIREFLYSLIP_PROGRAM_REQUEST_FORWARDER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "fireflyslip/delivery.h"
#include "fireflyslip/link.h"
#include "fireflyslip/retry.h"
#include "fireflyslip/runtime.h"
#include "program/answer_writer.h"
#include "program/crash_guard.h"
#include "program/process_context.h"
#include "program/request_context.h"
#include "program/upstream_directory.h"

namespace fireflyslip {

/// \brief Sends the attempts of requests to agents and streams the answers to
/// the callers. Retries or resumes an attempt when that cannot execute a
/// non-idempotent request twice. Used on the traffic thread.
///
/// A non-idempotent attempt that may have reached an agent is never repeated.
/// If its link is lost, the agent is queried for its outcome.
class request_forwarder {
 public:
  using send_function =
      std::function<void(const vm_id& peer, link_message message)>;

  request_forwarder(boost::asio::io_context& context,
                    process_context& process,
                    timer_service& timers,
                    upstream_directory& upstreams,
                    crash_guard& crashes,
                    send_function send);

  /// \brief Runs attempts until all parts of the answer are forwarded or the
  /// request fails. Sets `http_status` and `content_type` of the context on
  /// success and `known_outcome` on failure.
  boost::asio::awaitable<status> Forward(request_context& context,
                                         answer_writer& writer);

  void OnAgentConnected(const vm_id& agent, incarnation_number incarnation);
  void OnAgentLost(const vm_id& agent);
  void OnMessage(const vm_id& agent, answer_part_message message);
  void OnMessage(const vm_id& agent, answer_end_message message);
  void OnMessage(const vm_id& agent, const fate_message& message);

 private:
  struct link_lost {};
  struct link_restored {
    incarnation_number incarnation = 0;
  };
  using attempt_event = std::variant<answer_part_message,
                                     answer_end_message,
                                     fate_message,
                                     link_lost,
                                     link_restored>;
  struct in_flight_request {
    vm_id upstream;  ///< Agent that the current attempt was sent to.
    incarnation_number incarnation = 0;
    std::unique_ptr<async_queue<attempt_event>> events;
  };
  /// \brief Result of one attempt.
  struct attempt_result {
    enum class kind { kFinished, kFailed, kTimedOut, kCallerDisconnected };

    kind ended = kind::kFailed;
    error problem;
    outcome known_outcome = outcome::kUnknown;
    /// The assembler has discarded the attempt and expects a new one.
    bool abandoned = false;
    bool final = false;  ///< No further attempt is allowed.
  };
  /// \brief State of one request while its attempts run.
  struct forwarding_state {
    request_context& context;
    answer_writer& writer;
    in_flight_request& in_flight;
    answer_assembler assembler;
    attempt_id attempt;
    std::set<vm_id> excluded;
    std::optional<model_version> version;  ///< Version of forwarded parts.
    /// Set while the link is lost or the agent is queried for the outcome of
    /// the attempt; when it passes, the outcome is unknown.
    std::optional<time_point> outcome_deadline;
  };
  /// Empty while the attempt is in progress.
  using optional_result = std::optional<attempt_result>;

  boost::asio::awaitable<status> RunAttempts(forwarding_state& state);
  boost::asio::awaitable<attempt_result> RunAttempt(forwarding_state& state);
  boost::asio::awaitable<optional_result> WaitForEvent(forwarding_state& state);
  boost::asio::awaitable<optional_result> OnEvent(forwarding_state& state,
                                                  attempt_event& event);
  boost::asio::awaitable<optional_result> ApplyActions(
      forwarding_state& state,
      const std::vector<answer_assembler::action>& actions);
  boost::asio::awaitable<attempt_result> CancelAtDeadline(
      forwarding_state& state);
  /// \brief Waits for the retry delay and selects the upstream of the next
  /// attempt. Fails with the error for the caller if no retry is allowed.
  boost::asio::awaitable<status> PrepareRetry(forwarding_state& state,
                                              const attempt_result& failed);
  boost::asio::awaitable<void> Sleep(duration delay);

  void SendAttempt(forwarding_state& state);
  optional_result OnAnswerEnd(forwarding_state& state,
                              const answer_end_message& end);
  optional_result OnOutcomeReport(forwarding_state& state,
                                  const fate_message& report);
  optional_result OnLinkLost(forwarding_state& state);
  optional_result OnLinkRestored(forwarding_state& state,
                                 const link_restored& link);
  static std::optional<error> AbandonAttempt(forwarding_state& state,
                                             const attempt_result& failed);
  void RestartIfNotResumable(forwarding_state& state);
  void RecordRetry(const forwarding_state& state, const error& reason);
  retry_controller::action DecideRetry(const forwarding_state& state,
                                       const attempt_result& failed);
  static error FailRequest(forwarding_state& state, error problem);
  void RecordFirstPart(const forwarding_state& state);
  attempt_message MakeAttemptMessage(const forwarding_state& state) const;
  in_flight_request* FindInFlight(const vm_id& agent,
                                  const attempt_id& attempt);

  boost::asio::io_context& context_;
  process_context& process_;
  upstream_directory& upstreams_;
  crash_guard& crashes_;
  send_function send_;
  core_driver<retry_controller> retries_;
  std::optional<retry_controller::action> retry_decision_;
  std::map<request_id, in_flight_request> in_flight_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_REQUEST_FORWARDER_H_
