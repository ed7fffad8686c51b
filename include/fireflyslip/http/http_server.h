#ifndef FIREFLYSLIP_HTTP_HTTP_SERVER_H_
#define FIREFLYSLIP_HTTP_HTTP_SERVER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "fireflyslip/core/result.h"
#include "fireflyslip/core/time.h"
#include "fireflyslip/http/http_message.h"

namespace boost::asio::ssl {
class context;
}

namespace fireflyslip {

/// \brief Writes the response of one request.
///
/// Either `Send()` is called once, or `Begin()`, `Write()` any number of times
/// and `End()`. Each returns false if the connection is closed.
class response_writer {
 public:
  virtual ~response_writer() = default;

  virtual boost::asio::awaitable<bool> Send(http_response response) = 0;
  /// \brief Sends the head of a chunked response.
  virtual boost::asio::awaitable<bool> Begin(http_response head) = 0;
  virtual boost::asio::awaitable<bool> Write(std::string part) = 0;
  virtual boost::asio::awaitable<bool> End() = 0;
  /// \brief Closes the connection without the final chunk, so that the client
  /// can tell a truncated response from a complete one.
  virtual void Abort() = 0;
  /// \brief Calls `on_closed` once if the client closes the connection before
  /// the response is complete. Has no effect on TLS connections.
  virtual void NotifyClosed(std::function<void()> on_closed) = 0;
};

/// \brief Resource limits of a server.
struct http_limits {
  std::size_t max_header_bytes = 16UL << 10;
  std::size_t max_body_bytes = 1UL << 20;
  /// Of all requests that are being received or served.
  std::size_t max_total_body_bytes = 64UL << 20;
  std::size_t max_connections = 1024;
  duration idle_timeout = seconds(75);
  /// From the first to the last byte of a request.
  duration read_timeout = seconds(15);
};

/// \brief Limits of a server whose requests have no body, such as those between
/// the processes of the system.
http_limits BodilessRequestLimits();

/// \brief HTTP/1.1 server on one `io_context`.
class http_server {
 public:
  using handler =
      std::function<boost::asio::awaitable<void>(http_request request,
                                                 response_writer& writer)>;

  /// \brief `tls` may be null for plain TCP; otherwise it must outlive the
  /// server.
  http_server(boost::asio::io_context& context,
              http_limits limits,
              handler handle,
              boost::asio::ssl::context* tls = nullptr);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// \brief Starts listening; port 0 selects a free port. Fails with
  /// `kInternalError` if the address cannot be bound.
  result<unsigned short> Listen(const http_endpoint& endpoint);

  /// \brief Stops accepting connections and closes idle ones. Requests that
  /// are being received or served, and the first requests of connections that
  /// the operating system has accepted, are completed. Called on the thread of
  /// the `io_context`.
  void Drain();

  /// \brief Sends `Connection: close` with every further response, so that
  /// clients reconnect to other servers; still accepts connections and
  /// requests.
  void DisableKeepAlive();

  /// \brief Sets the limits of subsequent requests.
  void set_limits(const http_limits& limits);

  /// \brief Requests that are being received or served; after `Drain()` also
  /// connections whose first request may still arrive.
  std::size_t requests_in_progress() const;

 private:
  class state;
  std::shared_ptr<state> state_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_HTTP_HTTP_SERVER_H_
