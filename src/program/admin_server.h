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

/// \brief The admin port of a daemon: health, readiness, metrics, status and
/// events. Further paths are added by the daemon.
class admin_server {
 public:
  using handler =
      std::function<boost::asio::awaitable<http_response>(http_request)>;
  /// \brief Handler that ends when its response has been sent, for responses
  /// whose number at a time is bounded.
  using stream_handler =
      std::function<boost::asio::awaitable<void>(http_request,
                                                 response_writer&)>;

  admin_server(boost::asio::io_context& context, process_context& process);

  /// \brief Adds a handler for all targets that start with a prefix.
  void Handle(std::string prefix, handler handle);
  void HandleStream(std::string prefix, stream_handler handle);

  result<unsigned short> Listen();

 private:
  boost::asio::awaitable<void> Serve(http_request request,
                                     response_writer& writer);
  boost::asio::awaitable<http_response> Events(http_request request);

  process_context& process_;
  std::map<std::string, stream_handler> handlers_;
  http_server server_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_ADMIN_SERVER_H_
