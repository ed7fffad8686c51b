#ifndef FIREFLYSLIP_CATALOG_UPSTREAM_REGISTRY_H_
#define FIREFLYSLIP_CATALOG_UPSTREAM_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "fireflyslip/catalog/upstream_entry.h"
#include "fireflyslip/core/decision_core.h"
#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Snapshot of the upstreams by id.
using upstream_map = std::map<upstream_id, upstream_entry>;

/// \brief Decision core that maintains the list of upstreams.
///
/// An upstream that disappears from the list is removed at once, except after
/// an outage of the platform: entries that expired during the outage are
/// registered again when it ends, so they are kept for a grace period.
///
/// Leaving is permanent for an incarnation (id and start time): one that was
/// draining stays so, and one that was removed is not taken back from an older
/// copy of the store until it has sent another heartbeat. Entries without a
/// start time are exempt, because their incarnation is unknown.
class upstream_registry {
 public:
  /// \brief The complete list was read.
  struct listed {
    std::vector<upstream_entry> entries;

    bool operator==(const listed&) const = default;
  };
  /// \brief An entry was added or changed.
  struct changed {
    upstream_entry entry;

    bool operator==(const changed&) const = default;
  };
  /// \brief An entry was removed, or does not describe a usable upstream.
  struct removed {
    upstream_id id;

    bool operator==(const removed&) const = default;
  };
  /// \brief The platform responded; sent before `listed`, `changed` and
  /// `removed`.
  struct platform_responded {
    /// Time since calls began to fail; zero if none has failed. A watch without
    /// events does not count as a failure.
    duration unreachable_for = {};
    /// Time since the first response after that; positive if a relay passes it
    /// on later.
    duration recovered_for = {};

    bool operator==(const platform_responded&) const = default;
  };
  /// \brief The store came back from an older copy; sent before `listed`.
  /// Entries that are missing there are written again, as after an outage.
  struct store_restored {
    bool operator==(const store_restored&) const = default;
  };
  using event = std::variant<tick,
                             platform_responded,
                             store_restored,
                             listed,
                             changed,
                             removed>;

  /// \brief Publish the changed set of upstreams.
  struct publish {
    std::shared_ptr<const upstream_map> upstreams;

    bool operator==(const publish&) const = default;
  };
  using action = std::variant<publish>;

  /// \param outage_threshold time without a response of the platform after
  /// which the next response starts the grace period.
  /// \param grace_period time for which a missing entry is kept after an
  /// outage.
  /// \param max_departed number of removed incarnations that are remembered.
  upstream_registry(duration outage_threshold,
                    duration grace_period,
                    std::size_t max_departed = 1024)
      : outage_threshold_(outage_threshold),
        grace_period_(grace_period),
        max_departed_(max_departed) {}

  std::vector<action> Handle(const event& event, time_point now);
  std::optional<time_point> NextDeadline() const;

 private:
  bool InGrace(time_point now) const { return now < grace_until_; }
  /// \brief Stores an entry unless its incarnation is known to have left.
  void Set(upstream_entry entry);
  void Drop(const upstream_id& id, time_point now);
  void Erase(const upstream_id& id);

  /// Incarnation that was removed.
  struct departed {
    std::uint64_t started_ms = 0;
    std::uint64_t sequence = 0;
    bool draining = false;
    bool may_be_in_copy = false;  // the store was restored since
    std::uint64_t order = 0;      // of removal
  };

  duration outage_threshold_;
  duration grace_period_;
  std::size_t max_departed_;

  time_point grace_until_;
  upstream_map entries_;
  std::set<upstream_id> missing_;  // kept until the grace period ends
  std::map<upstream_id, departed> departed_;
  std::uint64_t departures_ = 0;
  bool changed_ = false;
};

static_assert(decision_core<upstream_registry>);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CATALOG_UPSTREAM_REGISTRY_H_
