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

/// Lines that wait for a slow reader; older ones are overwritten.
constexpr std::size_t kQueuedLines = 1024;
/// Lines a second that are written in the long run, and at once.
constexpr double kLinesPerSecond = 300;
constexpr double kLineBurst = 600;
constexpr seconds kFlushInterval{1};

/// \brief Bounds the volume of the log and counts what was left out.
class line_budget {
 public:
  /// \brief Whether a line may be written; `dropped` is the number of lines
  /// left out since the last one.
  bool Take(std::size_t& dropped) {
    const std::lock_guard lock(mutex_);
    const time_point now = MonotonicNow();
    level_ =
        std::min(kLineBurst, level_ + ToSeconds(now - last_) * kLinesPerSecond);
    last_ = now;
    if (level_ < 1) {
      ++dropped_;
      return false;
    }
    level_ -= 1;
    dropped = std::exchange(dropped_, 0);
    return true;
  }

 private:
  std::mutex mutex_;
  double level_ = kLineBurst;
  time_point last_ = MonotonicNow();
  std::size_t dropped_ = 0;
};

line_budget& Budget() {
  static line_budget budget;
  return budget;
}

}  // namespace

void StartLogging() {
  spdlog::init_thread_pool(kQueuedLines, 1);
  auto logger =
      spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>("fireflyslip");
  logger->set_pattern("%v");
  spdlog::set_default_logger(std::move(logger));
  spdlog::flush_every(kFlushInterval);
}

void LogLine(std::string_view line) {
  std::size_t dropped = 0;
  if (!Budget().Take(dropped)) {
    return;
  }
  if (dropped > 0) {
    spdlog::info("event=log_dropped lines={}", dropped);
  }
  spdlog::info(line);
}

}  // namespace fireflyslip
