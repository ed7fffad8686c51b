#ifndef FIREFLYSLIP_PROGRAM_UPSTREAM_CALL_H_
#define FIREFLYSLIP_PROGRAM_UPSTREAM_CALL_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>

#include "fireflyslip/core.h"
#include "fireflyslip/http.h"
#include "fireflyslip/link.h"

namespace fireflyslip {

/// \brief Result of a call to the upstream.
struct upstream_result {
  int http_status = 0;
  std::string content_type;
  std::string body;  ///< Of a service call; model answers are passed as parts.
};

/// \brief One call to the engine or service on the VM of the agent.
class upstream_call {
 public:
  /// \brief Receives each part of a model answer and the version that produced
  /// it.
  using part_function =
      std::function<void(const model_version& version, std::string data)>;

  upstream_call(http_client& client, http_endpoint upstream);

  /// \brief Runs the attempt. Fails with `kNoUpstream` or `kOverloaded` if
  /// nothing was run, else with `kUpstreamFailed`, `kVersionChanged`, or
  /// `kOutcomeUnknown` if the deadline passed. `on_part` must outlive the call.
  boost::asio::awaitable<result<upstream_result>> Run(
      const attempt_message& attempt,
      time_point deadline,
      const part_function& on_part);

  /// \brief Closes the connection, which makes the upstream cancel the request.
  void Cancel();

  /// \brief Whether the connection was lost during a model request, as it is
  /// when the engine crashes.
  bool connection_lost() const { return connection_lost_; }

 private:
  boost::asio::awaitable<result<upstream_result>> RunModel(
      const attempt_message& attempt,
      time_point deadline,
      const part_function& on_part);
  boost::asio::awaitable<result<upstream_result>> RunService(
      const attempt_message& attempt,
      time_point deadline);
  error ClassifyModelFailure(const error& failure, time_point deadline);

  http_client& client_;
  http_endpoint upstream_;
  std::shared_ptr<response_reader> reader_;
  bool cancelled_ = false;
  bool connection_lost_ = false;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_UPSTREAM_CALL_H_
