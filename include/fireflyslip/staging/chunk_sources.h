#ifndef FIREFLYSLIP_STAGING_CHUNK_SOURCES_H_
#define FIREFLYSLIP_STAGING_CHUNK_SOURCES_H_

#include <compare>
#include <cstddef>
#include <string>
#include <vector>

#include "fireflyslip/core/ids.h"

namespace fireflyslip {

/// \brief An agent that serves the same model.
struct staging_peer {
  std::string address;  ///< IP address of its VM.
  region_id region;
  bool holds_target = false;  ///< Its replica serves the target version.

  auto operator<=>(const staging_peer&) const = default;
};

enum class source_kind {
  kLocalReplica,  ///< Staging memory of the own replica.
  kPeer,
  kOrigin,
};

/// \brief Where a chunk is fetched from.
struct staging_source {
  source_kind kind = source_kind::kOrigin;
  std::string address;  ///< Of the peer.
  /// Whether the peer keeps the call until it has the chunk itself. Agents that
  /// wait for each other would all wait for nothing.
  bool blocking_call = true;

  auto operator<=>(const staging_source&) const = default;
};

/// \brief Sources of one chunk in the order in which `self` tries them.
///
/// One agent fetches the chunk from the origin, one agent of each other region
/// fetches it across the regions, all others fetch it within their region. All
/// agents that know the same peers agree on these. Peers whose replica serves
/// the version already come first, spread by rendezvous hash. Calls wait only
/// at agents that do not wait for `self`; other agents of the region are asked
/// whether they happen to have the chunk.
/// \param origin_region region of the origin; its agents draw from the origin.
std::vector<staging_source> ChunkSources(std::size_t chunk,
                                         const staging_peer& self,
                                         const std::vector<staging_peer>& peers,
                                         const region_id& origin_region);

/// \brief Order in which `self` fetches chunks: those that it brings into its
/// region first, because others wait for them. The others follow in the order
/// in which they come, each agent beginning at another fetcher.
std::vector<std::size_t> FetchOrder(std::size_t chunks,
                                    const staging_peer& self,
                                    const std::vector<staging_peer>& peers);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_STAGING_CHUNK_SOURCES_H_
