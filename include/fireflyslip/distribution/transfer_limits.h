#ifndef FIREFLYSLIP_DISTRIBUTION_TRANSFER_LIMITS_H_
#define FIREFLYSLIP_DISTRIBUTION_TRANSFER_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Bounds and delays of chunk transfers on one agent.
struct transfer_limits {
  /// Downloads from peers at a time.
  std::size_t max_peer_downloads = 6;
  /// Downloads from the origin at a time.
  std::size_t max_origin_downloads = 4;
  /// Uploads at a time; the daemon answers 503 to further ones.
  std::size_t max_uploads = 6;
  /// Chunks in flight or received but not yet staged by the engine.
  std::size_t max_chunks_in_memory = 16;
  /// Neighbours in the data centre, an even number.
  std::size_t neighbours = 16;
  /// Chunks that the agents of one data centre fetch from the origin at a
  /// time. Without the window all origin chunks share the origin's link and
  /// arrive late, and peers have nothing to exchange until then.
  std::size_t origin_window = 8;
  /// Data centres that fetch a chunk from the origin.
  std::size_t max_origin_copies = 4;
  /// Rate of transfers into the own region, shared by its agents. 0: no limit.
  std::uint64_t region_bytes_per_second = 0;

  /// Least time between announcements to one neighbour.
  duration announce_interval = milliseconds(250);
  /// Announcements are repeated after this time, in case one was lost.
  duration refresh_interval = seconds(5);
  /// Wait for announcements of peers before the origin is used, so that a
  /// restarted agent does not fetch again what its data centre has.
  duration discovery_delay = milliseconds(500);
  /// A chunk that is this late is fetched by the next agent in order.
  duration takeover_timeout = seconds(5);
  /// A transfer is cancelled after this time; doubled for each further try of
  /// the chunk, so that slow links complete too.
  duration transfer_timeout = seconds(20);
  /// Pause after a peer answered that it is busy.
  duration refused_backoff = milliseconds(100);
  /// Pause after a timeout of a source, doubled up to 16 times.
  duration timeout_backoff = seconds(2);
  /// Pause after the first corrupt bytes of a source, short because the link
  /// may have damaged them.
  duration first_corrupt_backoff = seconds(2);
  /// Pause after further corrupt bytes of a source, doubled up to 16 times.
  /// Bounded, because the source may be the only one left.
  duration corrupt_backoff = seconds(30);
  /// A received chunk that the engine did not stage by then is fetched again.
  duration staging_timeout = seconds(30);

  bool operator==(const transfer_limits&) const = default;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_DISTRIBUTION_TRANSFER_LIMITS_H_
