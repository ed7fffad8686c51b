#ifndef FIREFLYSLIP_BOOKING_HOME_UPSTREAM_H_
#define FIREFLYSLIP_BOOKING_HOME_UPSTREAM_H_

#include <optional>
#include <vector>

#include "fireflyslip/core/ids.h"

namespace fireflyslip {

/// \brief Key of a call within the whole system: `WORKSPACE/KEY`.
///
/// Two workspaces may choose the same key; without the prefix one of them would
/// get the answer of the other.
idempotency_key ScopedKey(const workspace_id& workspace,
                          const idempotency_key& key);

/// \brief The one upstream that may run the call with this key.
///
/// The replicas are those that the configuration declares, not the live ones:
/// a choice among live replicas could run a retried call on a second replica.
/// Returns nothing when no replica is declared.
std::optional<upstream_id> HomeUpstream(
    const idempotency_key& key,
    const service_name& service,
    const std::vector<upstream_id>& declared_replicas);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_BOOKING_HOME_UPSTREAM_H_
