#ifndef FIREFLYSLIP_CONTRACT_CONTRACT_H_
#define FIREFLYSLIP_CONTRACT_CONTRACT_H_

#include <array>

#include "fireflyslip/core/digest.h"
#include "fireflyslip/core/rank.h"
#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Service-level objectives for the requests of one rank of a workspace.
struct rank_objectives {
  milliseconds target{};    ///< Target for the time to first token.
  milliseconds deadline{};  ///< Default deadline; at least `target`.
  double floor_share = 0;   ///< Guaranteed share under overload, 0 to 1.

  bool operator==(const rank_objectives&) const = default;
};

/// \brief Contract of one workspace; all of its limits derive from these
/// values.
struct contract {
  digest key_digest;  ///< SHA-256 of the caller key.
  double weight = 1;  ///< Scheduling weight relative to others, positive.
  double requests_per_second = 0;
  double tokens_per_second = 0;
  double burst_seconds = 2;  ///< Capacity of the token buckets in seconds.
  std::array<rank_objectives, kRankCount> ranks{};

  const rank_objectives& ObjectivesOf(request_rank rank) const {
    return ranks[IndexOf(rank)];
  }

  bool operator==(const contract&) const = default;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CONTRACT_CONTRACT_H_
