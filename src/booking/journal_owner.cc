#include "fireflyslip/booking/journal_owner.h"

#include <string>

#include "fireflyslip/core/rendezvous.h"

namespace fireflyslip {

idempotency_key ScopedKey(const workspace_id& workspace,
                          const idempotency_key& key) {
  return idempotency_key(workspace.value() + "/" + key.value());
}

journal_slot JournalSlot(const idempotency_key& key) {
  constexpr char kNode[] = "journal";
  return static_cast<journal_slot>(RendezvousScore(key.value(), kNode) %
                                   kJournalSlots);
}

std::optional<upstream_id> JournalOwner(
    journal_slot slot,
    const service_name& service,
    const std::vector<upstream_id>& declared_replicas) {
  if (declared_replicas.empty()) {
    return std::nullopt;
  }
  return RendezvousOrder(service.value() + "/" + std::to_string(slot),
                         declared_replicas)
      .front();
}

}  // namespace fireflyslip
