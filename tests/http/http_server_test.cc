#include "fireflyslip/http/http_server.h"

#include <gtest/gtest.h>

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <stdexcept>
#include <string>
#include <utility>

namespace fireflyslip {
namespace {

using boost::asio::awaitable;
using boost::asio::ip::tcp;

constexpr char kHead[] =
    "POST /x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\n";
constexpr char kBody[] = "body";

/// \brief Server that is drained, and clients with blocking sockets. The server
/// runs only within `RunFor()`.
class http_server_drain_test : public testing::Test {
 protected:
  http_server_drain_test()
      : server_(context_,
                http_limits{},
                [this](http_request request, response_writer& writer) {
                  return Serve(std::move(request), writer);
                }) {
    const auto port = server_.Listen({"127.0.0.1", 0});
    EXPECT_TRUE(IsOk(port));
    port_ = ValueOf(port);
  }

  awaitable<void> Serve(http_request request, response_writer& writer) {
    ++served_;
    if (request.target == "/throw-after-begin") {
      http_response head;
      co_await writer.Begin(std::move(head));
    }
    if (request.target.starts_with("/throw")) {
      throw std::invalid_argument("not handled");
    }
    http_response answer;
    answer.body = "answer to " + request.body;
    co_await writer.Send(std::move(answer));
  }

  void RunFor(duration time) { context_.run_for(time); }

  tcp::socket Connect() {
    tcp::socket socket(client_context_);
    socket.connect({boost::asio::ip::address_v4::loopback(), port_});
    return socket;
  }

  static void Send(tcp::socket& socket, const std::string& bytes) {
    boost::asio::write(socket, boost::asio::buffer(bytes));
  }

  /// \brief Bytes that the server has sent; `closed` tells how the connection
  /// stands: `eof` if it was closed in order.
  static std::string Receive(tcp::socket& socket,
                             boost::system::error_code& closed) {
    socket.non_blocking(true);
    std::string received;
    std::array<char, 4096> buffer{};
    closed = {};
    while (!closed) {
      const std::size_t size =
          socket.read_some(boost::asio::buffer(buffer), closed);
      received.append(buffer.data(), size);
    }
    return received;
  }

  static void ExpectAnswer(tcp::socket& socket) {
    boost::system::error_code closed;
    const std::string received = Receive(socket, closed);
    EXPECT_NE(received.find("HTTP/1.1 200 OK"), std::string::npos) << received;
    EXPECT_NE(received.find("Connection: close"), std::string::npos);
    EXPECT_TRUE(received.ends_with("answer to body"));
    EXPECT_EQ(closed, boost::asio::error::eof);
  }

  boost::asio::io_context context_{1};
  boost::asio::io_context client_context_{1};
  http_server server_;
  unsigned short port_ = 0;
  int served_ = 0;
};

// Guards against a request that has arrived on a kept connection, and is
// discarded because the server closes the connection before reading it.
TEST_F(http_server_drain_test, KeptConnection_RequestArrived_Answered) {
  tcp::socket socket = Connect();
  Send(socket, std::string(kHead) + kBody);
  RunFor(milliseconds(50));
  ASSERT_EQ(served_, 1);
  boost::system::error_code open;
  ASSERT_NE(Receive(socket, open), "");
  ASSERT_EQ(open, boost::asio::error::would_block);
  Send(socket, std::string(kHead) + kBody);
  server_.DisableKeepAlive();
  server_.Drain();
  RunFor(milliseconds(50));
  ExpectAnswer(socket);
}

// Guards against a request that is discarded because only a part of it had
// arrived when the server was drained, and a process that exits while it is
// read.
TEST_F(http_server_drain_test, Request_PartlyReceived_Answered) {
  tcp::socket head_only = Connect();
  tcp::socket part_of_head = Connect();
  const std::string head = kHead;
  constexpr std::size_t kPart = 20;
  Send(head_only, head);
  Send(part_of_head, head.substr(0, kPart));
  RunFor(milliseconds(50));
  server_.DisableKeepAlive();
  server_.Drain();
  RunFor(milliseconds(50));
  EXPECT_EQ(server_.requests_in_progress(), 2U);
  Send(head_only, kBody);
  Send(part_of_head, head.substr(kPart) + kBody);
  RunFor(milliseconds(50));
  EXPECT_EQ(server_.requests_in_progress(), 0U);
  ExpectAnswer(head_only);
  ExpectAnswer(part_of_head);
}

// Guards against resetting connections that the operating system has accepted,
// but not yet the server.
TEST_F(http_server_drain_test, Connection_InBacklog_Answered) {
  tcp::socket with_request = Connect();
  tcp::socket without_request = Connect();
  Send(with_request, std::string(kHead) + kBody);
  server_.DisableKeepAlive();
  server_.Drain();
  RunFor(milliseconds(50));
  ExpectAnswer(with_request);
  EXPECT_EQ(server_.requests_in_progress(), 1U);
  Send(without_request, std::string(kHead) + kBody);
  RunFor(milliseconds(50));
  ExpectAnswer(without_request);
  EXPECT_EQ(server_.requests_in_progress(), 0U);
}

// Guards against a drain that waits for connections without a request.
TEST_F(http_server_drain_test, Connections_WithoutRequest_ClosedAndNotAwaited) {
  tcp::socket kept = Connect();
  Send(kept, std::string(kHead) + kBody);
  RunFor(milliseconds(50));
  tcp::socket unused = Connect();
  server_.Drain();
  RunFor(seconds(1));
  EXPECT_EQ(server_.requests_in_progress(), 0U);
  boost::system::error_code closed;
  EXPECT_NE(Receive(kept, closed), "");
  EXPECT_EQ(closed, boost::asio::error::eof);
  EXPECT_EQ(Receive(unused, closed), "");
  EXPECT_EQ(closed, boost::asio::error::eof);
  tcp::socket late(client_context_);
  late.connect({boost::asio::ip::address_v4::loopback(), port_}, closed);
  EXPECT_EQ(closed, boost::asio::error::connection_refused);
}

/// \brief Bytes that repeat after the start of a request.
struct endless_request {
  const char* name;
  std::string start;
  std::string repeated;
};

/// \brief Server of a client that sends bytes without end.
class endless_request_test : public testing::TestWithParam<endless_request> {
 protected:
  static constexpr std::size_t kMaxTaken = 24UL << 20;
  static constexpr std::size_t kMaxSent = 200UL << 20;

