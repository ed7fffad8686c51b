#ifndef FIREFLYSLIP_RUNTIME_THREAD_MONITOR_H_
#define FIREFLYSLIP_RUNTIME_THREAD_MONITOR_H_

#include <boost/asio/io_context.hpp>
#include <string>

#include "fireflyslip/core/time.h"
#include "fireflyslip/runtime/metrics.h"
#include "fireflyslip/runtime/timer_service.h"

namespace fireflyslip {

/// \brief Reports when one handler keeps all others of a thread waiting.
///
/// Writes `event=thread_held` with the time during which no timer ran and the
/// processor time that the thread used meanwhile, and adds the former to the
/// counter `thread_held_seconds_total`. A thread that computes uses about as
/// much processor time as it was held; one that is paused, or waits for the
/// processor, uses less.
class thread_monitor {
 public:
  /// \param thread name in the log line and the metric.
  thread_monitor(boost::asio::io_context& context,
                 std::string thread,
                 metrics& counters);

 private:
  void Check();

  const std::string thread_;
  metrics& counters_;
  time_point checked_at_;
  duration cpu_time_{};
  timer_service timers_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_RUNTIME_THREAD_MONITOR_H_
