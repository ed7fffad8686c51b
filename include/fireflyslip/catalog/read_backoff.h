#ifndef FIREFLYSLIP_CATALOG_READ_BACKOFF_H_
#define FIREFLYSLIP_CATALOG_READ_BACKOFF_H_

#include <algorithm>

#include "fireflyslip/core/random_source.h"
#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Timing of `read_backoff`.
struct read_backoff_policy {
  duration first_timeout = milliseconds(900);
  duration max_timeout = milliseconds(3600);
  duration first_delay = milliseconds(200);
  duration max_delay = milliseconds(1600);

  auto operator<=>(const read_backoff_policy&) const = default;
};

/// \brief Timeout of a read, and delay after a failed one.
///
/// Load pattern: all processes of a fleet start at the same time and read the
/// same list over a link that takes seconds for all of them. A read that is
/// given up has used the link in vain, so both times double with each failure
/// until all reads fit.
class read_backoff {
 public:
  explicit read_backoff(read_backoff_policy policy = {}) : policy_(policy) {}

  duration timeout() const {
    return std::min(policy_.first_timeout * (1 << failures_),
                    policy_.max_timeout);
  }

  /// \brief A read failed. Returns the time until the next one.
  duration RecordFailure(random_source& random) {
    constexpr int kMaxDoublings = 8;
    const duration delay =
        std::min(policy_.first_delay * (1 << failures_), policy_.max_delay);
    failures_ = std::min(failures_ + 1, kMaxDoublings);
    return FromSeconds(ToSeconds(delay) * (1 + random.Fraction()) / 2);
  }

  void RecordSuccess() { failures_ = 0; }

 private:
  read_backoff_policy policy_;
  int failures_ = 0;  // consecutive
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CATALOG_READ_BACKOFF_H_
