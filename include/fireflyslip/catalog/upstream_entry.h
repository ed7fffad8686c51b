#ifndef FIREFLYSLIP_CATALOG_UPSTREAM_ENTRY_H_
#define FIREFLYSLIP_CATALOG_UPSTREAM_ENTRY_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "fireflyslip/core/ids.h"

namespace fireflyslip {

/// \brief What an upstream says of itself in the list of upstreams.
struct upstream_entry {
  upstream_id id;
  service_name service;
  std::string address;  ///< `ADDRESS:PORT`
  data_centre_id data_centre;
  std::size_t slots = 1;  ///< Requests that run at the same time.
  bool draining = false;
  /// Start of this incarnation, in Unix milliseconds; an upstream that starts
  /// again may keep its id.
  std::uint64_t started_ms = 0;
  /// Weights that it serves; empty for plain services.
  std::map<model_name, std::uint64_t> model_versions;

  auto operator<=>(const upstream_entry&) const = default;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CATALOG_UPSTREAM_ENTRY_H_
