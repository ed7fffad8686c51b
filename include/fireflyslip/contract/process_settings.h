#ifndef FIREFLYSLIP_CONTRACT_PROCESS_SETTINGS_H_
#define FIREFLYSLIP_CONTRACT_PROCESS_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fireflyslip/contract/finding.h"
#include "fireflyslip/core/ids.h"
#include "fireflyslip/core/process_role.h"
#include "fireflyslip/core/result.h"
#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief IP address and port.
struct endpoint {
  std::string address;  ///< IPv4 or IPv6 address, not a host name.
  std::uint16_t port = 0;

  auto operator<=>(const endpoint&) const = default;
};

/// \brief TLS for links; the files are set if and only if it is enabled.
struct tls_settings {
  bool enabled = false;
  std::string certificate_file;
  std::string key_file;
  std::string authority_file;

  bool operator==(const tls_settings&) const = default;
};

/// \brief A process to which this one links before it has a VM list.
struct seed_peer {
  vm_id vm;
  process_role role = process_role::kEntry;
  data_centre_id data_centre;
  endpoint link;
  endpoint admin;

  auto operator<=>(const seed_peer&) const = default;
};

/// \brief Settings of one process.
struct process_settings {
  process_role role = process_role::kEntry;
  vm_id vm;
  data_centre_id data_centre;
  region_id region;
  std::optional<endpoint> listen;    ///< For callers; set for an entry.
  std::optional<endpoint> upstream;  ///< Engine or service; set for an agent.
  std::optional<endpoint>
      origin;  ///< Source of weights; optional for an agent.
  endpoint link;
  endpoint admin;
  endpoint platform;
  /// Peers to contact if the platform is unavailable at startup; they provide
  /// the VM list and the configuration.
  std::vector<seed_peer> peers;
  std::string shared_key;
  tls_settings tls;
  milliseconds drain_timeout{60000};
  milliseconds platform_timeout{2000};
  milliseconds platform_watch_wait{10000};
  milliseconds upstream_connect_timeout{1000};
  milliseconds heartbeat_interval{1000};
  milliseconds link_silence_timeout{3000};
  milliseconds load_report_interval{200};
  milliseconds pause_bound{1000};  ///< Longer gaps between ticks are pauses.
  std::uint32_t event_log_records = 4096;
  std::uint32_t chunk_cache_bytes = 32U << 20;
  std::uint32_t traffic_threads = 1;
  /// Maximum number of concurrent attempts on the upstream; agents only.
  std::uint32_t upstream_slots = 8;

  bool operator==(const process_settings&) const = default;
};

/// \brief Returns all errors of a settings document; empty if it is valid.
///
/// Without a role, a document with `upstream` describes an agent and any other
/// an entry.
std::vector<finding> CheckSettings(
    std::string_view json,
    std::optional<process_role> role = std::nullopt);

/// \brief Parses a settings document. Fails with `kInvalidRequest` and the
/// first finding as its detail if the document is invalid.
result<process_settings> ParseSettings(
    std::string_view json,
    std::optional<process_role> role = std::nullopt);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CONTRACT_PROCESS_SETTINGS_H_
