#ifndef FIREFLYSLIP_RETRY_RETRY_BUDGET_H_
#define FIREFLYSLIP_RETRY_RETRY_BUDGET_H_

#include <algorithm>

namespace fireflyslip {

/// \brief Limits retries to a fraction of the first attempts.
///
/// Without a budget, retries multiply the load on a fleet that fails because it
/// is overloaded.
class retry_budget {
 public:
  /// \param ratio retries per first attempt.
  /// \param reserve maximum number of retries in a burst.
  explicit retry_budget(double ratio = 0.1, double reserve = 10)
      : ratio_(ratio), reserve_(reserve), level_(reserve) {}

  void CountFirstAttempt() { level_ = std::min(reserve_, level_ + ratio_); }

  /// \brief Takes one retry; false if the budget is exhausted.
  bool Take() {
    if (level_ < 1) {
      return false;
    }
    level_ -= 1;
    return true;
  }

  double level() const { return level_; }

 private:
  double ratio_;
  double reserve_;
  double level_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_RETRY_RETRY_BUDGET_H_
