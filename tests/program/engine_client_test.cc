#include "program/engine_client.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <string>

#include "fireflyslip/runtime.h"
#include "http/repeating_server.h"

namespace fireflyslip {
namespace {

/// \brief Statuses of two orders and the result of the second one.
struct two_orders {
  const char* name;
  int first;
  int second;
  orders::order_result result;
};

class engine_client_test : public testing::TestWithParam<two_orders> {};

// Guards against a version that counts as failed, or against a new fence,
// although the engine has taken the order.
TEST_P(engine_client_test, Load_EarlierResponseRepeated_OwnResultReturned) {
  boost::asio::io_context context{1};
  int received = 0;
  repeating_server server(context, 200, [&](const http_request& /*order*/) {
    return http_response{++received == 1 ? GetParam().first
                                         : GetParam().second};
  });
  engine_client engine(context, server.endpoint());
  orders::send_order order;
  order.expiry = MonotonicNow() + seconds(60);
  const std::string manifest = "{}";
  RunCall(context, engine.Load(order, manifest));
  const auto answer = RunCall(context, engine.Load(order, manifest));
  EXPECT_EQ(answer.result, GetParam().result) << answer.reason;
  EXPECT_EQ(received, 2);
}

INSTANTIATE_TEST_SUITE_P(
    responses,
    engine_client_test,
    testing::Values(
        two_orders{"stale_fence_taken", 409, 200, orders::order_result::kOk},
        two_orders{"cannot_load_taken", 422, 200, orders::order_result::kOk},
        two_orders{"taken_cannot_load", 200, 422,
                   orders::order_result::kCannotLoad}),
    [](const auto& parameter) { return std::string(parameter.param.name); });

}  // namespace
}  // namespace fireflyslip
