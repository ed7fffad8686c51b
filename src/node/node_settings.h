#ifndef FIREFLYSLIP_NODE_NODE_SETTINGS_H_
#define FIREFLYSLIP_NODE_NODE_SETTINGS_H_

#include <algorithm>
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
  /// Listening address for clients; mandatory for a gateway.
  std::optional<http_endpoint> client_endpoint;
  /// Listening address for readiness checks; mandatory for a gateway.
  std::optional<http_endpoint> readiness_endpoint;
  std::optional<http_endpoint> engine;  ///< Mandatory for a stager.
  service_name service;                 ///< Service of the engine.
  /// First of four consecutive ports: load reports, chunks, metrics, catalog
  /// relay. All VMs use the same ports.
  std::uint16_t first_internal_port = 0;
  http_endpoint platform;
  double link_mbps = 1000;  ///< Bandwidth of the VM's network link.
  /// Memory of the process, in bytes; from `memory_mb`, in units of 2^20.
  std::size_t memory_bytes = 128UL << 20;
  duration drain_timeout = seconds(8);
  /// Time after which a draining upstream must receive no new requests.
  duration upstream_drain_timeout = seconds(2);
  /// Time after which a revoked key must no longer be accepted.
  duration key_revocation_timeout = seconds(5);
  /// Time after which a request must not start on a superseded version.
  duration rollout_timeout = seconds(8);
  /// Time after the start of a gateway in which it may start requests on
  /// superseded versions, because it does not know when a version that it finds
  /// was published.
  duration startup_grace = seconds(3);
  /// Time after which the upstreams of an evacuated data centre must receive no
  /// new requests; empty if data centres are not evacuated.
  std::optional<duration> evacuation_timeout;
  double retry_ratio = 0.2;  ///< Retries per request.
  duration retry_window = seconds(10);
  double retry_allowance = 100;  ///< Additional retries, all gateways.

  bool operator==(const node_settings&) const = default;

  http_endpoint LoadReportEndpoint() const {
    return {address, first_internal_port};
  }
  http_endpoint ChunkEndpoint() const {
    return {address, static_cast<std::uint16_t>(first_internal_port + 1)};
  }
  http_endpoint MetricsEndpoint() const {
    return {address, static_cast<std::uint16_t>(first_internal_port + 2)};
  }
  std::uint16_t RelayPort() const {
    return static_cast<std::uint16_t>(first_internal_port + 3);
  }
  /// \brief Duration of a watch of the target versions. It bounds the age of
  /// the known versions, and thus how early older ones are given up after a
  /// delayed notice.
  duration VersionWatch() const { return rollout_timeout * 3 / 10; }
  /// \brief Duration of a watch of the evacuations. A change ends it at once;
  /// an unresponsive connection is detected at its end.
  duration EvacuationWatch() const {
    return evacuation_timeout.value_or(duration(0)) * 2 / 5;
  }
  /// \brief Time after its publication from which a version replaces older
  /// ones; the rest of the timeout is for the notification and for the latency
  /// to a replica.
  duration SupersededAfter() const { return rollout_timeout * 19 / 20; }
  /// \brief Assumed age, at the start of a process, of versions that it then
  /// finds published.
  duration InitialVersionAge() const {
    return std::max(rollout_timeout * 11 / 20, rollout_timeout - startup_grace);
  }
  /// \brief Returns the region of a data centre, or the name of the data centre
  /// if its region is unknown.
  region_id RegionOf(const data_centre_id& data_centre) const;
};

enum class node_role { kGateway, kStager };

/// \brief Parses and validates settings; every error is reported with its path.
result<node_settings> ParseNodeSettings(std::string_view json,
                                        node_role role,
                                        std::vector<finding>& findings);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_NODE_NODE_SETTINGS_H_
