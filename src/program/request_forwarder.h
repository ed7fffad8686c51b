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

/// \brief Sends the attempts of requests to agents and their answers to the
/// callers; retries and resumes where that is safe. Used on the traffic thread.
///
/// A non-idempotent attempt that may have reached an agent is never repeated.
/// After the loss of its link the agent is asked what became of it.
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

  /// \brief Forwards all parts of the answer. On success `http_status` and
  /// `content_type` of the context are set; after a failure `known_outcome`.
  boost::asio::awaitable<status> Forward(request_context& context,
                                         answer_writer& writer);

  void OnAgentConnected(const vm_id& agent, incarnation_number incarnation);
  void OnAgentLost(const vm_id& agent);
  void OnMessage(const vm_id& agent, answer_part_message message);
  void OnMessage(const vm_id& agent, answer_end_message message);
  void OnMessage(const vm_id& agent, const fate_message& message);

 private:
  struct link_lost {};
  struct link_returned {
    incarnation_number incarnation = 0;
  };
  using attempt_event = std::variant<answer_part_message,
                                     answer_end_message,
                                     fate_message,
                                     link_lost,
                                     link_returned>;
  struct open_request {
    vm_id upstream;  ///< Of the present attempt.
    incarnation_number incarnation = 0;
    std::unique_ptr<async_queue<attempt_event>> events;
  };
  /// \brief How an attempt ended.
  struct attempt_result {
    enum class kind { kFinished, kFailed, kTimedOut, kCallerLeft };

    kind ended = kind::kFailed;
    error problem;
    outcome known = outcome::kUnknown;
    bool abandoned = false;  ///< By the assembler; it awaits a new attempt.
    bool final = false;      ///< No further attempt is allowed.
  };
  /// \brief One request while its attempts run.
  struct forwarding {
    request_context& context;
    answer_writer& writer;
    open_request& open;
    answer_assembler assembler;
    attempt_id attempt;
    std::set<vm_id> excluded;
    std::optional<model_version> version;  ///< Of the forwarded parts.
    /// While set, the fate of the attempt is not known.
    std::optional<time_point> fate_deadline;
  };
  using step = std::optional<attempt_result>;

  boost::asio::awaitable<status> Run(forwarding& run);
  boost::asio::awaitable<attempt_result> RunAttempt(forwarding& run);
  boost::asio::awaitable<step> Wait(forwarding& run);
  boost::asio::awaitable<step> OnEvent(forwarding& run, attempt_event& event);
  boost::asio::awaitable<step> Carry(
      forwarding& run,
      const std::vector<answer_assembler::action>& actions);
  boost::asio::awaitable<attempt_result> CancelLate(forwarding& run);
  /// \brief Selects the upstream of the next attempt and waits for its time;
  /// fails with the error for the caller if there is none.
  boost::asio::awaitable<status> PrepareNext(forwarding& run,
                                             const attempt_result& failed);
  boost::asio::awaitable<void> Sleep(duration delay);

  void SendAttempt(forwarding& run);
  step OnEnd(forwarding& run, const answer_end_message& end);
  step OnFate(forwarding& run, const fate_message& fate);
  step OnLinkLost(forwarding& run);
  step OnLinkReturned(forwarding& run, const link_returned& link);
  static std::optional<error> Abandon(forwarding& run,
                                      const attempt_result& failed);
  void RestartIfNotResumable(forwarding& run);
  void RecordRetry(const forwarding& run, const error& reason);
  retry_controller::action Decide(const forwarding& run,
                                  const attempt_result& failed);
  static error Conclude(forwarding& run, error problem);
  void CountFirstPart(const forwarding& run);
  attempt_message MakeAttempt(const forwarding& run) const;
  open_request* FindOpen(const vm_id& agent, const attempt_id& attempt);

  boost::asio::io_context& context_;
  process_context& process_;
  upstream_directory& upstreams_;
  crash_guard& crashes_;
  send_function send_;
  core_driver<retry_controller> retries_;
  std::optional<retry_controller::action> decided_;
  std::map<request_id, open_request> open_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_REQUEST_FORWARDER_H_
