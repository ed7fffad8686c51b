#include "fireflyslip/runtime/log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <mutex>
#include <string>

#include "fireflyslip/runtime/process_clock.h"

namespace fireflyslip {
namespace {

/// Capacity of the queue for a slow reader; the oldest lines are overwritten.
constexpr std::size_t kMaxQueuedLines = 1024;
/// Token bucket: sustained rate in lines per second and burst size.
constexpr double kLinesPerSecond = 300;
constexpr double kBurstLines = 600;
constexpr seconds kFlushInterval{1};

/// \brief Token bucket that limits the log rate and counts dropped lines.
class log_rate_limiter {
 public:
  /// \brief Whether a line may be written; sets `dropped` to the number of
  /// lines dropped since the previous one.
  bool TryAcquire(std::size_t& dropped) {
    const std::lock_guard lock(mutex_);
    const time_point now = MonotonicNow();
    available_ =
        std::min(kBurstLines,
                 available_ + ToSeconds(now - last_refill_) * kLinesPerSecond);
    last_refill_ = now;
    if (available_ < 1) {
      ++dropped_;
      return false;
    }
    available_ -= 1;
    dropped = std::exchange(dropped_, 0);
    return true;
  }

 private:
  std::mutex mutex_;
  double available_ = kBurstLines;
  time_point last_refill_ = MonotonicNow();
  std::size_t dropped_ = 0;
};

log_rate_limiter& RateLimiter() {
  static log_rate_limiter limiter;
  return limiter;
}

}  // namespace

void StartLogging() {
  spdlog::init_thread_pool(kMaxQueuedLines, 1);
  auto logger =
      spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>("fireflyslip");
  logger->set_pattern("%v");
  spdlog::set_default_logger(std::move(logger));
  spdlog::flush_every(kFlushInterval);
}

void LogLine(std::string_view line) {
  std::size_t dropped = 0;
  if (!RateLimiter().TryAcquire(dropped)) {
    return;
  }
  if (dropped > 0) {
    spdlog::info("event=log_dropped lines={}", dropped);
  }
  spdlog::info(line);
}

}  // namespace fireflyslip
