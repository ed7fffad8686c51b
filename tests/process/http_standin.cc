#include "process/http_standin.h"

#include <sys/socket.h>

#include <boost/asio/write.hpp>
#include <limits>
#include <utility>

namespace fireflyslip::testing {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using boost::asio::ip::tcp;

// Small, so that a long body is still being written while the server waits.
constexpr int kReceiveBufferBytes = 16384;

}  // namespace

bool standin_connection::ReadHead() {
  parser_ = std::make_unique<http::request_parser<http::string_body>>();
  parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
  beast::error_code error;
  http::read_header(socket_, buffer_, *parser_, error);
  return !error;
}

bool standin_connection::ReadBody() {
  beast::error_code error;
  while (!error && !parser_->is_done()) {
    http::read_some(socket_, buffer_, *parser_, error);
  }
  return !error;
}

bool standin_connection::Write(std::string_view bytes) {
  beast::error_code error;
  boost::asio::write(socket_, boost::asio::buffer(bytes), error);
  return !error;
}

std::string FormatResponse(int status,
                           const std::string& body,
                           const std::map<std::string, std::string>& fields) {
  std::string bytes =
      "HTTP/1.1 " + std::to_string(status) + " " +
      std::string(http::obsolete_reason(static_cast<http::status>(status))) +
      "\r\n";
  for (const auto& [name, value] : fields) {
    bytes.append(name).append(": ").append(value).append("\r\n");
  }
  return bytes + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

http_standin::http_standin(handler serve, std::uint16_t port)
    : serve_(std::move(serve)), acceptor_(context_, tcp::v4()) {
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.set_option(
      boost::asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
  acceptor_.set_option(boost::asio::socket_base::reuse_address(port != 0));
  acceptor_.bind(tcp::endpoint(boost::asio::ip::address_v4::loopback(), port));
  acceptor_.listen();
  port_ = acceptor_.local_endpoint().port();
  acceptor_thread_ = std::thread([this] { Accept(); });
}

http_standin::~http_standin() {
  stopping_ = true;
  ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
  acceptor_thread_.join();
  {
    const std::scoped_lock lock(mutex_);
    for (const int socket : sockets_) {
      ::shutdown(socket, SHUT_RDWR);
    }
  }
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

void http_standin::Accept() {
  while (!stopping_) {
    tcp::socket socket(context_);
    beast::error_code error;
    acceptor_.accept(socket, error);
    if (!error) {
      socket.set_option(tcp::no_delay(true), error);
      const std::scoped_lock lock(mutex_);
      sockets_.insert(socket.native_handle());
      threads_.emplace_back([this, moved = std::move(socket)]() mutable {
        Serve(std::move(moved));
      });
    }
  }
}

void http_standin::Serve(tcp::socket socket) {
  standin_connection connection(socket);
  while (!stopping_ && connection.ReadHead() && serve_(connection)) {
  }
  const std::scoped_lock lock(mutex_);
  sockets_.erase(socket.native_handle());
  socket.close();
}

}  // namespace fireflyslip::testing
