#ifndef FIREFLYSLIP_PLACEMENT_HELD_MAXIMUM_H_
#define FIREFLYSLIP_PLACEMENT_HELD_MAXIMUM_H_

#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Value that follows an increase at once and a decrease only after a
/// hold time.
///
/// It is meant for counts that start from zero again when their source
/// restarts.
class held_maximum {
 public:
  explicit held_maximum(double initial) : value_(initial) {}

  void Add(double sample, time_point now) {
    if (sample >= value_ || now - reached_at_ > kHoldTime) {
      value_ = sample;
      reached_at_ = now;
    }
  }

  double value() const { return value_; }

 private:
  static constexpr duration kHoldTime = seconds(5);

  double value_;
  time_point reached_at_;  // last sample that was not lower
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PLACEMENT_HELD_MAXIMUM_H_
