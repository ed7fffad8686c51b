#include "fireflyslip/http/http_client.h"

#include <gtest/gtest.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <optional>
#include <utility>

#include "fireflyslip/http/http_server.h"

namespace fireflyslip {
namespace {

using boost::asio::awaitable;

/// \brief Client and server on one thread.
class http_client_test : public testing::Test {
 protected:
  http_client_test()
      : server_(context_,
                http_limits{},
                [this](http_request request, response_writer& writer) {
                  return Serve(std::move(request), writer);
                }) {
    const auto port = server_.Listen({"127.0.0.1", 0});
    EXPECT_TRUE(IsOk(port));
    endpoint_ = {"127.0.0.1", ValueOf(port)};
  }

  awaitable<void> Serve(http_request /*request*/, response_writer& writer) {
    ++served_;
    http_response answer;
    co_await writer.Send(std::move(answer));
  }

  result<http_response> Call(duration timeout) {
    std::optional<result<http_response>> answer;
    boost::asio::co_spawn(context_, Send(timeout, answer),
                          boost::asio::detached);
    context_.restart();
    while (!answer) {
      context_.run_one();
    }
    return *answer;
  }

  awaitable<void> Send(duration timeout,
                       std::optional<result<http_response>>& answer) {
    http_request request;
    answer.emplace(
        co_await client_.Request(endpoint_, std::move(request), timeout));
  }

  boost::asio::io_context context_{1};
  http_server server_;
  http_client client_{context_};
  http_endpoint endpoint_;
  std::size_t served_ = 0;
};

// Guards against a request that is sent after its timeout, for example an order
// whose reason no longer holds.
TEST_F(http_client_test, Request_TimeoutPassedBeforeSending_NotSent) {
  ASSERT_TRUE(IsOk(Call(seconds(5))));  // leaves an idle connection
  const auto late = Call(duration(0));
  ASSERT_FALSE(IsOk(late));
  EXPECT_EQ(ErrorOf(late).kind, error_kind::kNoUpstream);
  context_.run_for(std::chrono::milliseconds(50));
  EXPECT_EQ(served_, 1U);
}

}  // namespace
}  // namespace fireflyslip
