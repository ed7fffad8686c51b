#ifndef FIREFLYSLIP_PLACEMENT_RETRY_WINDOW_H_
#define FIREFLYSLIP_PLACEMENT_RETRY_WINDOW_H_

#include <deque>

#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Retry budget of one service over a sliding window.
///
/// The gateways share the budget without communication: each one uses the
/// ratio of its own requests and an equal part of the fixed allowance.
class retry_window {
 public:
  /// \param length length of the window.
  /// \param ratio retries per request.
  explicit retry_window(duration length = seconds(10), double ratio = 0.1)
      : length_(length), ratio_(ratio) {}

  void CountRequest(time_point now) {
    Expire(now);
    requests_.push_back(now);
  }

  /// \brief Takes one retry; false if the budget is exhausted.
  /// \param allowance retries per window in addition to the ratio.
  bool Take(time_point now, double allowance) {
    Expire(now);
    const double budget =
        ratio_ * static_cast<double>(requests_.size()) + allowance;
    if (static_cast<double>(retries_.size()) + 1 > budget) {
      return false;
    }
    retries_.push_back(now);
    return true;
  }

 private:
  void Expire(time_point now) {
    while (!requests_.empty() && requests_.front() + length_ <= now) {
      requests_.pop_front();
    }
    while (!retries_.empty() && retries_.front() + length_ <= now) {
      retries_.pop_front();
    }
  }

  duration length_;
  double ratio_;
  std::deque<time_point> requests_;
  std::deque<time_point> retries_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PLACEMENT_RETRY_WINDOW_H_
