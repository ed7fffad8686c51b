#include "runtime/thread_monitor.h"

#include <time.h>

#include <utility>

#include "fireflyslip/runtime/log.h"
#include "fireflyslip/runtime/process_clock.h"

namespace fireflyslip {
namespace {

constexpr milliseconds kInterval{500};
/// Shorter delays are usual on a VM with a fraction of a core.
constexpr milliseconds kShortestReported{500};

/// Processor time that the calling thread has used.
duration ThreadCpuTime() {
  timespec used = {};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return std::chrono::duration_cast<duration>(
      seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec));
}

}  // namespace

thread_monitor::thread_monitor(boost::asio::io_context& context,
                               std::string thread,
                               metrics& counters)
    : thread_(std::move(thread)),
      counters_(counters),
      checked_at_(MonotonicNow()),
      timers_(context) {
  timers_.SubscribePeriodic(kInterval, [this] { Check(); });
}

void thread_monitor::Check() {
  const time_point now = MonotonicNow();
  const duration cpu_time = ThreadCpuTime();
  const duration held = now - checked_at_ - kInterval;
  if (held >= kShortestReported) {
    LogLine("event=thread_held thread=" + thread_ +
            " held_ms=" + std::to_string(held / milliseconds(1)) + " cpu_ms=" +
            std::to_string((cpu_time - cpu_time_) / milliseconds(1)));
    counters_.Count("thread_held_seconds_total", {{"thread", thread_}},
                    ToSeconds(held));
  }
  checked_at_ = now;
  cpu_time_ = cpu_time;
}

}  // namespace fireflyslip
