#ifndef FIREFLYSLIP_PROGRAM_ADMIN_SERVER_H_
#define FIREFLYSLIP_PROGRAM_ADMIN_SERVER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <string>

#include "fireflyslip/http.h"
#include "program/process_context.h"

namespace fireflyslip {

/// \brief HTTP server of the admin port of a daemon. Serves `/health`,
/// `/metrics` and `/events`; the daemon registers handlers for further paths.
class admin_server {
 public:
  using handler =
      std::function<boost::asio::awaitable<http_response>(http_request)>;
  /// \brief Handler that sends the response itself and ends when it has been
  /// sent, so that the number of concurrent responses can be limited.
  using stream_handler =
      std::function<boost::asio::awaitable<void>(http_request,
                                                 response_writer&)>;

  admin_server(boost::asio::io_context& context, process_context& process);

  /// \brief Registers a handler for all paths that start with a prefix.
  void Handle(std::string prefix, handler handler_function);
  void HandleStream(std::string prefix, stream_handler handler_function);

  result<unsigned short> Listen();

 private:
  boost::asio::awaitable<void> HandleRequest(http_request request,
                                             response_writer& writer);
  boost::asio::awaitable<http_response> HandleEvents(http_request request);

  process_context& process_;
  std::map<std::string, stream_handler> handlers_;
  http_server server_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_ADMIN_SERVER_H_
