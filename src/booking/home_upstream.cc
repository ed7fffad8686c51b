#include "fireflyslip/booking/home_upstream.h"

#include "fireflyslip/core/rendezvous.h"

namespace fireflyslip {

idempotency_key ScopedKey(const workspace_id& workspace,
                          const idempotency_key& key) {
  return idempotency_key(workspace.value() + "/" + key.value());
}

std::optional<upstream_id> HomeUpstream(
    const idempotency_key& key,
    const service_name& service,
    const std::vector<upstream_id>& declared_replicas) {
  if (declared_replicas.empty()) {
    return std::nullopt;
  }
  return RendezvousOrder(service.value() + "/" + key.value(), declared_replicas)
      .front();
}

}  // namespace fireflyslip
