#ifndef FIREFLYSLIP_CATALOG_UPSTREAM_ENTRY_H_
#define FIREFLYSLIP_CATALOG_UPSTREAM_ENTRY_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "fireflyslip/core/ids.h"
#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Registration of an upstream in the service registry.
struct upstream_entry {
  upstream_id id;
  service_name service;
  std::string address;  ///< `ADDRESS:PORT`
  data_centre_id data_centre;
  std::size_t slots = 1;  ///< Maximum number of concurrent requests.
  bool draining = false;
  bool has_engine = false;  ///< Serves models; a stager runs beside it.
  /// Start time of this incarnation, in Unix milliseconds; an upstream may keep
  /// its id over a restart.
  std::uint64_t started_ms = 0;
  /// Versions of the weights that it serves; empty for services without models.
  std::map<model_name, std::uint64_t> model_versions;

  /// Time for which it remained cold at its last heartbeat.
  duration cold_for = {};

  /// Number of heartbeats since the start.
  std::uint64_t sequence = 0;

  auto operator<=>(const upstream_entry&) const = default;
};

/// \brief Whether an entry differs from an earlier one at most in its
/// heartbeats and in the cold time that has passed since.
inline bool IsSameState(const upstream_entry& earlier, upstream_entry entry) {
  entry.sequence = earlier.sequence;
  if (entry.cold_for < earlier.cold_for) {
    entry.cold_for = earlier.cold_for;
  }
  return earlier == entry;
}

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CATALOG_UPSTREAM_ENTRY_H_
