#include "fireflyslip/admission/token_bucket.h"

#include <algorithm>

namespace fireflyslip {

token_bucket::token_bucket(double rate, double depth, time_point now)
    : rate_(rate), depth_(depth), level_(depth / 2), updated_(now) {}

void token_bucket::Configure(double rate, double depth, time_point now) {
  Refill(now);
  rate_ = rate;
  depth_ = depth;
  level_ = std::min(level_, depth);
}

std::optional<duration> token_bucket::WaitFor(double amount, time_point now) {
  Refill(now);
  const double deficit = std::min(amount, depth_) - level_;
  if (rate_ <= 0) {
    return std::nullopt;
  }
  if (deficit <= 0) {
    return duration(0);
  }
  return FromSeconds(deficit / rate_) + duration(1);
}

void token_bucket::Take(double amount, time_point now) {
  Refill(now);
  level_ = std::min(level_ - amount, depth_);
}

double token_bucket::level(time_point now) {
  Refill(now);
  return level_;
}

void token_bucket::Refill(time_point now) {
  if (now > updated_) {
    level_ = std::min(depth_, level_ + rate_ * ToSeconds(now - updated_));
    updated_ = now;
  }
}

}  // namespace fireflyslip
