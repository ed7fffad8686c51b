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

/// \brief How a call to the upstream ended.
struct upstream_result {
  int http_status = 0;
  std::string content_type;
  std::string body;  ///< Body of a service call; parts carry model answers.
};

/// \brief One call to the engine or service beside the agent.
class upstream_call {
 public:
  /// \brief Receives each part of a model answer with the version that made it.
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

  /// \brief Closes the connection, which cancels the work of the upstream.
  void Cancel();

  /// \brief Whether the connection broke during a model run, which a crash of
  /// the engine causes.
  bool connection_lost() const { return connection_lost_; }

 private:
  boost::asio::awaitable<result<upstream_result>> RunModel(
      const attempt_message& attempt,
      time_point deadline,
      const part_function& on_part);
  boost::asio::awaitable<result<upstream_result>> RunService(
      const attempt_message& attempt,
      time_point deadline);
  error ModelFailure(const error& failure, time_point deadline);

  http_client& client_;
  http_endpoint upstream_;
  std::shared_ptr<response_reader> reader_;
  bool cancelled_ = false;
  bool connection_lost_ = false;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_UPSTREAM_CALL_H_
