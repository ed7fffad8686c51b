#include "program/agent_policy.h"

#include <algorithm>
#include <numeric>

namespace fireflyslip {

scheduling_policy MakeSchedulingPolicy(const configuration& contracts,
                                       std::size_t slots) {
  scheduling_policy policy;
  policy.slots = slots;
  if (contracts.workspaces().empty()) {
    return policy;
  }
  double weights = 0;
  for (const auto& [workspace, terms] : contracts.workspaces()) {
    weights += terms.weight;
  }
  for (const request_rank rank : kAllRanks) {
    const std::size_t index = IndexOf(rank);
    duration shortest = duration::max();
    for (const auto& [workspace, terms] : contracts.workspaces()) {
      const rank_objectives& of_rank = terms.ObjectivesOf(rank);
      policy.floor_share.at(index) +=
          of_rank.floor_share * terms.weight / weights;
      shortest = std::min(shortest, duration(of_rank.target));
    }
    policy.target.at(index) = shortest;
  }
  const double sum = std::accumulate(policy.floor_share.begin(),
                                     policy.floor_share.end(), 0.0);
  if (sum > 1) {
    for (double& share : policy.floor_share) {
      share /= sum;
    }
  }
  return policy;
}

}  // namespace fireflyslip
