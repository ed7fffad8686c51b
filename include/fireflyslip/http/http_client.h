#ifndef FIREFLYSLIP_HTTP_HTTP_CLIENT_H_
#define FIREFLYSLIP_HTTP_HTTP_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
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
};

/// \brief HTTP/1.1 client with reuse of connections, on one `io_context`.
class http_client {
 public:
  explicit http_client(boost::asio::io_context& context);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// \brief Sends a request and reads the whole response.
  ///
  /// Fails with `kNoUpstream` if no connection was made, so that nothing was
  /// sent, and with `kUpstreamFailed` if the outcome is not known. A request
  /// that fails on a reused connection is not repeated.
  boost::asio::awaitable<result<http_response>> Request(http_endpoint endpoint,
                                                        http_request request,
                                                        duration timeout);

  /// \brief Sends a request and reads only the head of the response.
  boost::asio::awaitable<result<std::shared_ptr<response_reader>>>
  Open(http_endpoint endpoint, http_request request, duration timeout);

  /// \brief Bodies above this size fail with `kUpstreamFailed`.
  void set_body_limit(std::size_t bytes);

 private:
  class state;
  std::shared_ptr<state> state_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_HTTP_HTTP_CLIENT_H_
