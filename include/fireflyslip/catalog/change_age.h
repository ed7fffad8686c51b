#ifndef FIREFLYSLIP_CATALOG_CHANGE_AGE_H_
#define FIREFLYSLIP_CATALOG_CHANGE_AGE_H_

#include <algorithm>
#include <optional>

#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Bounds how long ago a change that a process has just learned of was
/// made.
///
/// Watches return changes at once, so a change is new unless its notice may
/// have been delayed: by a pause of the process, a failed request, or a time in
/// which nothing was followed. It may then be as old as the view that it
/// changes. Times are on a clock that includes suspension of the VM.
class change_age {
 public:
  /// Longest gap between two calls of `Observe()` that is not a pause.
  static constexpr milliseconds kMaxObservationGap{500};

  /// \param started start of the process.
  /// \param assumed_age assumed age at that time of what is known first.
  change_age(time_point started, duration assumed_age)
      : unknown_before_(started - assumed_age), interrupted_at_(started) {}

  /// \brief Records that the process is running.
  void Observe(time_point now) {
    if (observed_at_ && now - *observed_at_ > kMaxObservationGap) {
      RecordInterruption(now);
    }
    observed_at_ = now;
  }

  /// \brief A request for changes failed, or changes were not followed until
  /// now.
  void RecordInterruption(time_point now) { interrupted_at_ = now; }

  /// \brief All changes up to `as_of` are known.
  void ConfirmCurrent(time_point as_of) {
    current_as_of_ = std::max(current_as_of_.value_or(as_of), as_of);
  }

  /// \brief Time before which a change that arrives now cannot have been made.
  time_point EarliestChange(time_point now) {
    Observe(now);
    return known_until() < interrupted_at_ ? known_until() : now;
  }

  /// \brief Time up to which all changes are known, by assumption before the
  /// first confirmation.
  time_point known_until() const {
    return current_as_of_.value_or(unknown_before_);
  }

  /// \brief Time up to which all changes are known; empty before the first
  /// confirmation.
  std::optional<time_point> current_as_of() const { return current_as_of_; }

 private:
  time_point unknown_before_;
  time_point interrupted_at_;
  std::optional<time_point> observed_at_;
  std::optional<time_point> current_as_of_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CATALOG_CHANGE_AGE_H_
