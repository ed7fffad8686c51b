#ifndef FIREFLYSLIP_MEMBERSHIP_PAUSE_DETECTOR_H_
#define FIREFLYSLIP_MEMBERSHIP_PAUSE_DETECTOR_H_

#include <optional>

#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Detects periods in which the process did not run.
///
/// The owner calls `Observe()` on a periodic timer. Leases may have expired
/// during a pause, so the process gives up what it held before it proceeds.
class pause_detector {
 public:
  /// \brief Gaps above the bound are pauses.
  explicit pause_detector(duration bound) : bound_(bound) {}

  /// \brief Records a timer tick; returns the length of the gap if it was a
  /// pause.
  std::optional<duration> Observe(time_point now) {
    const std::optional<time_point> last = last_;
    last_ = now;
    if (last.has_value() && now - *last > bound_) {
      return now - *last;
    }
    return std::nullopt;
  }

 private:
  duration bound_;
  std::optional<time_point> last_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_MEMBERSHIP_PAUSE_DETECTOR_H_
