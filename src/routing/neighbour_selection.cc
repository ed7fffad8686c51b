#include "fireflyslip/routing/neighbour_selection.h"

#include <algorithm>
#include <cassert>
#include <map>

#include "fireflyslip/core/rendezvous.h"

namespace fireflyslip {
namespace {

// Number of links by which an agent may exceed its even share at each step. A
// smaller value moves more links when an agent joins or leaves.
constexpr std::size_t kExtraLinks = 1;

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
    // The bound grows with the number of links assigned so far. A constant
    // bound would leave some agents with few links after the last entry.
    needed += size;
    const std::size_t bound =
        std::min((needed + agents.size() - 1) / agents.size() + kExtraLinks,
                 (entries.size() * size + agents.size() - 1) / agents.size());
    std::vector<vm_id> order = RendezvousOrder(candidate.value(), agents);
    // Agents at their bound come last, in ascending order of their links. The
    // last entries use them when too few agents are below the bound.
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
