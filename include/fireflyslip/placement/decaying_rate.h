#ifndef FIREFLYSLIP_PLACEMENT_DECAYING_RATE_H_
#define FIREFLYSLIP_PLACEMENT_DECAYING_RATE_H_

#include <cmath>

#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Rate of events, in which older ones count exponentially less.
class decaying_rate {
 public:
  void Count(double events, time_point now) {
    per_s_ = At(now) + events / kHorizonS;
    at_ = now;
  }

  /// \brief Events a second.
  double At(time_point now) const {
    return per_s_ * std::exp(-ToSeconds(now - at_) / kHorizonS);
  }

 private:
  /// Time constant in seconds; longer than the interval between load reports,
  /// shorter than a burst.
  static constexpr double kHorizonS = 1;

  double per_s_ = 0;
  time_point at_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PLACEMENT_DECAYING_RATE_H_
