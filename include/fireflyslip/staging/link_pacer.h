#ifndef FIREFLYSLIP_STAGING_LINK_PACER_H_
#define FIREFLYSLIP_STAGING_LINK_PACER_H_

#include <algorithm>
#include <cstddef>
#include <optional>

#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Paces chunks on a link that streams and requests share.
///
/// A link may have far less than its rated bandwidth. A transfer that takes
/// longer than it should on the rated link lowers the rate, one that does not
/// raises it again.
class link_pacer {
 public:
  /// \param rated bytes a second of the link that chunks may use.
  explicit link_pacer(double rated) : rated_(rated), rate_(rated) {}

  /// \brief Reserves the link; returns when the transfer may begin, or nothing
  /// if that is later than `longest_wait` from now.
  std::optional<time_point> Reserve(std::size_t bytes,
                                    time_point now,
                                    duration longest_wait) {
    const time_point begin = std::max(now, free_at_);
    if (begin - now > longest_wait) {
      return std::nullopt;
    }
    free_at_ = begin + FromSeconds(static_cast<double>(bytes) / rate_);
    return begin;
  }

  /// \brief A transfer took this long.
  void Observe(std::size_t bytes, duration taken) {
    const duration rated_time =
        FromSeconds(static_cast<double>(bytes) / rated_);
    if (taken > rated_time * kSlowFactor + kRoundTrips) {
      rate_ = std::max(rate_ * kDecrease, rated_ * kLowestShare);
    } else {
      rate_ = std::min(rate_ * kIncrease, rated_);
    }
  }

  /// \brief What was reserved is not wanted any more.
  void Clear() { free_at_ = {}; }

  double rate() const { return rate_; }

 private:
  /// Transfers that begin close together share the link for a while.
  static constexpr int kSlowFactor = 3;
  /// Time for opening the window of a connection between regions.
  static constexpr duration kRoundTrips = milliseconds(30);
  static constexpr double kDecrease = 0.6;
  static constexpr double kIncrease = 1.15;
  static constexpr double kLowestShare = 0.06;

  double rated_;
  double rate_;
  time_point free_at_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_STAGING_LINK_PACER_H_
