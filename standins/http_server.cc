#include "standins/http_server.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <exception>
#include <utility>

#include "standins/async_condition.h"

namespace fireflyslip::standins {
namespace net = boost::asio;
namespace http = boost::beast::http;
using net::ip::tcp;
namespace {

constexpr auto kAwaitableTuple = net::as_tuple(net::use_awaitable);
// Large enough for chunks of weights, the largest bodies.
constexpr std::uint64_t kMaxBodyBytes = 256ULL << 20;

http_request ToHttpRequest(http::request<http::string_body> message) {
  http_request request = ParseTarget(std::string(message.method_string()),
                                     std::string(message.target()));
  for (const auto& field : message) {
    std::string name(field.name_string());
    for (char& letter : name) {
      if (letter >= 'A' && letter <= 'Z') {
        letter = static_cast<char>(letter - 'A' + 'a');
      }
    }
    request.headers[name] = std::string(field.value());
  }
  request.body = std::move(message.body());
  return request;
}

// Reads and discards input until the peer closes the connection.
net::awaitable<void> DiscardInput(tcp::socket& socket) {
  std::array<char, 4096> bytes{};
  for (;;) {
    const net::mutable_buffer buffer(bytes.data(), bytes.size());
    const auto [error, count] =
        co_await socket.async_read_some(buffer, kAwaitableTuple);
    if (error) {
      co_return;
    }
  }
}

}  // namespace

http_server::http_server(net::io_context& context,
                         http_handler& handler,
                         const std::string& address,
                         std::uint16_t port)
    : handler_(handler),
      acceptor_(context, tcp::endpoint(net::ip::make_address(address), port)) {
  net::co_spawn(context, Accept(), net::detached);
}

net::awaitable<void> http_server::Accept() {
  // Avoids a busy loop while file descriptors are exhausted.
  constexpr auto kPauseAfterError = std::chrono::milliseconds(10);
  for (;;) {
    auto [error, socket] = co_await acceptor_.async_accept(kAwaitableTuple);
    if (error) {
      co_await SleepUntil(std::chrono::steady_clock::now() + kPauseAfterError);
      continue;
    }
    net::co_spawn(acceptor_.get_executor(), Serve(std::move(socket)),
                  net::detached);
  }
}

net::awaitable<void> http_server::Serve(tcp::socket socket) {
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  boost::beast::flat_buffer buffer;
  for (;;) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    const auto [head_error, head_bytes] = co_await http::async_read_header(
        socket, buffer, parser, kAwaitableTuple);
    if (head_error) {
      break;
    }
    if (parser.get()[http::field::expect] == "100-continue") {
      constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
      const net::const_buffer bytes(kContinue.data(), kContinue.size());
      co_await net::async_write(socket, bytes, kAwaitableTuple);
    }
    const auto [body_error, body_bytes] =
        co_await http::async_read(socket, buffer, parser, kAwaitableTuple);
    if (body_error) {
      break;
    }
    const bool keep_alive = parser.get().keep_alive();
    const http_request request = ToHttpRequest(parser.release());
    auto action = http_exchange::connection_action::kClose;
    {
      http_exchange exchange(socket, keep_alive, request.method == "HEAD");
      http_response fallback_response;
      try {
        co_await handler_.Handle(request, exchange);
        fallback_response = ErrorResponse(500, "the handler sent no response");
      } catch (const std::exception& caught) {
        fallback_response = ErrorResponse(400, caught.what());
      }
      if (exchange.action() == http_exchange::connection_action::kNoResponse) {
        co_await exchange.Send(std::move(fallback_response));
      }
      action = exchange.action();
    }
    if (action == http_exchange::connection_action::kHang) {
      co_await DiscardInput(socket);
      break;
    }
    if (action != http_exchange::connection_action::kKeepAlive) {
      break;
    }
  }
  socket.shutdown(tcp::socket::shutdown_both, ignored);
  socket.close(ignored);
}

}  // namespace fireflyslip::standins
