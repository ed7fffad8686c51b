#ifndef FIREFLYSLIP_CORE_RENDEZVOUS_H_
#define FIREFLYSLIP_CORE_RENDEZVOUS_H_

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

namespace fireflyslip {

/// \brief Rendezvous (highest random weight) score of a node for a key.
std::uint64_t RendezvousScore(std::string_view key, std::string_view node);

/// \brief Nodes in descending order of their score for a key.
///
/// Processes with the same set of nodes compute the same order, and removing a
/// node remaps only the keys for which it came first. `Id` is a `text_id`.
template <typename Id>
std::vector<Id> RendezvousOrder(std::string_view key, std::vector<Id> nodes) {
  std::vector<std::pair<std::uint64_t, Id>> scored;
  scored.reserve(nodes.size());
  for (Id& node : nodes) {
    const std::uint64_t score = RendezvousScore(key, node.value());
    scored.emplace_back(score, std::move(node));
  }
  std::sort(scored.begin(), scored.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : a.second < b.second;
  });
  std::vector<Id> order;
  order.reserve(scored.size());
  for (auto& entry : scored) {
    order.push_back(std::move(entry.second));
  }
  return order;
}

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CORE_RENDEZVOUS_H_
