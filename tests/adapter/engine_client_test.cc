#include "platform/engine_client.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

#include "http/repeating_server.h"

namespace fireflyslip::platform {
namespace {

// Guards against an order that counts as refused although it has begun.
TEST(platform_engine_client_test, LoadWeights_EarlierRefusalRepeated_Started) {
  boost::asio::io_context context{1};
  int orders = 0;
  repeating_server replica(context, 400, [&](const http_request& /*order*/) {
    return http_response{++orders == 1 ? 409 : 202};
  });
  engine_client engine(context, replica.endpoint());
  const model_name model("m");
  const auto refused =
      RunCall(context, engine.LoadWeights(model, 2, seconds(30)));
  ASSERT_TRUE(IsOk(refused));
  EXPECT_EQ(ValueOf(refused), weight_load_status::kBusy);
  const auto started =
      RunCall(context, engine.LoadWeights(model, 2, seconds(30)));
  ASSERT_TRUE(IsOk(started));
  EXPECT_EQ(ValueOf(started), weight_load_status::kStarted);
  EXPECT_EQ(orders, 2);
}

// Guards against a replica that counts as lost, so that gateways leave it out,
// because the copy of a refused order was taken for its report.
TEST(platform_engine_client_test, ReadLoadReport_RefusedOrderRepeated_Read) {
  boost::asio::io_context context{1};
  repeating_server replica(context, 400, [](const http_request& request) {
    return request.method == "POST"
               ? http_response{409}
               : http_response{
                     200,
                     {},
                     R"({"phase":"combined","modelList":[],"busy":false,)"
                     R"("sequence":2,"queued":1,"active":12,"kvUsage":41000,)"
                     R"("kvCapacity":90000,"kvHandles":0})"};
  });
  engine_client engine(context, replica.endpoint());
  RunCall(context, engine.LoadWeights(model_name("m"), 2, seconds(30)));
  const auto report = RunCall(context, engine.ReadLoadReport(seconds(30)));
  EXPECT_TRUE(IsOk(report)) << ErrorOf(report).detail;
}

}  // namespace
}  // namespace fireflyslip::platform
