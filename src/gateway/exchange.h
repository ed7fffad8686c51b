#ifndef FIREFLYSLIP_GATEWAY_EXCHANGE_H_
#define FIREFLYSLIP_GATEWAY_EXCHANGE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "fireflyslip/catalog.h"
#include "fireflyslip/http.h"
#include "fireflyslip/placement.h"
#include "gateway/stream_cursor.h"
#include "platform/call_codec.h"

namespace fireflyslip {

class gateway;

/// \brief One request of a client on its way through the gateway.
///
/// It passes its filters in one direction: identify, authorize, place, attempt,
/// deliver; only a failed attempt returns it to placement.
class exchange : public std::enable_shared_from_this<exchange> {
 public:
  exchange(gateway& owner,
           dispatch_id id,
           http_request request,
           response_writer& client);

  /// \brief Answers the request. `client` must outlive the call.
  boost::asio::awaitable<void> Run();

  dispatch_id id() const { return id_; }
  /// \brief Placement chose an upstream.
  void OnStart(const dispatcher::start& chosen);
  /// \brief Placement refused the request.
  void OnRefuse(const dispatcher::refuse& refusal);

 private:
  enum class stop_cause { kNone, kClientLeft, kTimeUp };

  struct attempt_report {
    bool delivered = false;
    attempt_outcome fate = attempt_outcome::kMayHaveRun;
    attempt_status health = attempt_status::kSucceeded;
    std::string detail;
    std::optional<http_response> failure;  // of the upstream, to hand on
  };

  std::optional<error> Identify();
  std::optional<error> Authorize();
  void Stop(stop_cause cause);
  void ArmTimer();
  boost::asio::awaitable<bool> Place();
  boost::asio::awaitable<attempt_report> Attempt();
  boost::asio::awaitable<attempt_report> ReadPlain(
      std::shared_ptr<response_reader> reader);
  boost::asio::awaitable<attempt_report> RelayStream(
      std::shared_ptr<response_reader> reader);
  boost::asio::awaitable<bool> DeliverEvents(const http_response& head,
                                             std::string events);
  boost::asio::awaitable<void> AnswerFailure(retry_decision step,
                                             const attempt_report& report);
  boost::asio::awaitable<void> AnswerProblem(const error& problem);
  boost::asio::awaitable<void> AnswerStopped();

  http_request MakeAttempt() const;
  attempt_report BrokenReport(time_point started,
                              duration allowed,
                              const error& problem) const;
  duration TimeLeft() const;
  duration SilenceBound() const;
  duration ReadTime() const;
  double Cost() const;
  void LogOutcome();

  gateway& owner_;
  const dispatch_id id_;
  http_request request_;
  response_writer& client_;

  platform::request_metadata call_;
  std::shared_ptr<const deployment> catalog_;
  const route* route_ = nullptr;  // in catalog_
  service_name service_;
  workspace_id workspace_;
  int priority_ = 0;  // that of the workspace goes before that of the route

  time_point received_;
  time_point end_;  // of the client's patience and the route's timeout
  stop_cause stopped_ = stop_cause::kNone;
  bool answered_ = false;  // the last byte for the client is on its way
  boost::asio::steady_timer wake_;   // placement has decided
  boost::asio::steady_timer alarm_;  // end_
  std::shared_ptr<call_canceller> canceller_;

  std::optional<dispatcher::start> placed_;
  std::optional<dispatcher::refuse> refused_;
  attempt_history history_;
  std::set<upstream_id> excluded_;
  stream_cursor cursor_;
  bool stream_begun_ = false;
  std::optional<std::uint64_t> stream_version_;

  // For the log.
  int status_ = 0;
  std::string outcome_;
  std::string upstream_;
  std::string last_failure_;
  std::optional<duration> placed_after_;
  std::optional<duration> answered_after_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_GATEWAY_EXCHANGE_H_
