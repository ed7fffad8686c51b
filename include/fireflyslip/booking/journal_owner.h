#ifndef FIREFLYSLIP_BOOKING_JOURNAL_OWNER_H_
#define FIREFLYSLIP_BOOKING_JOURNAL_OWNER_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "fireflyslip/core/ids.h"

namespace fireflyslip {

/// \brief Globally unique key of a call: `WORKSPACE/KEY`.
///
/// Workspaces choose their keys independently. Without the prefix, a workspace
/// could get the stored answer of another workspace that chose the same key.
idempotency_key ScopedKey(const workspace_id& workspace,
                          const idempotency_key& key);

/// \brief Index of a claim journal of a service, less than `kJournalSlots`.
using journal_slot = std::uint32_t;

/// \brief Number of claim journals of each service. It must never change, so
/// that a key keeps its journal when replicas are added or removed.
inline constexpr journal_slot kJournalSlots = 16;

/// \brief Returns the journal that stores the claims of a key.
journal_slot JournalSlot(const idempotency_key& key);

/// \brief Returns the upstream that owns a journal and runs the calls of its
/// keys.
///
/// The owner is selected among the replicas that the configuration declares,
/// not among the live ones: otherwise a retried call could run on a second
/// replica. When the declared replicas change, the new owner takes over the
/// journal object, which fences the old owner and shows which calls may have
/// run. Returns `std::nullopt` if no replica is declared.
std::optional<upstream_id> JournalOwner(
    journal_slot slot,
    const service_name& service,
    const std::vector<upstream_id>& declared_replicas);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_BOOKING_JOURNAL_OWNER_H_
