#ifndef FIREFLYSLIP_CATALOG_DEPLOYMENT_H_
#define FIREFLYSLIP_CATALOG_DEPLOYMENT_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fireflyslip/catalog/region_restriction.h"
#include "fireflyslip/catalog/route_table.h"
#include "fireflyslip/core/ids.h"
#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Inference engine behind a service.
struct engine_profile {
  std::vector<model_name> models;
  double step_ms = 0;  ///< Duration of one decoding step of a batch.
  double prompt_tokens_per_s = 0;
  std::size_t chunk_count = 0;  ///< Chunks of one model version.
  std::size_t chunk_bytes = 0;

  bool operator==(const engine_profile&) const = default;
};

/// \brief Origin server of model weights.
struct weight_origin {
  std::string address;  ///< `ADDRESS:PORT`
  data_centre_id data_centre;
  double link_mbps = 0;  ///< Bandwidth of its link; 0 if unknown.

  auto operator<=>(const weight_origin&) const = default;
};

/// \brief What an upstream tolerates for some time after its start.
struct cold_limit {
  duration time = {};         ///< Time after the start.
  double requests_per_s = 0;  ///< From all gateways; above 0.

  auto operator<=>(const cold_limit&) const = default;
};

/// \brief A service that routes refer to.
struct service_profile {
  service_name name;
  std::size_t max_connections = 0;  ///< To one upstream, over all processes.
  std::optional<cold_limit> cold;
  std::optional<engine_profile> engine;
  std::optional<weight_origin> origin;

  bool operator==(const service_profile&) const = default;
};

/// \brief Limits on client requests and connections.
struct client_limits {
  std::size_t header_bytes = 16UL << 10;
  std::size_t body_bytes = 4UL << 20;
  duration header_timeout = seconds(3);
  duration idle_timeout = seconds(15);

  bool operator==(const client_limits&) const = default;
};

/// \brief The workspace that an API key belongs to.
struct workspace_grant {
  workspace_id workspace;
  std::optional<int> priority;      ///< Overrides the priority of the route.
  region_restriction regions = {};  ///< In addition to that of the route.

  auto operator<=>(const workspace_grant&) const = default;
};

/// \brief One version of the configuration that operators declare.
struct deployment {
  std::uint64_t version = 0;
  route_table routes;
  std::map<service_name, service_profile> services;
  client_limits limits;
  /// Whether requests need an API key, except on routes with public access.
  bool keys_required = false;
  std::map<std::string, workspace_grant, std::less<>> keys;

  /// \brief The workspace of an API key, or null.
  const workspace_grant* FindKey(std::string_view key) const {
    const auto found = keys.find(key);
    return found == keys.end() ? nullptr : &found->second;
  }

  const service_profile* FindService(const service_name& name) const {
    const auto found = services.find(name);
    return found == services.end() ? nullptr : &found->second;
  }

  bool operator==(const deployment&) const = default;
};

/// \brief Whether several routes lead to the service, all with one priority.
bool HasOnePriority(const deployment& catalog, const service_name& service);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CATALOG_DEPLOYMENT_H_
