#ifndef FIREFLYSLIP_CATALOG_EVACUATION_REGISTRY_H_
#define FIREFLYSLIP_CATALOG_EVACUATION_REGISTRY_H_

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "fireflyslip/core/decision_core.h"
#include "fireflyslip/core/ids.h"
#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Data centres whose upstreams get no requests.
using evacuated_set = std::set<data_centre_id>;

/// \brief Decision core that maintains the set of evacuated data centres.
///
/// Operators evacuate a data centre under full load. If the platform's store
/// comes back from an older copy, an evacuation that is missing there was not
/// ended by an operator. It is kept for a grace period, in which it can be
/// written again.
class evacuation_registry {
 public:
  /// \brief The complete set was read.
  struct listed {
    evacuated_set data_centres;
    /// This is the first list since the store came back from an older copy.
    bool restored = false;

    bool operator==(const listed&) const = default;
  };
  /// \brief One evacuation began or ended.
  struct changed {
    data_centre_id data_centre;
    bool evacuated = false;

    bool operator==(const changed&) const = default;
  };
  using event = std::variant<tick, listed, changed>;

  /// \brief Publish the set; sent for the first list and for each change.
  struct publish {
    evacuated_set data_centres;

    bool operator==(const publish&) const = default;
  };
  using action = std::variant<publish>;

  /// \param grace_period time for which an evacuation that is missing after a
  /// restore is kept.
  explicit evacuation_registry(duration grace_period)
      : grace_period_(grace_period) {}

  std::vector<action> Handle(const event& event, time_point now);
  std::optional<time_point> NextDeadline() const;

 private:
  void Apply(const listed& list, time_point now);

  duration grace_period_;
  evacuated_set listed_;
  std::map<data_centre_id, time_point> kept_;  // until this time
  std::optional<evacuated_set> published_;     // empty before the first list
};

static_assert(decision_core<evacuation_registry>);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CATALOG_EVACUATION_REGISTRY_H_
