#include "fireflyslip/scheduling/token_window.h"

#include <algorithm>

namespace fireflyslip {

void token_window::Advance(time_point now) {
  const std::int64_t current = now.time_since_epoch() / kBucketLength;
  if (current <= current_bucket_) {
    return;
  }
  const std::int64_t elapsed =
      std::min<std::int64_t>(current - current_bucket_, kBuckets);
  for (std::int64_t i = 0; i < elapsed; ++i) {
    buckets_.at(static_cast<std::size_t>((current - i) % kBuckets)) = {};
  }
  current_bucket_ = current;
}

void token_window::Add(request_rank rank, double tokens) {
  buckets_.at(static_cast<std::size_t>(current_bucket_ % kBuckets))
      .at(IndexOf(rank)) += tokens;
}

double token_window::Served(request_rank rank) const {
  double sum = 0;
  for (const bucket& tokens : buckets_) {
    sum += tokens.at(IndexOf(rank));
  }
  return std::max(sum, 0.0);
}

double token_window::Total() const {
  double sum = 0;
  for (const request_rank rank : kAllRanks) {
    sum += Served(rank);
  }
  return sum;
}

}  // namespace fireflyslip
