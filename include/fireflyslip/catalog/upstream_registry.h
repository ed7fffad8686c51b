#ifndef FIREFLYSLIP_CATALOG_UPSTREAM_REGISTRY_H_
#define FIREFLYSLIP_CATALOG_UPSTREAM_REGISTRY_H_

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

/// \brief Upstreams by id at one moment.
using upstream_map = std::map<upstream_id, upstream_entry>;

/// \brief Decision core that keeps the list of upstreams.
///
/// An upstream that leaves the list is dropped at once, except around an
/// outage of the platform: entries that lapsed while the platform was away come
/// back when it returns, so they are kept for a grace period.
class upstream_registry {
 public:
  /// \brief The whole list was read.
  struct listed {
    std::vector<upstream_entry> entries;

    bool operator==(const listed&) const = default;
  };
  /// \brief An entry was added or changed.
  struct changed {
    upstream_entry entry;

    bool operator==(const changed&) const = default;
  };
  /// \brief An entry was removed, or its content names no upstream to use.
  struct removed {
    upstream_id id;

    bool operator==(const removed&) const = default;
  };
  /// \brief The platform answered; sent before `listed`, `changed` and
  /// `removed`.
  struct platform_responded {
    /// Time since calls began to fail; zero if none has failed. A quiet watch
    /// is no silence.
    duration unreachable_for = {};

    bool operator==(const platform_responded&) const = default;
  };
  using event =
      std::variant<tick, platform_responded, listed, changed, removed>;

  /// \brief The set of upstreams changed.
  struct publish {
    std::shared_ptr<const upstream_map> upstreams;

    bool operator==(const publish&) const = default;
  };
  using action = std::variant<publish>;

  /// \param outage silence of the platform after which its return starts the
  /// grace period.
  /// \param grace time for which a missing entry is kept after an outage.
  upstream_registry(duration outage, duration grace)
      : outage_(outage), grace_(grace) {}

  std::vector<action> Handle(const event& event, time_point now);
  std::optional<time_point> NextDeadline() const;

 private:
  bool InGrace(time_point now) const { return now < grace_until_; }
  void Drop(const upstream_id& id, time_point now);

  duration outage_;
  duration grace_;

  time_point grace_until_;
  upstream_map entries_;
  std::set<upstream_id> missing_;  // kept until the grace period ends
  bool changed_ = false;
};

static_assert(decision_core<upstream_registry>);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CATALOG_UPSTREAM_REGISTRY_H_
