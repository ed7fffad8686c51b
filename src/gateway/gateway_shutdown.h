#ifndef FIREFLYSLIP_GATEWAY_GATEWAY_SHUTDOWN_H_
#define FIREFLYSLIP_GATEWAY_GATEWAY_SHUTDOWN_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "fireflyslip/core/time.h"

namespace fireflyslip {

class gateway;

/// \brief Sequence of the planned stop of a gateway, from the stop signal until
/// the process may exit. Runs on the thread of the gateway.
class gateway_shutdown {
 public:
  /// \param drain_timeout time from the stop signal until the process is
  /// killed.
  /// \param on_finished called once, when the process may exit.
  gateway_shutdown(boost::asio::io_context& context,
                   gateway& target,
                   duration drain_timeout,
                   std::function<void()> on_finished);

  void Start();

 private:
  void ScheduleCheck();
  void CheckDrained();

  gateway& gateway_;
  const duration drain_timeout_;
  const std::function<void()> on_finished_;
  boost::asio::steady_timer timer_;
  time_point exit_at_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_GATEWAY_GATEWAY_SHUTDOWN_H_
