#ifndef FIREFLYSLIP_CONTRACT_DECLARATIONS_H_
#define FIREFLYSLIP_CONTRACT_DECLARATIONS_H_

#include <optional>
#include <string_view>
#include <vector>

#include "fireflyslip/contract/call_pattern.h"
#include "fireflyslip/core/digest.h"
#include "fireflyslip/core/ids.h"

namespace fireflyslip {

/// \brief The version that all replicas of a model should serve.
struct model_declaration {
  model_version version;
  digest manifest_digest;
  /// Share of the replicas of a data centre that keep serving during a rollout,
  /// at least 0 and below 1.
  double serving_share = 0.75;

  bool operator==(const model_declaration&) const = default;
};

/// \brief A plain service, that is, one that does not serve a model.
struct service_declaration {
  std::vector<call_pattern> non_idempotent;

  /// \brief Whether a call must not be repeated.
  bool IsNonIdempotent(std::string_view method, std::string_view target) const;

  bool operator==(const service_declaration&) const = default;
};

/// \brief An upstream, which serves exactly one model or one service.
struct upstream_declaration {
  data_centre_id data_centre;
  std::optional<model_name> model;
  std::optional<service_name> service;
  /// Whether the engine rejects orders with a stale fencing token.
  bool checks_fencing = false;

  bool operator==(const upstream_declaration&) const = default;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CONTRACT_DECLARATIONS_H_
