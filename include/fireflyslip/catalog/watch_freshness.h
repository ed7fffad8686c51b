#ifndef FIREFLYSLIP_CATALOG_WATCH_FRESHNESS_H_
#define FIREFLYSLIP_CATALOG_WATCH_FRESHNESS_H_

#include <algorithm>
#include <optional>

#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Tracks the time as of which the local view of the platform is
/// current.
///
/// A response reflects the state after its request was sent, and a watch that
/// ended without events the state after its wait. The arrival time is no bound,
/// because the response may have been delayed. Times are on a clock that
/// includes suspension of the VM.
class watch_freshness {
 public:
  /// \brief A request sent at `sent` returned the current state.
  void ConfirmRead(time_point sent) { AdvanceTo(sent); }

  /// \brief A watch sent at `sent` ended after `wait` without events.
  void ConfirmEmptyWatch(time_point sent, duration wait) {
    AdvanceTo(sent + wait);
  }

  /// \brief Time up to which all changes are known; empty before the first
  /// response.
  std::optional<time_point> current_as_of() const { return current_as_of_; }

  /// \brief Whether changes older than `bound` may be unknown.
  bool IsStale(time_point now, duration bound) const {
    return !current_as_of_ || now - *current_as_of_ > bound;
  }

 private:
  void AdvanceTo(time_point moment) {
    current_as_of_ =
        current_as_of_ ? std::max(*current_as_of_, moment) : moment;
  }

  std::optional<time_point> current_as_of_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CATALOG_WATCH_FRESHNESS_H_
