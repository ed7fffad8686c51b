#ifndef FIREFLYSLIP_STANDINS_SERVICE_STANDIN_H_
#define FIREFLYSLIP_STANDINS_SERVICE_STANDIN_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "standins/http_server.h"

namespace fireflyslip::standins {

/// \brief Stand-in for a plain service that counts executions.
///
/// Executes every call that arrives, including repeated ones and those whose
/// caller has disconnected, so that tests detect duplicate executions.
class service_standin : public http_handler {
 public:
  /// \brief Each call takes the given time. Calls run concurrently.
  explicit service_standin(std::chrono::milliseconds work) : work_(work) {}

  boost::asio::awaitable<void> Handle(const http_request& request,
                                      http_exchange& exchange) override;

 private:
  std::chrono::milliseconds work_;
  std::uint64_t total_ = 0;
  std::map<std::string, std::uint64_t> executions_;
};

}  // namespace fireflyslip::standins

#endif  // FIREFLYSLIP_STANDINS_SERVICE_STANDIN_H_
