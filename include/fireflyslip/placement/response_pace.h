#ifndef FIREFLYSLIP_PLACEMENT_RESPONSE_PACE_H_
#define FIREFLYSLIP_PLACEMENT_RESPONSE_PACE_H_

#include <algorithm>
#include <cmath>

#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief How much longer than usual an upstream takes to respond, as one
/// gateway observes it.
///
/// Load pattern: upstreams of one service differ in speed, and some become slow
/// for a while, long before they are full. The measure is relative to the mean
/// of the service, so that nothing changes when all of them are slow. Without
/// responses it returns to 1, so that a slow upstream is tried again.
class response_pace {
 public:
  /// \brief Records a response.
  /// \param usual mean time of the responses of the service; above 0.
  void Record(duration time, duration usual, time_point now) {
    const double ratio =
        std::clamp(ToSeconds(time) / ToSeconds(usual), kMinRatio, kMaxRatio);
    const double known = factor(now);
    factor_ = known + (ratio - known) * kWeight;
    recorded_at_ = now;
  }

  /// \brief Time of a response relative to the mean of the service.
  double factor(time_point now) const {
    const double half_lives =
        ToSeconds(now - recorded_at_) / ToSeconds(kHalfLife);
    return 1 + (factor_ - 1) * std::exp2(-half_lives);
  }

 private:
  /// Weight of one response in the moving average.
  static constexpr double kWeight = 0.4;
  /// Bounds the effect of one response.
  static constexpr double kMinRatio = 0.25;
  static constexpr double kMaxRatio = 8;
  static constexpr duration kHalfLife = milliseconds(1500);

  double factor_ = 1;
  time_point recorded_at_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PLACEMENT_RESPONSE_PACE_H_
