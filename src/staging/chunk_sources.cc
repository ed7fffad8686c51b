#include "fireflyslip/staging/chunk_sources.h"

#include <algorithm>

#include "fireflyslip/core/rendezvous.h"

namespace fireflyslip {
namespace {

/// Peers of one group that are tried before the next group.
constexpr std::size_t kPeersOfGroup = 2;

std::vector<std::string> Order(const std::string& key,
                               const std::vector<staging_peer>& peers) {
  std::vector<vm_id> ids;
  ids.reserve(peers.size());
  for (const staging_peer& peer : peers) {
    ids.emplace_back(peer.address);
  }
  std::vector<std::string> order;
  order.reserve(ids.size());
  for (const vm_id& id : RendezvousOrder(key, std::move(ids))) {
    order.push_back(id.value());
  }
  return order;
}

template <typename Condition>
std::vector<staging_peer> Select(const std::vector<staging_peer>& peers,
                                 Condition condition) {
  std::vector<staging_peer> selected;
  std::copy_if(peers.begin(), peers.end(), std::back_inserter(selected),
               condition);
  return selected;
}

void Append(const std::vector<std::string>& addresses,
            const std::string& self,
            std::vector<staging_source>& sources) {
  std::size_t added = 0;
  for (const std::string& address : addresses) {
    const staging_source source{source_kind::kPeer, address};
    if (address == self || added == kPeersOfGroup ||
        std::find(sources.begin(), sources.end(), source) != sources.end()) {
      continue;
    }
    sources.push_back(source);
    ++added;
  }
}

}  // namespace

std::vector<staging_source> ChunkSources(
    std::size_t chunk,
    const staging_peer& self,
    const std::vector<staging_peer>& peers,
    const region_id& origin_region) {
  std::vector<staging_peer> all =
      Select(peers, [&](const staging_peer& peer) {
        return peer.address != self.address;
      });
  all.push_back(self);
  const std::string key = std::to_string(chunk);
  const std::string own_key = key + "/" + self.address;
  const auto nearby = Select(all, [&](const staging_peer& peer) {
    return peer.region == self.region;
  });
  const auto holds = [](const staging_peer& peer) { return peer.holds_target; };
  std::vector<staging_source> sources;
  Append(Order(own_key, Select(nearby, holds)), self.address, sources);

  const std::vector<std::string> local = Order(key, nearby);
  const bool is_local_fetcher = local.front() == self.address;
  if (!is_local_fetcher) {
    Append({local.front()}, self.address, sources);
  }
  Append(Order(own_key, Select(all, holds)), self.address, sources);
  auto at_origin = Select(all, [&](const staging_peer& peer) {
    return peer.region == origin_region;
  });
  if (at_origin.empty()) {
    at_origin = all;
  }
  const std::vector<std::string> remote = Order(key, at_origin);
  if (remote.front() != self.address) {
    Append({remote.front()}, self.address, sources);
    Append(local, self.address, sources);
  }
  sources.push_back({source_kind::kOrigin, ""});
  return sources;
}

}  // namespace fireflyslip
