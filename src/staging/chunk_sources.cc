#include "fireflyslip/staging/chunk_sources.h"

#include <algorithm>

#include "fireflyslip/core/rendezvous.h"

namespace fireflyslip {
namespace {

/// Peers of one group that are tried before the next group.
constexpr std::size_t kMaxPeersPerGroup = 2;

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

/// Rendezvous key of the order in which chunks are assigned round-robin to the
/// agents of a region.
constexpr char kOrderKey[] = "fetchers";

/// Returns the agent that fetches a chunk into its group. Chunks are assigned
/// round-robin, so that all agents fetch and forward the same number.
std::string SelectFetcher(std::size_t chunk,
                          const std::vector<staging_peer>& group) {
  const std::vector<std::string> order = Order(kOrderKey, group);
  return order[chunk % order.size()];
}

/// Returns the agent that fetches a chunk from the origin and its replacements,
/// by rank.
std::vector<std::string> SelectOriginFetchers(
    std::size_t chunk,
    const std::vector<staging_peer>& group) {
  std::vector<std::string> order = Order(kOrderKey, group);
  std::rotate(order.begin(),
              order.begin() + static_cast<std::ptrdiff_t>(chunk % order.size()),
              order.end());
  order.resize(std::min(order.size(), kOriginReplacements + 1));
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

std::vector<staging_peer> WithSelf(const std::vector<staging_peer>& peers,
                                   const staging_peer& self) {
  std::vector<staging_peer> all = Select(peers, [&](const staging_peer& peer) {
    return peer.address != self.address;
  });
  all.push_back(self);
  return all;
}

void Append(const std::vector<std::string>& addresses,
            const std::string& self,
            bool blocking_call,
            std::vector<staging_source>& sources) {
  std::size_t added = 0;
  for (const std::string& address : addresses) {
    const staging_source source{source_kind::kPeer, address, blocking_call};
    if (address == self || added == kMaxPeersPerGroup ||
        std::find(sources.begin(), sources.end(), source) != sources.end()) {
      continue;
    }
    sources.push_back(source);
    ++added;
  }
}

}  // namespace

std::vector<staging_source> ChunkSources(std::size_t chunk,
                                         const staging_peer& self,
                                         const std::vector<staging_peer>& peers,
                                         const region_id& origin_region) {
  const std::vector<staging_peer> all = WithSelf(peers, self);
  const std::string spread_key = std::to_string(chunk) + "/" + self.address;
  const auto same_region = Select(all, [&](const staging_peer& peer) {
    return peer.region == self.region;
  });
  const auto holds = [](const staging_peer& peer) { return peer.holds_target; };
  std::vector<staging_source> sources;
  Append(Order(spread_key, Select(same_region, holds)), self.address, false,
         sources);

  const std::string local_fetcher = SelectFetcher(chunk, same_region);
  if (local_fetcher != self.address) {
    Append({local_fetcher}, self.address, true, sources);
    Append(Order(spread_key, same_region), self.address, false, sources);
  }
  Append(Order(spread_key, Select(all, holds)), self.address, false, sources);
  auto origin_peers = Select(all, [&](const staging_peer& peer) {
    return peer.region == origin_region;
  });
  if (origin_peers.empty()) {
    origin_peers = all;
  }
  const std::vector<std::string> origin_fetchers =
      SelectOriginFetchers(chunk, origin_peers);
  if (origin_fetchers.front() != self.address) {
    Append({origin_fetchers.front()}, self.address, true, sources);
    Append(Order(spread_key, same_region), self.address, false, sources);
    // Those after `self` wait for it.
    const auto own =
        std::find(origin_fetchers.begin(), origin_fetchers.end(), self.address);
    for (auto fetcher = origin_fetchers.begin() + 1; fetcher != own;
         ++fetcher) {
      sources.push_back({source_kind::kPeer, *fetcher, true, true});
    }
  } else {
    // The replacements have the chunk if `self` is cut off from the origin.
    sources.push_back({source_kind::kOrigin, "", true});
    Append(origin_fetchers, self.address, false, sources);
  }
  sources.push_back({source_kind::kOrigin, "", true});
  return sources;
}

std::size_t OriginRank(std::size_t chunk,
                       const staging_peer& self,
                       const std::vector<staging_peer>& peers,
                       const region_id& origin_region) {
  const std::vector<staging_peer> all = WithSelf(peers, self);
  const auto in_region = [&](const region_id& region) {
    return Select(
        all, [&](const staging_peer& peer) { return peer.region == region; });
  };
  std::vector<staging_peer> group = in_region(origin_region);
  if (group.empty()) {
    group = all;
  }
  const std::vector<std::string> fetchers = SelectOriginFetchers(chunk, group);
  const auto own = std::find(fetchers.begin(), fetchers.end(), self.address);
  if (own != fetchers.end()) {
    return static_cast<std::size_t>(own - fetchers.begin());
  }
  const bool is_local_fetcher =
      SelectFetcher(chunk, in_region(self.region)) == self.address;
  return kOriginReplacements + (is_local_fetcher ? 1 : 2);
}

std::vector<staging_source> ManifestSources(
    const staging_peer& self,
    const std::vector<staging_peer>& peers,
    const region_id& origin_region) {
  constexpr std::size_t kReaders = 2;
  const std::vector<staging_peer> all = WithSelf(peers, self);
  const auto readers_of = [&](const region_id& region) {
    std::vector<staging_peer> group = Select(
        all, [&](const staging_peer& peer) { return peer.region == region; });
    std::vector<std::string> readers =
        Order("manifest", group.empty() ? all : group);
    readers.resize(std::min(readers.size(), kReaders));
    return readers;
  };
  const staging_source origin{source_kind::kOrigin, "", true};
  const std::vector<std::string> origin_readers = readers_of(origin_region);
  const std::vector<std::string> local_readers = readers_of(self.region);
  const auto contains_self = [&](const std::vector<std::string>& readers) {
    return std::find(readers.begin(), readers.end(), self.address) !=
           readers.end();
  };
  std::vector<staging_source> sources;
  if (contains_self(origin_readers)) {
    sources.push_back(origin);
  }
  if (!contains_self(local_readers)) {
    Append(local_readers, self.address, true, sources);
  }
  Append(origin_readers, self.address, true, sources);
  if (!contains_self(origin_readers)) {
    sources.push_back(origin);
  }
  return sources;
}

std::vector<std::size_t> FetchOrder(std::size_t chunks,
                                    const staging_peer& self,
                                    const std::vector<staging_peer>& peers) {
  std::vector<staging_peer> same_region =
      Select(peers, [&](const staging_peer& peer) {
        return peer.region == self.region && peer.address != self.address;
      });
  same_region.push_back(self);
  const std::vector<std::string> order = Order(kOrderKey, same_region);
  const auto own_index = static_cast<std::size_t>(
      std::find(order.begin(), order.end(), self.address) - order.begin());
  const std::size_t width = order.size();
  std::vector<std::size_t> own_chunks;
  std::vector<std::size_t> other_chunks;
  for (std::size_t row = 0; row < chunks; row += width) {
    for (std::size_t i = 0; i < width; ++i) {
      const std::size_t chunk = row + (own_index + i) % width;
      if (chunk < chunks) {
        (i == 0 ? own_chunks : other_chunks).push_back(chunk);
      }
    }
  }
  own_chunks.insert(own_chunks.end(), other_chunks.begin(), other_chunks.end());
  return own_chunks;
}

}  // namespace fireflyslip
