#ifndef FIREFLYSLIP_CATALOG_WATCH_FRESHNESS_H_
#define FIREFLYSLIP_CATALOG_WATCH_FRESHNESS_H_

#include <algorithm>
#include <optional>

#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Earliest moment at which what is known of the platform was true.
///
/// An answer was made after its call was sent, and a watch that ended without
/// events was answered after its wait. The arrival of an answer proves nothing,
/// because it may have been held up. Times are on a clock that includes
/// suspension of the VM.
class watch_freshness {
 public:
  /// \brief A call sent at `sent` was answered with the present state.
  void ConfirmRead(time_point sent) { Raise(sent); }

  /// \brief A watch sent at `sent` ended after `wait` without events.
  void ConfirmEmptyWatch(time_point sent, duration wait) { Raise(sent + wait); }

  /// \brief Moment up to which all changes are known; empty before the first.
  std::optional<time_point> current_as_of() const { return current_as_of_; }

  /// \brief Whether changes older than `bound` may be unknown.
  bool IsStale(time_point now, duration bound) const {
    return !current_as_of_ || now - *current_as_of_ > bound;
  }

 private:
  void Raise(time_point moment) {
    current_as_of_ =
        current_as_of_ ? std::max(*current_as_of_, moment) : moment;
  }

  std::optional<time_point> current_as_of_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CATALOG_WATCH_FRESHNESS_H_
