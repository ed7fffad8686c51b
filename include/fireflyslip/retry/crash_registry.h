#ifndef FIREFLYSLIP_RETRY_CRASH_REGISTRY_H_
#define FIREFLYSLIP_RETRY_CRASH_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "fireflyslip/core/decision_core.h"
#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Hash of the content of a request; equal for its retries.
using request_fingerprint = std::uint64_t;

/// \brief Decision core that quarantines requests that crash their upstreams.
///
/// All requests in progress during a crash become suspects, which run alone.
/// A suspect that crashes its upstream again is blocked; one that completes is
/// cleared.
class crash_registry {
 public:
  /// \brief An upstream crashed while these requests ran on it. Requests that
  /// were only queued at its agent are not included.
  struct upstream_crashed {
    std::vector<request_fingerprint> in_progress;

    bool operator==(const upstream_crashed&) const = default;
  };
  /// \brief A peer reports its crash count; 0 clears a suspect.
  struct peer_crash_count {
    request_fingerprint fingerprint = 0;
    std::uint32_t count = 0;

    bool operator==(const peer_crash_count&) const = default;
  };
  struct completed {
    request_fingerprint fingerprint = 0;

    bool operator==(const completed&) const = default;
  };
  using event =
      std::variant<tick, upstream_crashed, peer_crash_count, completed>;

  /// \brief Send the count to the other gateways of the data centre.
  struct broadcast_crash_count {
    request_fingerprint fingerprint = 0;
    std::uint32_t count = 0;

    bool operator==(const broadcast_crash_count&) const = default;
  };
  using action = std::variant<broadcast_crash_count>;

  /// \param bound maximum number of fingerprints that are kept.
  /// \param lifetime time for which a fingerprint is kept after its last crash.
  explicit crash_registry(std::size_t bound = 4096,
                          duration lifetime = std::chrono::minutes(10));

  std::vector<action> Handle(const event& event, time_point now);
  std::optional<time_point> NextDeadline() const;

  /// \brief Whether the request must run alone.
  bool IsSuspect(request_fingerprint fingerprint) const;
  /// \brief Whether the request must not run.
  bool IsBlocked(request_fingerprint fingerprint) const;
  std::size_t size() const { return entries_.size(); }

 private:
  struct entry {
    std::uint32_t count = 0;
    time_point expiry;
  };

  void Set(request_fingerprint fingerprint,
           std::uint32_t count,
           time_point now);
  void Remove(request_fingerprint fingerprint);
  std::uint32_t CountOf(request_fingerprint fingerprint) const;

  std::size_t bound_;
  duration lifetime_;
  std::map<request_fingerprint, entry> entries_;
  // Kept apart, in order of expiry, because a full registry evicts suspects
  // before blocked fingerprints.
  std::set<std::pair<time_point, request_fingerprint>> suspects_;
  std::set<std::pair<time_point, request_fingerprint>> blocked_;
};

static_assert(decision_core<crash_registry>);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_RETRY_CRASH_REGISTRY_H_
