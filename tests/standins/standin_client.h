#ifndef FIREFLYSLIP_STANDINS_STANDIN_CLIENT_H_
#define FIREFLYSLIP_STANDINS_STANDIN_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <thread>

#include "standins/http_server.h"

namespace fireflyslip::standins {

/// \brief Runs a stand-in on a separate thread until destruction.
class standin_host {
 public:
  explicit standin_host(http_handler& handler)
      : handler_(handler),
        server_(context_, handler, "127.0.0.1", 0),
        thread_([this] { context_.run(); }) {}
  ~standin_host() {
    context_.stop();
    thread_.join();
    handler_.OnStopped();
  }

  std::uint16_t port() const { return server_.port(); }

 private:
  http_handler& handler_;
  boost::asio::io_context context_{1};
  http_server server_;
  std::thread thread_;
};

/// \brief Blocking client that opens a connection per request.
class standin_client {
 public:
  using response =
      boost::beast::http::response<boost::beast::http::string_body>;
  using headers = std::map<std::string, std::string>;

  explicit standin_client(std::uint16_t port)
      : endpoint_(boost::asio::ip::address_v4::loopback(), port) {}

  /// \brief Returns nothing if the connection is closed without a response.
  std::optional<response> Send(const std::string& method,
                               const std::string& target,
                               const std::string& body = "",
                               const headers& fields = {}) const {
    namespace http = boost::beast::http;
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect(endpoint_);
    http::request<http::string_body> request;
    request.version(11);
    request.method_string(method);
    request.target(target);
    for (const auto& [name, value] : fields) {
      request.set(name, value);
    }
    request.body() = body;
    request.prepare_payload();
    http::write(socket, request);
    boost::beast::flat_buffer buffer;
    response answer;
    boost::system::error_code error;
    http::read(socket, buffer, answer, error);
    if (error) {
      return std::nullopt;
    }
    return answer;
  }

  /// \brief Status of the response, or 0 without a response.
  unsigned Status(const std::string& method,
                  const std::string& target,
                  const std::string& body = "",
                  const headers& fields = {}) const {
    const auto answer = Send(method, target, body, fields);
    return answer ? answer->result_int() : 0;
  }

 private:
  boost::asio::ip::tcp::endpoint endpoint_;
};

}  // namespace fireflyslip::standins

#endif  // FIREFLYSLIP_STANDINS_STANDIN_CLIENT_H_
