#include "fireflyslip/routing/neighbour_selection.h"

#include <algorithm>
#include <cassert>
#include <map>

#include "fireflyslip/core/rendezvous.h"

namespace fireflyslip {
namespace {

// Links that an agent may have above the even number so far. With less slack,
// more links move when an agent joins or leaves.
constexpr std::size_t kSlack = 1;

}  // namespace

std::vector<vm_id> SelectNeighbours(const vm_id& entry,
                                    std::vector<vm_id> entries,
                                    const std::vector<vm_id>& agents,
                                    std::size_t size) {
  assert(std::find(entries.begin(), entries.end(), entry) != entries.end());
  if (agents.size() <= size) {
    return agents;
  }
  std::sort(entries.begin(), entries.end());
  std::map<vm_id, std::size_t> links;
  std::vector<vm_id> selected;
  std::size_t needed = 0;
  for (const vm_id& candidate : entries) {
    // The bound grows with the links made so far. A bound for all entries
    // would leave some agents with few links when the last entry is reached.
    needed += size;
    const std::size_t bound =
        std::min((needed + agents.size() - 1) / agents.size() + kSlack,
                 (entries.size() * size + agents.size() - 1) / agents.size());
    std::vector<vm_id> order = RendezvousOrder(candidate.value(), agents);
    // Agents at their bound follow by the number of their links. The last
    // entries need them when too few agents have room.
    std::stable_sort(
        order.begin(), order.end(), [&](const vm_id& a, const vm_id& b) {
          return std::max(links[a] + 1, bound) < std::max(links[b] + 1, bound);
        });
    order.resize(size);
    for (const vm_id& agent : order) {
      ++links[agent];
    }
    if (candidate == entry) {
      selected = std::move(order);
      break;
    }
  }
  return selected;
}

}  // namespace fireflyslip
