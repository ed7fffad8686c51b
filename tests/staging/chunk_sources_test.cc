#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

#include "fireflyslip/staging.h"

namespace fireflyslip {
namespace {

class chunk_sources_test : public testing::Test {
 protected:
  chunk_sources_test() {
    for (int i = 0; i < 15; ++i) {
      const std::string region = std::string(1, static_cast<char>('a' + i % 3));
      peers_.push_back(
          {"10.0.0." + std::to_string(i), region_id(region), false});
    }
  }

  std::vector<staging_source> Sources(std::size_t chunk,
                                      const staging_peer& self) const {
    return ChunkSources(chunk, self, peers_, region_id("a"));
  }

  std::vector<staging_peer> peers_;
};

// Guards against more than one copy from the origin.
TEST_F(chunk_sources_test, Sources_OneAgentOnly_FetchesFromOrigin) {
  for (std::size_t chunk = 0; chunk < 48; ++chunk) {
    const auto from_origin = std::count_if(
        peers_.begin(), peers_.end(), [&](const staging_peer& peer) {
          return Sources(chunk, peer).front().kind == source_kind::kOrigin;
        });
    EXPECT_EQ(from_origin, 1);
  }
}

// Guards against more than one transfer of a chunk between two regions.
TEST_F(chunk_sources_test, Sources_OneAgentOfRegion_CrossesRegions) {
  for (std::size_t chunk = 0; chunk < 48; ++chunk) {
    std::map<region_id, int> crossing;
    for (const staging_peer& self : peers_) {
      const staging_source first = Sources(chunk, self).front();
      const auto from = std::find_if(peers_.begin(), peers_.end(),
                                     [&](const staging_peer& peer) {
                                       return peer.address == first.address;
                                     });
      if (from != peers_.end() && from->region != self.region) {
        ++crossing[self.region];
      }
    }
    EXPECT_EQ(crossing[region_id("b")], 1);
    EXPECT_EQ(crossing[region_id("c")], 1);
    EXPECT_EQ(crossing[region_id("a")], 0);
  }
}

// Guards against an agent that forwards more chunks than the others, so that
// its link becomes the bottleneck.
TEST_F(chunk_sources_test, Sources_AllChunks_AssignedEvenly) {
  std::map<std::string, int> from_origin;
  for (std::size_t chunk = 0; chunk < 48; ++chunk) {
    for (const staging_peer& self : peers_) {
      if (Sources(chunk, self).front().kind == source_kind::kOrigin) {
        ++from_origin[self.address];
      }
    }
  }
  EXPECT_EQ(from_origin.size(), 5U);
  for (const auto& [address, count] : from_origin) {
    EXPECT_LE(count, 10);
  }
}

// Guards against fetching from the origin what a peer already has.
TEST_F(chunk_sources_test, Sources_PeerHoldsTarget_PeerFirst) {
  peers_[0].holds_target = true;
  const staging_source first = Sources(3, peers_[3]).front();
  EXPECT_EQ(first.address, peers_[0].address);
}

// Guards against a chunk without a source after all peers have failed.
TEST_F(chunk_sources_test, Sources_Always_EndWithOrigin) {
  for (const staging_peer& self : peers_) {
    EXPECT_EQ(Sources(1, self).back().kind, source_kind::kOrigin);
  }
}

// Guards against agents that wait for each other in a cycle while none of them
// calls a source that has the chunk, which made a rollout 7 s longer (scenario
// quiet-1 of the second site).
TEST_F(chunk_sources_test, Sources_AllAgents_NoneWaitForEachOther) {
  for (std::size_t chunk = 0; chunk < 48; ++chunk) {
    std::set<std::string> resolved;  // these wait only for resolved ones
    const auto is_resolved = [&](const staging_peer& self) {
      const auto sources = Sources(chunk, self);
      return std::all_of(sources.begin(), sources.end(),
                         [&](const staging_source& source) {
                           return !source.blocking_call ||
                                  source.kind == source_kind::kOrigin ||
                                  resolved.contains(source.address);
                         });
    };
    for (std::size_t round = 0; round < peers_.size(); ++round) {
      for (const staging_peer& self : peers_) {
        if (is_resolved(self)) {
          resolved.insert(self.address);
        }
      }
    }
    EXPECT_EQ(resolved.size(), peers_.size()) << "chunk " << chunk;
  }
}

// Guards against an order that omits chunks.
TEST_F(chunk_sources_test, FetchOrder_AllChunks_OnceEach) {
  for (const staging_peer& self : peers_) {
    const std::vector<std::size_t> order = FetchOrder(48, self, peers_);
    EXPECT_EQ(std::set<std::size_t>(order.begin(), order.end()).size(), 48U);
    EXPECT_EQ(order.size(), 48U);
  }
}

// Guards against agents that all turn to the origin while its chunks are still
// arriving at the assigned ones.
TEST_F(chunk_sources_test, OriginRank_EachOfFirstThree_OneAgentOfOriginRegion) {
  for (std::size_t chunk = 0; chunk < 48; ++chunk) {
    std::map<std::size_t, int> agents;
    for (const staging_peer& self : peers_) {
      const std::size_t rank = OriginRank(chunk, self, peers_, region_id("a"));
      ++agents[rank];
      EXPECT_EQ(rank == 0,
                Sources(chunk, self).front().kind == source_kind::kOrigin);
      if (rank < 3) {
        EXPECT_EQ(self.region, region_id("a"));
      }
    }
    for (std::size_t rank = 0; rank < 3; ++rank) {
      EXPECT_EQ(agents[rank], 1);
    }
    EXPECT_EQ(agents[3], 2) << "the fetchers of the two other regions";
  }
}

// Guards against a chunk that nobody fetches when the origin's region is lost.
TEST_F(chunk_sources_test, OriginRank_OriginRegionLost_OneAgentAssigned) {
  std::erase_if(peers_, [](const staging_peer& peer) {
    return peer.region == region_id("a");
  });
  for (std::size_t chunk = 0; chunk < 48; ++chunk) {
    EXPECT_EQ(std::count_if(peers_.begin(), peers_.end(),
                            [&](const staging_peer& self) {
                              return OriginRank(chunk, self, peers_,
                                                region_id("a")) == 0;
                            }),
              1);
  }
}

// Guards against manifests that take the link of the origin: in a fleet of 334
// agents they were half as many bytes as the weights.
TEST_F(chunk_sources_test, ManifestSources_AllAgents_TwoReadTheOriginFirst) {
  int readers = 0;
  for (const staging_peer& self : peers_) {
    const std::vector<staging_source> sources =
        ManifestSources(self, peers_, region_id("a"));
    const auto origin = std::find_if(
        sources.begin(), sources.end(), [](const staging_source& source) {
          return source.kind == source_kind::kOrigin;
        });
    ASSERT_NE(origin, sources.end());
    readers += origin == sources.begin() ? 1 : 0;
    for (const staging_source& source : sources) {
      EXPECT_NE(source.address, self.address);
    }
    const auto first = std::find_if(
        peers_.begin(), peers_.end(), [&](const staging_peer& peer) {
          return peer.address == sources.front().address;
        });
    if (self.region != region_id("a") && first != peers_.end()) {
      EXPECT_TRUE(first->region == self.region ||
                  first->region == region_id("a"));
    }
  }
  EXPECT_EQ(readers, 2);
}

}  // namespace
}  // namespace fireflyslip
