#ifndef TESTS_HTTP_REPEATING_SERVER_H_
#define TESTS_HTTP_REPEATING_SERVER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "fireflyslip/http/http_message.h"

namespace fireflyslip {

/// \brief Server that sends a response a second time, in front of the response
/// to the next request on the same connection.
///
/// Must stay alive until its `io_context` has stopped.
class repeating_server {
 public:
  using handler = std::function<http_response(const http_request&)>;

  /// \param min_status lowest status of the responses that are repeated.
  repeating_server(boost::asio::io_context& context,
                   int min_status,
                   handler respond)
      : context_(context),
        min_status_(min_status),
        respond_(std::move(respond)),
        acceptor_(context,
                  tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
    boost::asio::co_spawn(context_, Accept(), boost::asio::detached);
  }

  http_endpoint endpoint() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }
  /// \brief Connections that were opened.
  std::size_t connections() const { return connections_; }

 private:
  using tcp = boost::asio::ip::tcp;

  boost::asio::awaitable<void> Accept() {
    for (;;) {
      tcp::socket socket =
          co_await acceptor_.async_accept(boost::asio::use_awaitable);
      ++connections_;
      boost::asio::co_spawn(context_, Serve(std::move(socket)),
                            boost::asio::detached);
    }
  }

  boost::asio::awaitable<void> Serve(tcp::socket socket) {
    namespace http = boost::beast::http;
    boost::system::error_code code;
    boost::beast::flat_buffer buffer;
    std::string last;
    for (;;) {
      http::request<http::string_body> message;
      co_await http::async_read(
          socket, buffer, message,
          boost::asio::redirect_error(boost::asio::use_awaitable, code));
      if (code) {
        co_return;
      }
      http_request request;
      request.method = std::string(message.method_string());
      request.target = std::string(message.target());
      for (const auto& field : message) {
        request.fields.push_back(
            {std::string(field.name_string()), std::string(field.value())});
      }
      request.body = std::move(message.body());
      const http_response response = respond_(request);
      const std::string own = ToText(response);
      const std::string both = last + own;
      last = response.status >= min_status_ ? own : std::string();
      co_await boost::asio::async_write(
          socket, boost::asio::buffer(both),
          boost::asio::redirect_error(boost::asio::use_awaitable, code));
    }
  }

  static std::string ToText(const http_response& response) {
    std::string text =
        "HTTP/1.1 " + std::to_string(response.status) +
        " X\r\nContent-Length: " + std::to_string(response.body.size()) +
        "\r\n";
    for (const http_field& field : response.fields) {
      text.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    return text + "\r\n" + response.body;
  }

  boost::asio::io_context& context_;
  const int min_status_;
  handler respond_;
  tcp::acceptor acceptor_;
  std::size_t connections_ = 0;
};

/// \brief Runs a call of a client and its server on one context.
template <typename Result>
Result RunCall(boost::asio::io_context& context,
               boost::asio::awaitable<Result> call) {
  std::optional<Result> ended;
  boost::asio::co_spawn(
      context,
      [&]() -> boost::asio::awaitable<void> {
        ended.emplace(co_await std::move(call));
      },
      boost::asio::detached);
  context.restart();
  while (!ended) {
    context.run_one();
  }
  return *std::move(ended);
}

}  // namespace fireflyslip

#endif  // TESTS_HTTP_REPEATING_SERVER_H_
