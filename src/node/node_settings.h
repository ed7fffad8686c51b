#ifndef FIREFLYSLIP_NODE_NODE_SETTINGS_H_
#define FIREFLYSLIP_NODE_NODE_SETTINGS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fireflyslip/contract/finding.h"
#include "fireflyslip/core/ids.h"
#include "fireflyslip/core/result.h"
#include "fireflyslip/core/time.h"
#include "fireflyslip/http/http_message.h"

namespace fireflyslip {

/// \brief Settings of a gateway or stager, read from one JSON file.
struct node_settings {
  vm_id vm;
  std::string address;  ///< IP address of the VM.
  data_centre_id data_centre;
  region_id region;
  std::map<data_centre_id, region_id> regions;
  std::optional<http_endpoint> callers;  ///< Mandatory for a gateway.
  std::optional<http_endpoint> ready;    ///< Mandatory for a gateway.
  std::optional<http_endpoint> engine;   ///< Mandatory for a stager.
  service_name service;                  ///< Of the engine.
  /// The first one takes load reports, the second one chunks, the third one
  /// metrics; the same on all VMs.
  std::uint16_t first_internal_port = 0;
  http_endpoint platform;
  double link_mbps = 1000;  ///< Rate of the link of the VM.
  duration drain_timeout = seconds(8);
  /// Time after which a revoked key must not be accepted any more.
  duration key_revocation = seconds(5);
  /// Time after which a request must not begin on a superseded version.
  duration rollout = seconds(8);
  double retry_ratio = 0.2;  ///< Further attempts for each request.
  duration retry_window = seconds(10);
  double retry_allowance = 100;  ///< Further attempts, all entries together.

  bool operator==(const node_settings&) const = default;

  http_endpoint LoadReports() const { return {address, first_internal_port}; }
  http_endpoint Chunks() const {
    return {address, static_cast<std::uint16_t>(first_internal_port + 1)};
  }
  http_endpoint Metrics() const {
    return {address, static_cast<std::uint16_t>(first_internal_port + 2)};
  }
  /// \brief Region of a data centre; the data centre's own name if unknown.
  region_id RegionOf(const data_centre_id& data_centre) const;
};

enum class node_role { kGateway, kStager };

/// \brief Parses and checks settings; every fault is reported with its path.
result<node_settings> ParseNodeSettings(std::string_view json,
                                        node_role role,
                                        std::vector<finding>& findings);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_NODE_NODE_SETTINGS_H_
