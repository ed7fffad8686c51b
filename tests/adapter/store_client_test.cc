#include "platform/store_client.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <string>

#include "fireflyslip/http.h"

namespace fireflyslip::platform {
namespace {

using boost::asio::awaitable;

class store_client_test : public testing::Test {
 protected:
  /// Sends the response body in parts with pauses between them.
  static awaitable<void> ServeSlowly(boost::asio::io_context& context,
                                     response_writer& writer) {
    constexpr int kParts = 8;
    constexpr milliseconds kPause{250};
    http_response head;
    const bool begun = co_await writer.Begin(std::move(head));
    EXPECT_TRUE(begun);
    std::string text = R"({"entries":[],"hasMore":false,"at":7,"x":")";
    for (int i = 0; i < kParts; ++i) {
      co_await writer.Write(std::move(text));
      text = "part";
      boost::asio::steady_timer timer(context, kPause);
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
    text = "\"}";
    co_await writer.Write(std::move(text));
    co_await writer.End();
  }

  boost::asio::io_context context_;
};

// Guards against a timeout that aborts requests whose response bodies are still
// arriving, so that they are retried from the beginning endlessly. Seen when 31
// gateways read a configuration of 1,614 routes over one link after a power
// failure (trouble-1 of the grown site).
TEST_F(store_client_test, List_BodyTakesLongerThanTimeout_Read) {
  http_server server(context_, {},
                     [this](http_request, response_writer& writer) {
                       return ServeSlowly(context_, writer);
                     });
  const auto port = server.Listen({"127.0.0.1", 0});
  ASSERT_TRUE(IsOk(port));
  store_client client(context_, {"127.0.0.1", ValueOf(port)});
  std::optional<result<store_listing>> listed;
  const std::string kind = "config";
  boost::asio::co_spawn(
      context_,
      [&]() -> awaitable<void> {
        listed = co_await client.List(kind, false, seconds(1));
        context_.stop();
      },
      boost::asio::detached);
  context_.run();
  ASSERT_TRUE(listed.has_value());
  ASSERT_TRUE(IsOk(*listed)) << ErrorOf(*listed).detail;
  EXPECT_EQ(ValueOf(*listed).revision, 7U);
}

}  // namespace
}  // namespace fireflyslip::platform