  awaitable<void> SendWithoutEnd(http_endpoint server) {
    tcp::socket socket(context_);
    boost::system::error_code code;
    co_await socket.async_connect(
        tcp::endpoint(boost::asio::ip::address_v4::loopback(), server.port),
        boost::asio::redirect_error(boost::asio::use_awaitable, code));
    std::string part = GetParam().start;
    std::string repeated;
    while (repeated.size() < (64UL << 10)) {
      repeated += GetParam().repeated;
    }
    while (!code && sent_ < kMaxSent) {
      co_await boost::asio::async_write(
          socket, boost::asio::buffer(part),
          boost::asio::redirect_error(boost::asio::use_awaitable, code));
      sent_ += part.size();
      part = repeated;
    }
    closed_ = true;
  }

  boost::asio::io_context context_{1};
  std::size_t sent_ = 0;
  bool closed_ = false;
};

// Guards against a client that takes the memory of the process with bytes that
// the parser keeps until they are complete.
TEST_P(endless_request_test, Bytes_WithoutEnd_RejectedAndClosed) {
  http_server server(
      context_, http_limits{},
      [](http_request, response_writer& writer) -> awaitable<void> {
        http_response answer;
        co_await writer.Send(std::move(answer));
      });
  const auto port = server.Listen({"127.0.0.1", 0});
  ASSERT_TRUE(IsOk(port));
  boost::asio::co_spawn(context_, SendWithoutEnd({"127.0.0.1", ValueOf(port)}),
                        boost::asio::detached);
  while (!closed_) {
    ASSERT_GT(context_.run_one_for(std::chrono::seconds(20)), 0U);
  }
  EXPECT_LT(sent_, kMaxTaken);
}

constexpr char kChunkedHead[] =
    "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    parts,
    endless_request_test,
    testing::Values(
        endless_request{"target", "GET /", "x"},
        endless_request{"field", "GET / HTTP/1.1\r\nX: ", "x"},
        endless_request{"chunk_extension",
                        std::string(kChunkedHead) + "4;a=", "x"},
        endless_request{"trailer", std::string(kChunkedHead) + "0\r\nX: ", "x"},
        endless_request{"body", std::string(kChunkedHead),
                        "400\r\n" + std::string(1024, 'x') + "\r\n"}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against a request that ends without an answer because its handler has
// thrown an exception, and against the use of its connection when the server is
// drained.
TEST_F(http_server_drain_test, Handler_Throws_AnsweredAndConnectionForgotten) {
  for (const std::string target : {"/throw", "/throw-after-begin"}) {
    tcp::socket socket = Connect();
    Send(socket, "GET " + target + " HTTP/1.1\r\nHost: a.example\r\n\r\n");
    RunFor(milliseconds(50));
    boost::system::error_code closed;
    const std::string received = Receive(socket, closed);
    EXPECT_EQ(closed, boost::asio::error::eof) << target;
    if (target == "/throw") {
      EXPECT_TRUE(received.starts_with("HTTP/1.1 500")) << received;
      EXPECT_NE(received.find("Connection: close"), std::string::npos);
    } else {
      // Without the last chunk, the client knows that the body is incomplete.
      EXPECT_FALSE(received.ends_with("0\r\n\r\n")) << received;
    }
  }
  tcp::socket other = Connect();
  Send(other, std::string(kHead) + kBody);
  server_.DisableKeepAlive();
  server_.Drain();
  RunFor(milliseconds(50));
  ExpectAnswer(other);
  EXPECT_EQ(server_.requests_in_progress(), 0U);
}

}  // namespace
}  // namespace fireflyslip
