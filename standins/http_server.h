#ifndef FIREFLYSLIP_STANDINS_HTTP_SERVER_H_
#define FIREFLYSLIP_STANDINS_HTTP_SERVER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>

#include "standins/http_exchange.h"
#include "standins/http_message.h"

namespace fireflyslip::standins {

/// \brief Handles the requests of an `http_server`.
class http_handler {
 public:
  virtual ~http_handler() = default;

  /// \brief Handles one request. An exception results in status 400.
  virtual boost::asio::awaitable<void> Handle(const http_request& request,
                                              http_exchange& exchange) = 0;

  /// \brief Called when the `io_context` has stopped and before it is
  /// destroyed. Releases objects that refer to it, such as timers.
  virtual void OnStopped() {}
};

/// \brief HTTP/1.1 server with keep-alive for the stand-ins.
///
/// Runs on the single thread of its `io_context`. The server and the handler
/// must stay alive until the context has stopped.
class http_server {
 public:
  /// \brief Listens on the port; 0 selects a free one. Throws
  /// `boost::system::system_error` if the address cannot be used.
  http_server(boost::asio::io_context& context,
              http_handler& handler,
              const std::string& address,
              std::uint16_t port);

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

 private:
  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(boost::asio::ip::tcp::socket socket);

  http_handler& handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
};

}  // namespace fireflyslip::standins

#endif  // FIREFLYSLIP_STANDINS_HTTP_SERVER_H_
