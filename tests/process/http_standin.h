#ifndef FIREFLYSLIP_TESTS_PROCESS_HTTP_STANDIN_H_
#define FIREFLYSLIP_TESTS_PROCESS_HTTP_STANDIN_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace fireflyslip::testing {

/// \brief Server side of a connection with blocking operations. It can send
/// bytes that do not belong to the response that is due.
class standin_connection {
 public:
  using request = boost::beast::http::request<boost::beast::http::string_body>;

  explicit standin_connection(boost::asio::ip::tcp::socket& socket)
      : socket_(socket) {}

  /// \brief Reads the head of the next request. Returns false at the end of
  /// the connection.
  bool ReadHead();
  /// \brief Reads the body of the request whose head has been read.
  bool ReadBody();
  const request& received() const { return parser_->get(); }
  std::string Field(const std::string& name) const {
    return std::string(received()[name]);
  }

  bool Write(std::string_view bytes);

 private:
  boost::asio::ip::tcp::socket& socket_;
  boost::beast::flat_buffer buffer_;
  std::unique_ptr<
      boost::beast::http::request_parser<boost::beast::http::string_body>>
      parser_;
};

/// \brief Bytes of a complete response.
std::string FormatResponse(
    int status,
    const std::string& body,
    const std::map<std::string, std::string>& fields = {});

/// \brief HTTP server on the loopback address with a thread for each
/// connection.
class http_standin {
 public:
  /// Serves the request whose head has been read. Returns whether the
  /// connection stays open.
  using handler = std::function<bool(standin_connection&)>;

  /// \brief Listens on a port; 0 selects a free one.
  explicit http_standin(handler serve, std::uint16_t port = 0);
  ~http_standin();
  http_standin(const http_standin&) = delete;
  http_standin& operator=(const http_standin&) = delete;

  std::uint16_t port() const { return port_; }
  bool is_stopping() const { return stopping_; }

 private:
  void Accept();
  void Serve(boost::asio::ip::tcp::socket socket);

  handler serve_;
  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::uint16_t port_ = 0;
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;
  std::set<int> sockets_;
  std::vector<std::thread> threads_;
  std::thread acceptor_thread_;
};

}  // namespace fireflyslip::testing

#endif  // FIREFLYSLIP_TESTS_PROCESS_HTTP_STANDIN_H_
