#ifndef FIREFLYSLIP_PLACEMENT_DECAYING_RATE_H_
#define FIREFLYSLIP_PLACEMENT_DECAYING_RATE_H_

#include <cmath>

#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Event rate with exponential decay of older events.
class decaying_rate {
 public:
  void Add(double events, time_point now) {
    rate_ = PerSecond(now) + events / kTimeConstantS;
    at_ = now;
  }

  /// \brief Decayed rate in events per second.
  double PerSecond(time_point now) const {
    return rate_ * std::exp(-ToSeconds(now - at_) / kTimeConstantS);
  }

 private:
  /// Time constant in seconds: longer than the load report interval, shorter
  /// than a burst of demand.
  static constexpr double kTimeConstantS = 1;

  double rate_ = 0;
  time_point at_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PLACEMENT_DECAYING_RATE_H_
