#ifndef FIREFLYSLIP_PLACEMENT_UPSTREAM_LOAD_H_
#define FIREFLYSLIP_PLACEMENT_UPSTREAM_LOAD_H_

#include <compare>
#include <cstdint>
#include <map>

#include "fireflyslip/core/ids.h"
#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief State of a replica as its agent on the same VM reports it.
struct upstream_load {
  std::uint32_t active = 0;  ///< Running requests.
  std::uint32_t queued = 0;  ///< Requests that wait for a slot.
  /// The replica starts no requests, because weights are loaded.
  bool loading = false;
  bool reachable = true;       ///< The replica responds to its agent.
  std::uint32_t gateways = 0;  ///< Gateways that receive the reports.
  /// Requests that the receiver may send until the next report while the
  /// replica is cold.
  std::uint32_t cold_permits = 0;
  /// Round-trip time of a datagram to the agent, without the time for which
  /// the agent held it.
  duration round_trip_time = {};
  std::map<model_name, std::uint64_t> model_versions;

  auto operator<=>(const upstream_load&) const = default;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PLACEMENT_UPSTREAM_LOAD_H_
