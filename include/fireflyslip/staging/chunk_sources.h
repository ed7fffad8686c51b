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
  kLocalReplica,  ///< Staging memory of the agent's replica.
  kPeer,
  kOrigin,
};

/// Agents that replace, in turn, the one that fetches a chunk from the origin.
inline constexpr std::size_t kOriginReplacements = 2;

/// \brief Source of a chunk.
struct staging_source {
  source_kind kind = source_kind::kOrigin;
  std::string address;  ///< Of the peer.
  /// Whether the peer holds the call until it has the chunk itself. Blocking
  /// calls must not form a cycle, in which agents would wait for each other.
  bool blocking_call = true;
  /// Whether it is tried only if the agents before it are silent.
  bool is_replacement = false;

  auto operator<=>(const staging_source&) const = default;
};

/// \brief Sources of one chunk in the order in which `self` tries them.
///
/// One agent fetches the chunk from the origin, one agent of each other region
/// fetches it from that agent, and all others fetch it within their region.
/// Agents with the same list of peers agree on these fetchers. Peers whose
/// replica already serves the version come first, spread by rendezvous hashing.
/// Only calls to agents that do not wait for `self` block; other agents of the
/// region get non-blocking calls, because they may already have the chunk. The
/// agents that replace the one at the origin are the last ones before the
/// origin, so that all others wait for them if it has failed.
/// \param origin_region region of the origin; its agents fetch from the origin.
std::vector<staging_source> ChunkSources(std::size_t chunk,
                                         const staging_peer& self,
                                         const std::vector<staging_peer>& peers,
                                         const region_id& origin_region);

/// \brief Position of `self` among the agents that fetch a chunk from the
/// origin: 0 for the one that is assigned to it, 1 and 2 for those that replace
/// it in turn, 3 for the fetchers of the other regions and 4 for all others.
///
/// Load pattern: while the chunks arrive one after the other, most agents wait
/// for most of them. If they turned to the origin meanwhile, its link would
/// carry copies that nobody needs, and the first complete one would be late.
std::size_t OriginRank(std::size_t chunk,
                       const staging_peer& self,
                       const std::vector<staging_peer>& peers,
                       const region_id& origin_region);

/// \brief Sources of the manifest in the order in which `self` tries them.
///
/// Load pattern: all agents need the manifest of a new version at the same
/// time. Read from the origin by each, it takes as much of the origin's link as
/// the chunks themselves in a fleet of some hundred agents. Two agents of the
/// origin's region read it there, two of each other region from those, and all
/// others from those of their region. The origin is the last source of all.
std::vector<staging_source> ManifestSources(
    const staging_peer& self,
    const std::vector<staging_peer>& peers,
    const region_id& origin_region);

/// \brief Order in which `self` fetches chunks: first those of which it is the
/// fetcher of its region, because others wait for them. The others follow in
/// the order in which they become available; each agent starts at a different
/// fetcher.
std::vector<std::size_t> FetchOrder(std::size_t chunks,
                                    const staging_peer& self,
                                    const std::vector<staging_peer>& peers);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_STAGING_CHUNK_SOURCES_H_
