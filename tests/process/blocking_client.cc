#include "process/blocking_client.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <limits>

namespace fireflyslip::testing {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using boost::asio::ip::tcp;

constexpr std::chrono::seconds kOperationTimeout{60};

/// \brief A connection whose operations fail after 60 s.
class connection {
 public:
  bool Connect(std::uint16_t port) {
    return RunOperation([&](auto&& done) {
      stream_.async_connect(
          tcp::endpoint(boost::asio::ip::address_v4::loopback(), port), done);
    });
  }

  bool Write(const http::request<http::string_body>& request) {
    return RunOperation([&](auto&& done) {
      http::async_write(
          stream_, request,
          [done](beast::error_code code, std::size_t) mutable { done(code); });
    });
  }

  /// \brief Reads until the response is complete or reading fails.
  void Read(http::response_parser<http::string_body>& parser) {
    bool reading = true;
    while (reading && !parser.is_done()) {
      reading = RunOperation([&](auto&& done) {
        http::async_read_some(stream_, buffer_, parser,
                              [done](beast::error_code code,
                                     std::size_t) mutable { done(code); });
      });
    }
  }

 private:
  template <typename Operation>
  bool RunOperation(Operation start) {
    beast::error_code result;
    stream_.expires_after(kOperationTimeout);
    start([&result](beast::error_code code) { result = code; });
    context_.restart();
    context_.run();
    return !result;
  }

  boost::asio::io_context context_{1};
  beast::tcp_stream stream_{context_};
  beast::flat_buffer buffer_;
};

}  // namespace

http_answer SendRequest(std::uint16_t port,
                        const std::string& method,
                        const std::string& target,
                        const std::string& body,
                        const http_fields& fields) {
  constexpr unsigned kHttp11 = 11;
  http::request<http::string_body> request;
  request.version(kHttp11);
  request.method_string(method);
  request.target(target);
  request.set(http::field::host, "127.0.0.1");
  for (const auto& [name, value] : fields) {
    request.set(name, value);
  }
  request.body() = body;
  request.prepare_payload();
  http_answer answer;
  connection caller;
  if (!caller.Connect(port) || !caller.Write(request)) {
    return answer;
  }
  http::response_parser<http::string_body> parser;
  parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  caller.Read(parser);
  if (parser.is_header_done()) {
    answer.status = static_cast<int>(parser.get().result_int());
    answer.outcome = std::string(parser.get()["X-Outcome"]);
    answer.body = parser.get().body();
    answer.is_complete = parser.is_done();
  }
  return answer;
}

std::uint16_t FreePort() {
  boost::asio::io_context context;
  const tcp::acceptor acceptor(
      context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  return acceptor.local_endpoint().port();
}

}  // namespace fireflyslip::testing
