#ifndef FIREFLYSLIP_RETRY_RETRY_BUDGET_H_
#define FIREFLYSLIP_RETRY_RETRY_BUDGET_H_

#include <algorithm>

namespace fireflyslip {

/// \brief Limits further attempts to a share of the first attempts.
///
/// Retries without a budget multiply the load on a fleet that fails because
/// of its load.
class retry_budget {
 public:
  /// \param ratio further attempts per first attempt.
  /// \param reserve highest number of further attempts in a row.
  explicit retry_budget(double ratio = 0.1, double reserve = 10)
      : ratio_(ratio), reserve_(reserve), level_(reserve) {}

  void CountFirstAttempt() { level_ = std::min(reserve_, level_ + ratio_); }

  /// \brief Takes one further attempt; false if the budget is used up.
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
