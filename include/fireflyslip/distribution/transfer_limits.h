#ifndef FIREFLYSLIP_DISTRIBUTION_TRANSFER_LIMITS_H_
#define FIREFLYSLIP_DISTRIBUTION_TRANSFER_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Concurrency limits, timeouts and backoff delays of chunk transfers of
/// one agent.
struct transfer_limits {
  /// Maximum number of concurrent downloads from peers.
  std::size_t max_peer_downloads = 6;
  /// Maximum number of concurrent downloads from the origin.
  std::size_t max_origin_downloads = 4;
  /// Maximum number of concurrent uploads; further requests get HTTP status
  /// 503.
  std::size_t max_uploads = 6;
  /// Maximum number of chunks that are in flight, or received but not yet
  /// staged by the engine.
  std::size_t max_chunks_in_memory = 16;
  /// Number of neighbours in the data centre. Must be even.
  std::size_t neighbours = 16;
  /// Number of chunks that the agents of one data centre download from the
  /// origin concurrently. Without this window all chunks share the bandwidth of
  /// the origin's link, so that none completes early and peers have nothing to
  /// exchange meanwhile.
  std::size_t origin_window = 8;
  /// Maximum number of data centres that download a chunk from the origin.
  std::size_t max_origin_copies = 4;
  /// Rate limit for transfers into the own region, shared by its agents. 0
  /// means unlimited.
  std::uint64_t region_bytes_per_second = 0;

  /// Minimum interval between announcements to a neighbour.
  duration announce_interval = milliseconds(250);
  /// Interval at which announcements are repeated, in case one was lost.
  duration refresh_interval = seconds(5);
  /// Time to wait for announcements of peers before using the origin, so that a
  /// restarted agent does not download chunks that its data centre has.
  duration discovery_delay = milliseconds(500);
  /// Delay after which the next agent in rendezvous order fetches an overdue
  /// chunk.
  duration takeover_timeout = seconds(5);
  /// Timeout of a transfer. Doubled for each retry of the chunk, so that
  /// transfers over slow links complete too.
  duration transfer_timeout = seconds(20);
  /// Backoff after a source refused a transfer.
  duration refused_backoff = milliseconds(100);
  /// Backoff after a timeout of a source; grows exponentially up to a factor
  /// of 16.
  duration timeout_backoff = seconds(2);
  /// Backoff after the first corrupt chunk of a source. Short, because the
  /// chunk may have been damaged by the link.
  duration first_corrupt_backoff = seconds(2);
  /// Backoff after further corrupt chunks of a source; grows exponentially up
  /// to a factor of 16. Bounded, because the source may be the only one left.
  duration corrupt_backoff = seconds(30);
  /// Time after which a received chunk that the engine did not stage is
  /// fetched again.
  duration staging_timeout = seconds(30);

  bool operator==(const transfer_limits&) const = default;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_DISTRIBUTION_TRANSFER_LIMITS_H_
