#ifndef FIREFLYSLIP_HTTP_HTTP_CLIENT_H_
#define FIREFLYSLIP_HTTP_HTTP_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "fireflyslip/core/result.h"
#include "fireflyslip/core/time.h"
#include "fireflyslip/http/http_message.h"

namespace fireflyslip {

/// \brief Response whose body is read incrementally.
class response_reader {
 public:
  virtual ~response_reader() = default;

  /// \brief Status line and header fields; the body is empty.
  virtual const http_response& head() const = 0;
  /// \brief Reads the next part of the body; empty at its end. Fails with
  /// `kUpstreamFailed` if the connection breaks, also while the request is
  /// still being written, or no data arrives within the timeout.
  virtual boost::asio::awaitable<result<std::string>> Read(
      duration timeout) = 0;
  /// \brief Reads the rest of this response, which is an earlier one that the
  /// server repeats, and the head of the next one. Fails as `Read()` does, or
  /// with `kResponseTooLarge`.
  virtual boost::asio::awaitable<status> SkipResponse(duration timeout) = 0;
  /// \brief Closes the connection; a pending `Read()` fails.
  virtual void Cancel() = 0;
  /// \brief Whether the connection has carried another response before, which
  /// a faulty server may send once more.
  virtual bool connection_reused() const = 0;
  /// \brief Whether the whole body was read.
  virtual bool complete() const = 0;
  /// \brief Returns the connection to the pool if the response is complete, no
  /// bytes follow it and the server keeps the connection alive. Without this
  /// call the connection is closed with the reader.
  virtual void ReleaseConnection() = 0;
  /// \brief As `ReleaseConnection()`, but the connection is not reused for
  /// requests with the id of this one. A faulty server may repeat the response,
  /// which could then not be told from the response to the second transmission.
  virtual void ReleaseForOtherRequests() = 0;
};

/// \brief Cancels a request from outside its coroutine.
class call_canceller {
 public:
  /// \brief Closes the connection of the request, now or once it is
  /// established.
  void Cancel() {
    cancelled_ = true;
    if (close_) {
      close_();
    }
  }
  bool cancelled() const { return cancelled_; }

  /// \brief Set by the client to the function that closes the connection.
  void set_close(std::function<void()> close) { close_ = std::move(close); }

 private:
  bool cancelled_ = false;
  std::function<void()> close_;
};

/// \brief Connection pool, timeout and size limits of an `http_client`.
struct http_client_options {
  duration connect_timeout = seconds(2);
  /// Servers close idle connections; one idle for longer is not reused.
  duration max_idle_time = seconds(20);
  std::size_t max_idle_connections = 8;  ///< Per endpoint.
  /// Longest body that `http_client::Request()` collects.
  std::size_t max_body_bytes = 8UL << 20;
  /// Whether connections are reset when closed (SO_LINGER with timeout 0).
  /// Otherwise request bytes buffered during a network partition would be
  /// delivered when it heals, long after the request was abandoned.
  bool reset_on_close = false;

  auto operator<=>(const http_client_options&) const = default;
};

/// \brief Options of a client that opens a connection for each request, so that
/// a response that a server sends a second time is never taken for the response
/// to a later request. For requests that carry no id which the server echoes,
/// and whose response decides about a run, an order or a write.
inline http_client_options SingleUseConnections() {
  http_client_options options;
  options.max_idle_connections = 0;
  return options;
}

/// \brief HTTP/1.1 client with a connection pool, on one `io_context`.
class http_client {
 public:
  explicit http_client(boost::asio::io_context& context,
                       http_client_options options = {});
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// \brief Sends a request and reads the whole response.
  ///
  /// Fails with `kNoUpstream` if no connection was established, so that nothing
  /// was sent, and with `kUpstreamFailed` if the outcome is unknown: nothing or
  /// only a part of a response arrived, or its head has a folded line or a
  /// status outside of 100 to 599 (RFC 9112, section 5.2, and RFC 9110, section
  /// 15). A response with more bytes than expected fails with
  /// `kResponseTooLarge`, and its connection is closed. A request that fails on
  /// a reused connection is not retried. The connection of a response with
  /// status 400 or above is closed.
  ///
  /// \param timeout for the whole response, or only for its head if
  /// `read_timeout` is set.
  /// \param read_timeout longest time between two parts of the body; zero for
  /// none. A large body may take long on a saturated link, and a retry would
  /// transfer it again from the beginning.
  /// \param max_body_bytes limit of this response instead of that of all.
  boost::asio::awaitable<result<http_response>> Request(
      http_endpoint endpoint,
      http_request request,
      duration timeout,
      duration read_timeout = {},
      std::optional<std::size_t> max_body_bytes = std::nullopt);

  /// \brief Sends a request and reads only the head of the response.
  /// \param max_idle longest idle time of a reused connection; zero for a new
  /// connection.
  /// \param canceller may be null.
  /// \param request_id id that the server repeats in its response, for
  /// `response_reader::ReleaseForOtherRequests()`; may be empty.
  ///
  /// Fails as `Request()` does.
  boost::asio::awaitable<result<std::shared_ptr<response_reader>>> Open(
      http_endpoint endpoint,
      http_request request,
      duration timeout,
      duration max_idle = seconds(20),
      std::shared_ptr<call_canceller> canceller = nullptr,
      std::string request_id = {});

  /// \brief Closes the pooled connections to an endpoint.
  void CloseIdleConnections(const http_endpoint& endpoint);

  /// \brief Discards pooled connections that the server has closed or that are
  /// idle for too long; to be called periodically.
  void PruneIdleConnections();

  /// \brief Sets the longest body that `Request()` collects.
  void set_body_limit(std::size_t bytes);

 private:
  class state;
  std::shared_ptr<state> state_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_HTTP_HTTP_CLIENT_H_
