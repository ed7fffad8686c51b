#include "standins/service_standin.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "standins/async_condition.h"

namespace fireflyslip::standins {
namespace net = boost::asio;

net::awaitable<void> service_standin::Handle(const http_request& request,
                                             http_exchange& exchange) {
  http_response response;
  if (request.method == "GET" && request.path == "/control/executions") {
    response = JsonResponse(200, {{"total", total_}, {"keys", executions_}});
    co_await exchange.Send(std::move(response));
    co_return;
  }
  const std::string key = request.Header("idempotency-key");
  ++total_;
  const std::uint64_t execution = key.empty() ? total_ : ++executions_[key];
  if (work_.count() > 0) {
    co_await SleepUntil(std::chrono::steady_clock::now() + work_);
  }
  response = JsonResponse(200, {{"method", request.method},
                                {"path", request.target},
                                {"key", key},
                                {"execution", execution}});
  co_await exchange.Send(std::move(response));
}

}  // namespace fireflyslip::standins
