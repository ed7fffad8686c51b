#include "fireflyslip/http/http_client.h"

#include <gtest/gtest.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <exception>
#include <optional>
#include <string>
#include <utility>

#include "fireflyslip/http/http_server.h"
#include "fireflyslip/http/response_limit.h"
#include "http/repeating_server.h"

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

  awaitable<void> Serve(http_request request, response_writer& writer) {
    ++served_;
    received_ = std::move(request);
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
  http_request received_;  // the last one
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

// Guards against an exception for a method that should have no body: whoever
// forwards such a request would end without an answer.
TEST_F(http_client_test, Request_TraceWithBody_SentUnchanged) {
  std::exception_ptr thrown;
  std::optional<result<http_response>> answer;
  http_request request;
  request.method = "TRACE";
  request.body = "body";
  boost::asio::co_spawn(
      context_,
      [&]() -> awaitable<void> {
        answer.emplace(co_await client_.Request(endpoint_, std::move(request),
                                                seconds(5)));
      },
      [&](std::exception_ptr failure) { thrown = std::move(failure); });
  while (!answer && !thrown) {
    context_.run_one();
  }
  ASSERT_FALSE(thrown);
  ASSERT_TRUE(IsOk(*answer));
  EXPECT_EQ(received_.method, "TRACE");
  EXPECT_EQ(received_.body, "body");
}

// Guards against the copy of a refusal that is taken for the response to the
// next request, and against a new connection for requests that are not refused.
TEST(http_client_refusal_test, Request_RefusalsRepeated_OwnResponsesReturned) {
  constexpr int kRequests = 1'000;
  constexpr int kRefusals = 100;
  constexpr int kRefused = 503;
  boost::asio::io_context context{1};
  int served = 0;
  repeating_server server(
      context, kRefused, [&](const http_request& /*request*/) {
        const bool refused = served++ % (kRequests / kRefusals) == 0;
        return http_response{refused ? kRefused : 200};
      });
  http_client client(context);
  int refused = 0;
  for (int i = 0; i < kRequests; ++i) {
    const auto answer =
        RunCall(context,
                client.Request(server.endpoint(), http_request(), seconds(30)));
    ASSERT_TRUE(IsOk(answer)) << ErrorOf(answer).detail;
    refused += ValueOf(answer).status == kRefused ? 1 : 0;
  }
  EXPECT_EQ(refused, kRefusals);
  EXPECT_EQ(served, kRequests);
  EXPECT_EQ(server.connections(), kRefusals + 1U);
}

/// \brief Bytes that repeat after the start of a response.
struct endless_response {
  const char* name;
  std::string start;
  std::string repeated;
};

/// \brief Client of a server that sends bytes without end.
class endless_response_test : public testing::TestWithParam<endless_response> {
 protected:
  /// Bytes that the client may take; includes what the sockets buffer.
  static constexpr std::size_t kMaxTaken = 24UL << 20;
  /// The server stops then, so that a failing test ends.
  static constexpr std::size_t kMaxSent = 200UL << 20;

  endless_response_test()
      : acceptor_(context_,
                  tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
    endpoint_ = {"127.0.0.1", acceptor_.local_endpoint().port()};
  }

  awaitable<void> SendWithoutEnd() {
    tcp::socket socket =
        co_await acceptor_.async_accept(boost::asio::use_awaitable);
    std::string part = GetParam().start;
    std::string repeated;
    while (repeated.size() < (64UL << 10)) {
      repeated += GetParam().repeated;
    }
    boost::system::error_code code;
    while (!code && sent_ < kMaxSent) {
      co_await boost::asio::async_write(
          socket, boost::asio::buffer(part),
          boost::asio::redirect_error(boost::asio::use_awaitable, code));
      sent_ += part.size();
      part = repeated;
    }
    closed_ = true;
  }

  awaitable<void> Receive() {
    http_request request;
    constexpr std::size_t kMaxBodyBytes = 1UL << 20;
    const auto answer = co_await client_.Request(
        endpoint_, std::move(request), seconds(30), duration(0), kMaxBodyBytes);
    if (!IsOk(answer)) {
      failure_ = ErrorOf(answer).kind;
    }
  }

  using tcp = boost::asio::ip::tcp;
  boost::asio::io_context context_{1};
  tcp::acceptor acceptor_;
  http_client client_{context_};
  http_endpoint endpoint_;
  std::size_t sent_ = 0;
  bool closed_ = false;
  std::optional<error_kind> failure_;
};

// Guards against a response that is collected without a limit until the process
// is ended for its memory, and its other requests with it.
TEST_P(endless_response_test, Bytes_WithoutEnd_RejectedAndClosed) {
  const std::uint64_t before = OversizeResponses();
  boost::asio::co_spawn(context_, SendWithoutEnd(), boost::asio::detached);
  boost::asio::co_spawn(context_, Receive(), boost::asio::detached);
  while (!failure_ || !closed_) {
    ASSERT_GT(context_.run_one_for(std::chrono::seconds(20)), 0U);
  }
  EXPECT_LT(sent_, kMaxTaken);
  if (*failure_ == error_kind::kResponseTooLarge) {
    EXPECT_EQ(OversizeResponses(), before + 1);
  } else {
    // Bytes that cannot be the start of a response.
    EXPECT_EQ(*failure_, error_kind::kUpstreamFailed);
  }
}

constexpr char kChunkedHead[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    parts,
    endless_response_test,
    testing::Values(
        endless_response{"garbage", "", "x"},
        endless_response{"line_breaks", "", "\r\n"},
        endless_response{"status_line", "HTTP/1.1 200 ", "x"},
        endless_response{"field", "HTTP/1.1 200 OK\r\nX-Field: ", "x"},
        endless_response{"fields", "HTTP/1.1 200 OK\r\n", "X-Field: x\r\n"},
        endless_response{"interim", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
        endless_response{"interim_field",
                         "HTTP/1.1 103 Early Hints\r\nX: ", "x"},
        endless_response{"chunk_size", kChunkedHead, "0"},
        endless_response{"chunk_extension",
                         std::string(kChunkedHead) + "4;a=", "x"},
        endless_response{"second_chunk_extension",
                         std::string(kChunkedHead) + "4\r\nbody\r\n4;a=", "x"},
        endless_response{"chunks", kChunkedHead, "4\r\nbody\r\n"},
        endless_response{"trailer",
                         std::string(kChunkedHead) + "0\r\nX: ", "x"},
        endless_response{"trailer_fields", std::string(kChunkedHead) + "0\r\n",
                         "X-Field: x\r\n"},
        endless_response{"unframed_body", "HTTP/1.1 200 OK\r\n\r\n", "x"},
        endless_response{
            "long_body",
            "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "x"}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace fireflyslip
