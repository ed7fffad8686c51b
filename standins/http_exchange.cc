#include "standins/http_exchange.h"

#include <sys/socket.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <utility>

namespace fireflyslip::standins {
namespace net = boost::asio;
namespace http = boost::beast::http;
namespace {

constexpr auto kAwaitableTuple = net::as_tuple(net::use_awaitable);

template <typename Message>
void SetHead(Message& message, const http_response& head, bool keep_alive) {
  message.version(11);
  message.result(static_cast<unsigned>(head.status));
  message.keep_alive(keep_alive);
  for (const auto& [name, value] : head.headers) {
    message.set(name, value);
  }
}

bool IsBodyAllowed(int status) {
  constexpr int kNoContent = 204;
  return status != kNoContent;
}

}  // namespace

http_exchange::http_exchange(net::ip::tcp::socket& socket,
                             bool keep_alive,
                             bool omit_body)
    : socket_(socket),
      keep_alive_(keep_alive),
      omit_body_(omit_body),
      disconnect_wait_active_(std::make_shared<bool>(false)) {}

http_exchange::~http_exchange() {
  if (*disconnect_wait_active_) {
    *disconnect_wait_active_ = false;
    boost::system::error_code ignored;
    socket_.cancel(ignored);
  }
}

bool http_exchange::CloseOnError(const boost::system::error_code& error) {
  if (error) {
    action_ = connection_action::kClose;
  }
  return !error;
}

net::awaitable<void> http_exchange::Send(http_response response) {
  http::response<http::string_body> message;
  SetHead(message, response, keep_alive_);
  if (IsBodyAllowed(response.status)) {
    message.set(http::field::content_type, response.content_type);
    message.content_length(response.body.size());
    if (!omit_body_) {
      message.body() = std::move(response.body);
    }
  }
  action_ =
      keep_alive_ ? connection_action::kKeepAlive : connection_action::kClose;
  http::response_serializer<http::string_body> serializer(message);
  const auto [error, bytes] =
      co_await http::async_write(socket_, serializer, kAwaitableTuple);
  CloseOnError(error);
}

net::awaitable<bool> http_exchange::StartStream(
    http_response head,
    std::optional<std::uint64_t> length) {
  http::response<http::empty_body> message;
  SetHead(message, head, keep_alive_);
  message.set(http::field::content_type, head.content_type);
  chunked_ = !length;
  if (length) {
    message.content_length(*length);
  } else {
    message.chunked(true);
  }
  action_ = connection_action::kClose;
  http::response_serializer<http::empty_body> serializer(message);
  const auto [error, bytes] =
      co_await http::async_write_header(socket_, serializer, kAwaitableTuple);
  co_return CloseOnError(error);
}

net::awaitable<bool> http_exchange::SendPart(std::string_view part) {
  const net::const_buffer buffer(part.data(), part.size());
  if (chunked_) {
    const auto chunk = http::make_chunk(buffer);
    const auto [error, bytes] =
        co_await net::async_write(socket_, chunk, kAwaitableTuple);
    co_return CloseOnError(error);
  }
  const auto [error, bytes] =
      co_await net::async_write(socket_, buffer, kAwaitableTuple);
  co_return CloseOnError(error);
}

net::awaitable<bool> http_exchange::EndStream() {
  action_ =
      keep_alive_ ? connection_action::kKeepAlive : connection_action::kClose;
  if (!chunked_) {
    co_return true;
  }
  const auto last = http::make_chunk_last();
  const auto [error, bytes] =
      co_await net::async_write(socket_, last, kAwaitableTuple);
  co_return CloseOnError(error);
}

void http_exchange::OnDisconnect(std::function<void()> callback) {
  *disconnect_wait_active_ = true;
  socket_.async_wait(
      net::ip::tcp::socket::wait_read,
      [this, active = disconnect_wait_active_,
       callback = std::move(callback)](const boost::system::error_code& error) {
        if (!*active) {
          return;
        }
        *active = false;
        char byte = 0;
        // A readable socket without data means that the peer has closed the
        // connection. Available data is a pipelined request.
        if (error || recv(socket_.native_handle(), &byte, 1,
                          MSG_PEEK | MSG_DONTWAIT) <= 0) {
          action_ = connection_action::kClose;
          callback();
        }
      });
}

}  // namespace fireflyslip::standins
