#ifndef FIREFLYSLIP_ADMISSION_TOKEN_BUCKET_H_
#define FIREFLYSLIP_ADMISSION_TOKEN_BUCKET_H_

#include <optional>

#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Token bucket with a changeable rate and depth, possibly in debt.
class token_bucket {
 public:
  /// \brief Creates a bucket that holds half its depth. A full bucket in each
  /// restarted entry would add a whole burst to what the entry used before.
  token_bucket(double rate, double depth, time_point now);

  /// \brief Changes rate (per second) and depth. The level never rises by
  /// this, so that moving rate from one bucket to another creates nothing.
  void Configure(double rate, double depth, time_point now);

  /// \brief Time until `amount` can be taken; nothing if it never can.
  ///
  /// An amount above the depth needs a full bucket and leaves a debt, because
  /// the share of one entry may be smaller than one request.
  std::optional<duration> WaitFor(double amount, time_point now);

  /// \brief Takes an amount; a negative amount is given back.
  void Take(double amount, time_point now);

  double level(time_point now);

 private:
  void Refill(time_point now);

  double rate_;
  double depth_;
  double level_;
  time_point updated_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_ADMISSION_TOKEN_BUCKET_H_
