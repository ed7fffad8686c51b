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
  double total_weight = 0;
  for (const auto& [workspace, terms] : contracts.workspaces()) {
    total_weight += terms.weight;
  }
  for (const request_rank rank : kAllRanks) {
    const std::size_t index = IndexOf(rank);
    duration min_target = duration::max();
    for (const auto& [workspace, terms] : contracts.workspaces()) {
      const rank_objectives& rank_entry = terms.ObjectivesOf(rank);
      policy.floor_share.at(index) +=
          rank_entry.floor_share * terms.weight / total_weight;
      min_target = std::min(min_target, duration(rank_entry.target));
    }
    policy.target.at(index) = min_target;
  }
  const double total_share = std::accumulate(policy.floor_share.begin(),
                                             policy.floor_share.end(), 0.0);
  if (total_share > 1) {
    for (double& share : policy.floor_share) {
      share /= total_share;
    }
  }
  return policy;
}

}  // namespace fireflyslip
