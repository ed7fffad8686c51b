#ifndef FIREFLYSLIP_SCHEDULING_TOKEN_WINDOW_H_
#define FIREFLYSLIP_SCHEDULING_TOKEN_WINDOW_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "fireflyslip/core/rank.h"
#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Sliding window of the tokens served to each rank.
class token_window {
 public:
  /// \brief Length of the window. Contracts and floors are specified over 10 s.
  static constexpr duration kLength = seconds(10);

  /// \brief Drops tokens that are older than the window.
  void Advance(time_point now);

  /// \brief Adds tokens to a rank; a negative number corrects an estimate.
  void Add(request_rank rank, double tokens);

  /// \brief Tokens served to a rank in the window, never negative.
  double Served(request_rank rank) const;

  /// \brief Tokens served to all ranks in the window.
  double Total() const;

 private:
  static constexpr std::size_t kBuckets = 20;
  static constexpr duration kBucketLength = milliseconds(500);
  static_assert(kBucketLength * kBuckets == kLength);
  using bucket = std::array<double, kRankCount>;

  std::array<bucket, kBuckets> buckets_{};
  // Sequence number of the bucket of the current time.
  std::int64_t current_bucket_ = 0;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_SCHEDULING_TOKEN_WINDOW_H_
