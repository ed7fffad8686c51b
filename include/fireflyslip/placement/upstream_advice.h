#ifndef FIREFLYSLIP_PLACEMENT_UPSTREAM_ADVICE_H_
#define FIREFLYSLIP_PLACEMENT_UPSTREAM_ADVICE_H_

#include <optional>

#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief What an upstream states about itself in a response.
struct upstream_advice {
  /// Requests per second that it takes from all gateways together, until a
  /// response without this statement; at least 0. Empty if there is no limit.
  std::optional<double> rate_limit;
  /// It is about to end and takes no new requests.
  bool leaving = false;
  /// Time for which it wants no requests from this gateway; stated with a
  /// refusal.
  std::optional<duration> retry_after;
  /// Time for which it remains cold.
  std::optional<duration> cold_for;

  auto operator<=>(const upstream_advice&) const = default;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PLACEMENT_UPSTREAM_ADVICE_H_
