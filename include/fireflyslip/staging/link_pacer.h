#ifndef FIREFLYSLIP_STAGING_LINK_PACER_H_
#define FIREFLYSLIP_STAGING_LINK_PACER_H_

#include <algorithm>
#include <cstddef>
#include <optional>

#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Paces chunk transfers on a link that carries requests and streams.
///
/// The available bandwidth may be far below the rated one. The rate is reduced
/// after a transfer that takes too long for the rated bandwidth, and increased
/// after one that does not.
class link_pacer {
 public:
  /// \param rated bytes a second of the link that chunks may use.
  explicit link_pacer(double rated_bandwidth)
      : rated_bandwidth_(rated_bandwidth), rate_(rated_bandwidth) {}

  /// \brief Reserves the link. Returns the time at which the transfer may
  /// start, or nothing if that is later than `max_wait` from now.
  std::optional<time_point> Reserve(std::size_t bytes,
                                    time_point now,
                                    duration max_wait) {
    const time_point begin = std::max(now, free_at_);
    if (begin - now > max_wait) {
      return std::nullopt;
    }
    free_at_ = begin + FromSeconds(static_cast<double>(bytes) / rate_);
    return begin;
  }

  /// \brief Adapts the rate to the measured duration of a transfer.
  void Observe(std::size_t bytes, duration taken) {
    const duration rated_time =
        FromSeconds(static_cast<double>(bytes) / rated_bandwidth_);
    if (taken > rated_time * kSlowTransferFactor + kSlowStartTime) {
      rate_ = std::max(rate_ * kDecreaseFactor,
                       rated_bandwidth_ * kMinRateFraction);
    } else {
      rate_ = std::min(rate_ * kIncreaseFactor, rated_bandwidth_);
    }
  }

  /// \brief Cancels all reservations.
  void Clear() { free_at_ = {}; }

  double rate() const { return rate_; }

 private:
  /// Tolerance for transfers that overlap and share the link for a while.
  static constexpr int kSlowTransferFactor = 3;
  /// Allowance for TCP slow start on a connection between regions.
  static constexpr duration kSlowStartTime = milliseconds(30);
  static constexpr double kDecreaseFactor = 0.6;
  static constexpr double kIncreaseFactor = 1.15;
  static constexpr double kMinRateFraction = 0.06;

  double rated_bandwidth_;
  double rate_;
  time_point free_at_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_STAGING_LINK_PACER_H_
