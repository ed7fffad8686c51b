#ifndef FIREFLYSLIP_CATALOG_PENDING_CONFIRMATIONS_H_
#define FIREFLYSLIP_CATALOG_PENDING_CONFIRMATIONS_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>

#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Times as of which a version of the configuration was the newest, for
/// versions whose content has not been read yet.
///
/// Load pattern: versions in quick succession, each announced before the
/// content of the one before has been read. The state as of a time is known
/// once the version of that time, or a later one, is in force; waiting for the
/// newest announced version would let the keys expire meanwhile.
class pending_confirmations {
 public:
  /// \brief Records that `version` was the newest as of a time.
  void Announce(std::uint64_t version, time_point current_as_of) {
    time_point& known =
        by_version_.try_emplace(version, current_as_of).first->second;
    known = std::max(known, current_as_of);
  }

  /// \brief Returns the latest time whose state is known while `version` is in
  /// force, if there is a new one.
  std::optional<time_point> TakeConfirmed(std::uint64_t version) {
    std::optional<time_point> latest;
    const auto end = by_version_.upper_bound(version);
    for (auto it = by_version_.begin(); it != end; ++it) {
      latest = latest ? std::max(*latest, it->second) : it->second;
    }
    by_version_.erase(by_version_.begin(), end);
    return latest;
  }

 private:
  std::map<std::uint64_t, time_point> by_version_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CATALOG_PENDING_CONFIRMATIONS_H_
