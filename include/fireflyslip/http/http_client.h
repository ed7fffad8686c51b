#ifndef FIREFLYSLIP_HTTP_HTTP_CLIENT_H_
#define FIREFLYSLIP_HTTP_HTTP_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "fireflyslip/core/result.h"
#include "fireflyslip/core/time.h"
#include "fireflyslip/http/http_message.h"

namespace fireflyslip {

/// \brief A response whose body is read part by part.
class response_reader {
 public:
  virtual ~response_reader() = default;

  /// \brief Status and fields; the body is empty.
  virtual const http_response& head() const = 0;
  /// \brief Next part of the body; empty at its end. Fails with
  /// `kUpstreamFailed` if the connection breaks or is silent for the timeout.
  virtual boost::asio::awaitable<result<std::string>> Read(
      duration timeout) = 0;
  /// \brief Closes the connection; a pending `Read()` fails.
  virtual void Cancel() = 0;
  /// \brief Whether the whole body was read.
  virtual bool complete() const = 0;
  /// \brief Gives the connection back for further requests, if the response is
  /// complete, nothing follows it and the server keeps the connection. Without
  /// this call the connection ends with the reader.
  virtual void ReleaseConnection() = 0;
};

/// \brief Cancels one call from outside of its coroutine.
class call_canceller {
 public:
  /// \brief Closes the connection of the call, now or when it is made.
  void Cancel() {
    cancelled_ = true;
    if (close_) {
      close_();
    }
  }
  bool cancelled() const { return cancelled_; }

  /// \brief Used by the client: what closes the present connection.
  void set_close(std::function<void()> close) { close_ = std::move(close); }

 private:
  bool cancelled_ = false;
  std::function<void()> close_;
};

/// \brief Bounds of the connections of an `http_client`.
struct http_client_options {
  duration connect_timeout = seconds(2);
  /// Servers close idle connections; an older one is not used again.
  duration max_idle_time = seconds(20);
  std::size_t max_idle_connections = 8;  ///< For each endpoint.
  std::size_t max_body_bytes = 64UL << 20;
  /// Whether connections are reset when they are closed. Bytes of a request
  /// that wait behind a partition would else arrive when it heals, long after
  /// the request was given up.
  bool reset_on_close = false;

  auto operator<=>(const http_client_options&) const = default;
};

/// \brief HTTP/1.1 client with reuse of connections, on one `io_context`.
class http_client {
 public:
  explicit http_client(boost::asio::io_context& context,
                       http_client_options bounds = {});
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// \brief Sends a request and reads the whole response.
  ///
  /// Fails with `kNoUpstream` if no connection was made, so that nothing was
  /// sent, and with `kUpstreamFailed` if the outcome is not known. A request
  /// that fails on a reused connection is not repeated.
  /// \param timeout for the whole response, or for its head if `stall` is set.
  /// \param stall longest time between two parts of the body; zero for none. A
  /// large body may take long on a link that is full, and would have to be sent
  /// again from its beginning.
  boost::asio::awaitable<result<http_response>> Request(http_endpoint endpoint,
                                                        http_request request,
                                                        duration timeout,
                                                        duration stall = {});

  /// \brief Sends a request and reads only the head of the response.
  /// \param max_idle oldest idle connection that is used; zero for a new one.
  /// \param canceller may be null.
  ///
  /// Fails as `Request()` does.
  boost::asio::awaitable<result<std::shared_ptr<response_reader>>> Open(
      http_endpoint endpoint,
      http_request request,
      duration timeout,
      duration max_idle = seconds(20),
      std::shared_ptr<call_canceller> canceller = nullptr);

  /// \brief Closes idle connections to an endpoint.
  void CloseIdleConnections(const http_endpoint& endpoint);

  /// \brief Closes idle connections that servers have closed or that are too
  /// old; called now and then.
  void PruneIdleConnections();

  /// \brief Bodies above this size fail with `kUpstreamFailed`.
  void set_body_limit(std::size_t bytes);

 private:
  class state;
  std::shared_ptr<state> state_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_HTTP_HTTP_CLIENT_H_
