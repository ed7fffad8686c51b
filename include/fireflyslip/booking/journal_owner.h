#ifndef FIREFLYSLIP_BOOKING_JOURNAL_OWNER_H_
#define FIREFLYSLIP_BOOKING_JOURNAL_OWNER_H_

#include <cstdint>
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

/// \brief Number of a claim journal of a service, below `kJournalSlots`.
using journal_slot = std::uint32_t;

/// Journals of each service. The number never changes, so that a key keeps its
/// journal when replicas are added or removed.
inline constexpr journal_slot kJournalSlots = 16;

/// \brief Journal that holds the claims of a key.
journal_slot JournalSlot(const idempotency_key& key);

/// \brief The one upstream that owns a journal and runs the calls of its keys.
///
/// The replicas are those that the configuration declares, not the live ones:
/// a choice among live replicas could run a retried call on a second replica.
/// When the declared replicas change, the new owner takes over the journal
/// object, which fences the old owner and shows which calls may have run.
/// Returns nothing when no replica is declared.
std::optional<upstream_id> JournalOwner(
    journal_slot slot,
    const service_name& service,
    const std::vector<upstream_id>& declared_replicas);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_BOOKING_JOURNAL_OWNER_H_
