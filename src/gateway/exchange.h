#ifndef FIREFLYSLIP_GATEWAY_EXCHANGE_H_
#define FIREFLYSLIP_GATEWAY_EXCHANGE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "fireflyslip/catalog.h"
#include "fireflyslip/http.h"
#include "fireflyslip/placement.h"
#include "gateway/crash_monitor.h"
#include "gateway/stream_cursor.h"
#include "platform/call_codec.h"

namespace fireflyslip {

class gateway;

/// \brief Processes one client request.
///
/// The stages run in order: route matching, authorization, placement, attempt,
/// response. Only a failed attempt returns to placement.
class exchange : public std::enable_shared_from_this<exchange> {
 public:
  exchange(gateway& parent,
           dispatch_id id,
           http_request request,
           response_writer& client);

  /// \brief Processes the request and sends the response. `client` must outlive
  /// the coroutine.
  boost::asio::awaitable<void> Run();

  dispatch_id id() const { return id_; }
  /// \brief Called when placement has selected an upstream.
  void OnPlaced(const dispatcher::start& placement);
  /// \brief Called when placement has rejected the request.
  void OnRejected(const dispatcher::refuse& rejection);
  /// \brief Called when the gateway starts draining: the request is answered by
  /// `answer_by` at the latest.
  void LimitDeadline(time_point answer_by);

 private:
  enum class cancel_cause {
    kNone,
    kClientDisconnected,
    kDeadlinePassed,
    kGatewayStopping
  };

  struct attempt_report {
    bool delivered = false;
    attempt_outcome outcome = attempt_outcome::kMayHaveRun;
    attempt_status status = attempt_status::kSucceeded;
    attempt_end end = attempt_end::kResponse;
    bool refused = false;  // by the addressed upstream, not by another one
    std::string detail;
    std::optional<http_response> upstream_response;  // with an error status
    int response_status = 0;  // of any response to the request; 0 for none
    std::optional<bool> connection_reused;  // empty without any response
  };

  std::optional<error> MatchRoute();
  std::optional<error> Authorize();
  /// \brief While the gateway is stopping, limits the deadline or refuses the
  /// request.
  std::optional<error> CheckDraining();
  void Cancel(cancel_cause cause);
  void StartDeadlineTimer();
  /// \brief Whether the request or a part of its prompt crashes upstreams. A
  /// stream that has begun is not affected.
  bool IsBlocked() const;
  /// \brief Takes one retry from the budget of the service.
  bool TakeRetry();
  /// \brief Moves a retry that was taken when it was decided to the present, at
  /// which it is sent; false if the budget does not allow it any more.
  bool ConfirmRetry();
  /// \brief The regions that both the configuration at the arrival of the
  /// request and the newest one allow.
  region_restriction AllowedRegions() const;
  /// \brief Places the request once; returns whether it was placed.
  boost::asio::awaitable<bool> AwaitPlacement();
  boost::asio::awaitable<attempt_report> RunAttempt();
  /// \brief Skips responses to earlier requests on a reused connection, which a
  /// faulty upstream may repeat.
  boost::asio::awaitable<status> SkipRepeatedResponses(response_reader& reader,
                                                       time_point until);
  bool IsResponseToOther(const http_response& head) const;
  /// \brief Classifies the response by its head and reads or forwards it.
  boost::asio::awaitable<attempt_report> ReadResponse(
      std::shared_ptr<response_reader> reader);
  boost::asio::awaitable<attempt_report> ForwardResponse(
      std::shared_ptr<response_reader> reader);
  /// \brief Returns the connection of a complete response to the pool, unless a
  /// copy of the response could not be told from the response to a later
  /// request. One that was not delivered may be followed by another try.
  static void Release(response_reader& reader, bool delivered);
  /// \brief Report of a whole response that is a failure; empty if it is
  /// forwarded.
  std::optional<attempt_report> CheckResponse(
      const http_response& response) const;
  boost::asio::awaitable<attempt_report> ForwardStream(
      std::shared_ptr<response_reader> reader);
  boost::asio::awaitable<bool> WriteEvents(const http_response& head,
                                           std::string events);
  boost::asio::awaitable<void> SendFailure(retry_decision decision,
                                           const attempt_report& report);
  boost::asio::awaitable<void> SendBlocked();
  boost::asio::awaitable<void> SendProblem(const error& problem);
  boost::asio::awaitable<void> SendCancellation();

  http_request MakeUpstreamRequest() const;
  attempt_report MakeFailureReport(time_point started_at,
                                   duration read_timeout,
                                   const error& problem) const;
  /// \brief Report of a response that exceeds a limit.
  attempt_report OversizeReport(response_part part, std::size_t limit) const;
  duration RemainingTime() const;
  duration ReadTimeout() const;
  duration EstimatedPrefillTime() const;
  /// \brief Usual time until the response is complete; empty if unknown.
  std::optional<duration> ExpectedDuration() const;
  double EstimatedCost() const;
  /// \brief Hash of what is the same when a caller sends the request again.
  request_fingerprint ContentFingerprint() const;
  /// \brief Notes for the log that the end of a response is being written.
  void MarkWriting();
  /// \brief Adds a try without a delivered response to the log line.
  void RecordFailedTry(const attempt_report& report);
  void LogOutcome();

  gateway& gateway_;
  const dispatch_id id_;
  http_request request_;
  response_writer& client_;

  platform::request_metadata metadata_;
  std::shared_ptr<const deployment> catalog_;
  const route* route_ = nullptr;  // in catalog_
  service_name service_;
  workspace_id workspace_;
  int priority_ = 0;  // by workspace, then by route

  time_point received_at_;
  duration timeout_{0};  // shorter of the client's and the route's
  time_point deadline_;  // earlier if the gateway stops before the timeout
  bool limited_by_stop_ = false;  // `deadline_` is
  cancel_cause cancel_cause_ = cancel_cause::kNone;
  bool response_sent_ = false;  // the end of the response is being sent
  boost::asio::steady_timer placement_event_;  // cancelled to signal a decision
  boost::asio::steady_timer deadline_timer_;
  std::shared_ptr<call_canceller> canceller_;

  std::optional<dispatcher::start> placement_;
  std::optional<dispatcher::refuse> rejection_;
  std::optional<time_point> retry_taken_at_;  // until the retry is sent
  attempt_history history_;
  std::set<upstream_id> excluded_upstreams_;
  request_fingerprint content_ = 0;
  bool suspect_ = false;  // upstreams crashed under the request before
  stream_cursor cursor_;
  bool stream_started_ = false;
  std::optional<std::uint64_t> stream_version_;

  // Fields of the log line.
  std::string_view waits_for_ = "route";    // until the response is written
  std::optional<duration> deadline_delay_;  // of the timer, if it has expired
  std::optional<time_point> write_started_at_;  // of the last response
  int status_ = 0;
  std::string outcome_;
  std::string upstream_;
  bool refused_ = false;  // the last failed try, by the addressed upstream
  std::string last_failure_;
  std::string failed_tries_;
  std::optional<duration> placement_delay_;
  std::optional<duration> response_delay_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_GATEWAY_EXCHANGE_H_
