#ifndef FIREFLYSLIP_ADMISSION_TOKEN_BUCKET_H_
#define FIREFLYSLIP_ADMISSION_TOKEN_BUCKET_H_

#include <optional>

#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Token bucket with variable rate and depth, whose level may be
/// negative.
class token_bucket {
 public:
  /// \brief Creates a half-full bucket. A full bucket would let each restarted
  /// gateway admit a whole burst in addition to what it admitted before.
  token_bucket(double rate, double depth, time_point now);

  /// \brief Changes rate (per second) and depth. This never raises the level,
  /// so that moving rate from one bucket to another creates no tokens.
  void Configure(double rate, double depth, time_point now);

  /// \brief Time until `amount` can be taken, or nothing if it never can.
  ///
  /// An amount above the depth needs a full bucket and leaves a negative level,
  /// because the share of one gateway may be smaller than one request.
  std::optional<duration> WaitFor(double amount, time_point now);

  /// \brief Takes an amount; a negative amount is returned to the bucket.
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
