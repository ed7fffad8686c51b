#ifndef FIREFLYSLIP_CONTRACT_CONTRACT_H_
#define FIREFLYSLIP_CONTRACT_CONTRACT_H_

#include <array>

#include "fireflyslip/core/digest.h"
#include "fireflyslip/core/rank.h"
#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief How the requests of one rank of a workspace are treated.
struct rank_objectives {
  milliseconds target{};    ///< Aim for the time to the first token.
  milliseconds deadline{};  ///< Default deadline; at least `target`.
  double floor_share = 0;   ///< Share of service retained in a flood, 0 to 1.

  bool operator==(const rank_objectives&) const = default;
};

/// \brief Contract of one workspace; every limit on it follows from these.
struct contract {
  digest key_digest;  ///< SHA-256 of the caller key.
  double weight = 1;  ///< Share relative to other workspaces, positive.
  double requests_per_second = 0;
  double tokens_per_second = 0;
  double burst_seconds = 2;  ///< Depth of the token buckets in seconds.
  std::array<rank_objectives, kRankCount> ranks{};

  const rank_objectives& ObjectivesOf(request_rank rank) const {
    return ranks[IndexOf(rank)];
  }

  bool operator==(const contract&) const = default;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CONTRACT_CONTRACT_H_
