#ifndef FIREFLYSLIP_PLACEMENT_UPSTREAM_LOAD_H_
#define FIREFLYSLIP_PLACEMENT_UPSTREAM_LOAD_H_

#include <compare>
#include <cstdint>
#include <map>

#include "fireflyslip/core/ids.h"
#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief State of a replica as its agent reads it on the same VM.
struct upstream_load {
  std::uint32_t active = 0;  ///< Requests that run.
  std::uint32_t queued = 0;  ///< Requests that wait for a slot.
  /// Requests are not begun, because weights are loaded.
  bool loading = false;
  bool reachable = true;       ///< The replica answers its agent.
  std::uint32_t gateways = 0;  ///< Entries that receive the reports.
  /// Time of a datagram to the agent and back, beside the time it was held.
  duration round_trip_time = {};
  std::map<model_name, std::uint64_t> model_versions;

  auto operator<=>(const upstream_load&) const = default;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PLACEMENT_UPSTREAM_LOAD_H_
