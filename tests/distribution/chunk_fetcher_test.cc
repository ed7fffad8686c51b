#include "fireflyslip/distribution/chunk_fetcher.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace fireflyslip {
namespace {

using fetcher = chunk_fetcher<rarest_first_policy>;
static_assert(decision_core<fetcher>);
static_assert(chunk_selection_policy<sequential_policy>);

// Simulates agents with a message delay of 1 ms and transfers that take 100 ms.
// Checks that no agent fetches a chunk again that it has, keeps more chunks in
// memory than allowed, or reports completion without all chunks.
class chunk_fetcher_test : public testing::Test {
 protected:
  struct vm_state {
    std::unique_ptr<fetcher> core;
    fetch_member member;
    bool alive = true;
    bool stalls = false;      // Never responds to a transfer.
    double corrupt_rate = 0;  // Fraction of corrupt transfers.
    bool reaches_origin = true;
    bool drops_announcements = false;  // All its announcements are lost.
    bool complete = false;
    model_version completed;
    std::set<digest> delivered;
    std::set<std::tuple<digest, chunk_source>> active;
    time_point tick_at = time_point::max();
  };

  static std::shared_ptr<const manifest> Manifest(const std::string& version,
                                                  int first,
                                                  int count) {
    auto content = std::make_shared<manifest>();
    content->model = model_name("m");
    content->version = model_version(version);
    content->name = digest::Of(version);
    for (int i = first; i < first + count; ++i) {
      content->chunks.push_back({digest::Of(std::to_string(i)), 1});
    }
    return content;
  }

  void Add(int count, int data_centres, int regions = 1) {
    for (int i = 0; i < count; ++i) {
      const int centre = i % data_centres;
      vm_state vm;
      vm.member = {vm_id("vm" + std::to_string(i)),
                   data_centre_id("dc" + std::to_string(centre)),
                   region_id("r" + std::to_string(centre % regions))};
      vm.core = std::make_unique<fetcher>(
          chunk_fetcher_settings{vm.member, region_id("r0"), limits_},
          random_.Next());
      vms_[vm.member.vm] = std::move(vm);
    }
  }

  void SendMembers() {
    fetch_members_changed event;
    for (const auto& [id, vm] : vms_) {
      if (vm.alive) {
        event.members.push_back(vm.member);
      }
    }
    for (const auto& [id, vm] : vms_) {
      Post(id, event, duration(0));
    }
  }

  void Declare(const std::shared_ptr<const manifest>& content) {
    declared_ = content;
    for (auto& [id, vm] : vms_) {
      vm.complete = false;
      Post(id, target_changed{content->model, content->version, content},
           duration(random_.Below(1000)));
    }
  }

  void Kill(const vm_id& id) {
    vms_.at(id).alive = false;
    for (const auto& [other, vm] : vms_) {
      Post(other, peer_lost{id}, seconds(3));
    }
  }

  void Post(const vm_id& to, chunk_fetcher_event event, duration after) {
    queue_.emplace(std::pair{now_ + after, sequence_++},
                   std::pair{to, std::move(event)});
  }

  // Runs until all live agents have the declared version or the limit expires.
  bool Run(duration limit) {
    const time_point end = now_ + limit;
    while (!queue_.empty() && queue_.begin()->first.first <= end) {
      if (AllComplete()) {
        return true;
      }
      auto node = queue_.extract(queue_.begin());
      now_ = node.key().first;
      Feed(node.mapped().first, node.mapped().second);
    }
    now_ = end;
    return AllComplete();
  }

  bool AllComplete() const {
    return std::all_of(vms_.begin(), vms_.end(), [this](const auto& entry) {
      const vm_state& vm = entry.second;
      return !vm.alive || (vm.complete && vm.completed == declared_->version);
    });
  }

  void Feed(const vm_id& id, const chunk_fetcher_event& event) {
    vm_state& vm = vms_.at(id);
    if (!vm.alive) {
      return;
    }
    if (std::holds_alternative<tick>(event)) {
      if (vm.tick_at > now_) {
        return;
      }
      vm.tick_at = time_point::max();
    }
    if (const auto* e = std::get_if<chunk_received>(&event)) {
      if (vm.active.erase({e->chunk, e->source}) == 0) {
        return;  // Cancelled.
      }
      if (e->check == chunk_check::kOk) {
        vm.delivered.insert(e->chunk);
        Post(id, chunk_staged{e->chunk}, milliseconds(1));
      }
    } else if (const auto* f = std::get_if<transfer_failed>(&event)) {
      if (vm.active.erase({f->chunk, f->source}) == 0) {
        return;
      }
    }
    for (const auto& action : vm.core->Handle(event, now_)) {
      std::visit([&](const auto& a) { Apply(vm, a); }, action);
    }
    EXPECT_LE(vm.active.size(), limits_.max_chunks_in_memory);
    if (const auto deadline = vm.core->NextDeadline()) {
      const time_point at = std::max(*deadline, now_ + duration(1));
      if (at < vm.tick_at) {
        vm.tick_at = at;
        Post(id, tick{}, at - now_);
      }
    }
  }

  void Apply(vm_state& vm, const fetch_from_origin& a) {
    Fetch(vm, a.chunk, {});
    ++origin_fetches_[{vm.member.data_centre, a.chunk}];
    ++origin_copies_[a.chunk];
    if (vm.member.region != region_id("r0")) {
      ++cross_region_transfers_[a.chunk];
    }
    if (!vm.reaches_origin) {
      Post(vm.member.vm,
           transfer_failed{a.chunk, {}, transfer_failure::kTimeout},
           seconds(1));
    } else {
      Post(vm.member.vm, chunk_received{a.chunk, {}, chunk_check::kOk},
           milliseconds(100));
    }
  }
  void Apply(vm_state& vm, const fetch_from_peer& a) {
    const chunk_source source{a.vm};
    Fetch(vm, a.chunk, source);
    vm_state& peer = vms_.at(a.vm);
    ++requests_[a.vm];
    if (vm.member.region != peer.member.region) {
      ++cross_region_transfers_[a.chunk];
    }
    if (peer.stalls) {
      return;
    }
    if (!peer.alive) {
      Post(vm.member.vm,
           transfer_failed{a.chunk, source, transfer_failure::kTimeout},
           seconds(3));
      return;
    }
    if (random_.Fraction() < refusal_rate_) {
      Post(vm.member.vm,
           transfer_failed{a.chunk, source, transfer_failure::kRefused},
           milliseconds(2));
      return;
    }
    const chunk_check check =
        !peer.delivered.contains(a.chunk)        ? chunk_check::kNotFound
        : random_.Fraction() < peer.corrupt_rate ? chunk_check::kCorrupt
                                                 : chunk_check::kOk;
    Post(vm.member.vm, chunk_received{a.chunk, source, check},
         milliseconds(100));
  }
  void Fetch(vm_state& vm, const digest& chunk, const chunk_source& source) {
    EXPECT_TRUE(vm.active.emplace(chunk, source).second);
    EXPECT_FALSE(vm.delivered.contains(chunk)) << "fetched twice";
  }
  void Apply(vm_state& vm, const cancel_fetch& a) {
    EXPECT_EQ(vm.active.erase({a.chunk, a.source}), 1U);
  }
  void Apply(vm_state& vm, const announce_chunks& a) {
    if (!vm.drops_announcements) {
      Post(a.vm, peer_announcement{vm.member.vm, a.manifest_name, a.chunks},
           milliseconds(1));
    }
  }
  void Apply(vm_state& vm, const distribution_complete& a) {
    vm.complete = true;
    vm.completed = a.version;
    if (a.version == declared_->version) {
      for (const chunk_entry& chunk : declared_->chunks) {
        EXPECT_TRUE(vm.delivered.contains(chunk.name))
            << "complete without " << chunk.name.ToHex();
      }
    }
  }

  int MostOriginFetches() const {
    int most = 0;
    for (const auto& [key, count] : origin_fetches_) {
      most = std::max(most, count);
    }
    return most;
  }

  transfer_limits limits_;
  random_source random_{7};
  std::map<vm_id, vm_state> vms_;
  std::multimap<std::pair<time_point, std::uint64_t>,
                std::pair<vm_id, chunk_fetcher_event>>
      queue_;
  std::uint64_t sequence_ = 0;
  time_point now_;
  std::shared_ptr<const manifest> declared_;
  double refusal_rate_ = 0;
  std::map<std::pair<data_centre_id, digest>, int> origin_fetches_;
  std::map<digest, int> origin_copies_;
  std::map<digest, int> cross_region_transfers_;
  std::map<vm_id, int> requests_;
};

// Guards against several agents of a data centre downloading a chunk from the
// origin.
TEST_F(chunk_fetcher_test, Run_NoFault_OneOriginFetchPerDataCentre) {
  Add(30, 3);
  SendMembers();
  Declare(Manifest("v1", 0, 40));
  EXPECT_TRUE(Run(seconds(60)));
  EXPECT_EQ(MostOriginFetches(), 1);
  EXPECT_EQ(origin_fetches_.size(), 120U);
}

// Guards against more than four origin copies of a chunk, and against more than
// one copy of it entering a region.
TEST_F(chunk_fetcher_test, Run_SixDataCentres_BoundsCopies) {
  for (const int regions : {1, 2}) {
    SCOPED_TRACE(regions);
    vms_.clear();
    queue_.clear();
    origin_copies_.clear();
    Add(36, 6, regions);
    SendMembers();
    Declare(Manifest("v1", 0, 40));
    EXPECT_TRUE(Run(seconds(60)));
    for (const auto& [chunk, count] : origin_copies_) {
      EXPECT_LE(count, 4);
      EXPECT_EQ(cross_region_transfers_[chunk], regions - 1);
    }
  }
}

// Guards against repeated downloads from a source of corrupt chunks.
TEST_F(chunk_fetcher_test, Run_CorruptPeer_IsAvoided) {
  Add(8, 1);
  vms_.at(vm_id("vm3")).corrupt_rate = 1;
  SendMembers();
  Declare(Manifest("v1", 0, 64));
  EXPECT_TRUE(Run(seconds(25)));
  // Each of the other agents has at most two transfers from it at a time.
  EXPECT_LE(requests_[vm_id("vm3")], 14);
}

// Guards against starvation when the only source has sent corrupt chunks.
TEST_F(chunk_fetcher_test, Run_OnlySourceWasCorrupt_IsTriedAgain) {
  Add(2, 1);
  for (auto& [id, vm] : vms_) {
    vm.reaches_origin = false;
  }
  vm_state& holder = vms_.at(vm_id("vm0"));
  holder.corrupt_rate = 0.5;
  const auto content = Manifest("v1", 0, 8);
  SendMembers();
  Declare(content);
  staging_listed inventory;
  for (const chunk_entry& chunk : content->chunks) {
    holder.delivered.insert(chunk.name);
    inventory.chunks.push_back(chunk.name);
  }
  Post(vm_id("vm0"), inventory, milliseconds(2));
  EXPECT_TRUE(Run(seconds(36000)));
}

// Guards against waiting indefinitely for a stalled source.
TEST_F(chunk_fetcher_test, Run_StalledPeer_TransferIsRetriedElsewhere) {
  Add(6, 1);
  vms_.at(vm_id("vm2")).stalls = true;
  SendMembers();
  Declare(Manifest("v1", 0, 32));
  EXPECT_TRUE(Run(seconds(120)));
}

// Guards against chunks without a fetcher when fetchers fail, before and after
// the member list is updated.
TEST_F(chunk_fetcher_test, Run_FetchersDie_OthersTakeOver) {
  for (const bool member_list_updated : {true, false}) {
    SCOPED_TRACE(member_list_updated);
    vms_.clear();
    queue_.clear();
    Add(20, 2);
    SendMembers();
    Declare(Manifest(member_list_updated ? "v1" : "v2", 0, 60));
    EXPECT_FALSE(Run(milliseconds(700)));
    for (int i = 0; i < 6; ++i) {
      Kill(vm_id("vm" + std::to_string(i)));
    }
    if (member_list_updated) {
      EXPECT_FALSE(Run(milliseconds(600)));
      SendMembers();
    }
    EXPECT_TRUE(Run(seconds(120)));
  }
}

// Guards against fetching chunks again that both versions contain, and against
// mixing versions.
TEST_F(chunk_fetcher_test, Run_SupersededMidFlight_KeepsCommonChunks) {
  Add(12, 1);
  SendMembers();
  Declare(Manifest("v1", 0, 40));
  EXPECT_FALSE(Run(milliseconds(900)));
  Declare(Manifest("v2", 20, 40));
  // Fetch() fails if a chunk is fetched after its delivery.
  EXPECT_TRUE(Run(seconds(60)));
  EXPECT_EQ(MostOriginFetches(), 1);
}

// Guards against depending on the origin although the peers have all chunks
// between them, also when their announcements are lost.
TEST_F(chunk_fetcher_test, Run_PartitionedFromOrigin_CompletesFromPeers) {
  for (const bool announcements_dropped : {false, true}) {
    SCOPED_TRACE(announcements_dropped);
    vms_.clear();
    queue_.clear();
    Add(6, 1);
    const auto content = Manifest(announcements_dropped ? "v2" : "v1", 0, 18);
    for (auto& [id, vm] : vms_) {
      vm.reaches_origin = false;
      vm.drops_announcements = announcements_dropped;
    }
    SendMembers();
    Declare(content);
    std::size_t i = 0;
    for (auto& [id, vm] : vms_) {
      staging_listed inventory;
      for (; inventory.chunks.size() < 3; ++i) {
        inventory.chunks.push_back(content->chunks[i].name);
        vm.delivered.insert(inventory.chunks.back());
      }
      Post(id, inventory, milliseconds(2));
    }
    EXPECT_TRUE(Run(seconds(600)));
  }
}

// Guards against treating an engine as complete that lost its staged chunks.
TEST_F(chunk_fetcher_test, StagingListed_ChunksGone_AreFetchedAgain) {
  Add(3, 1);
  SendMembers();
  Declare(Manifest("v1", 0, 8));
  ASSERT_TRUE(Run(seconds(30)));
  vm_state& vm = vms_.at(vm_id("vm1"));
  vm.delivered.clear();
  vm.complete = false;
  Feed(vm_id("vm1"), staging_listed{});
  EXPECT_TRUE(Run(seconds(30)));
}

// Guards against combinations of faults that keep a live agent from completing.
TEST_F(chunk_fetcher_test, Run_RandomFaults_LiveAgentsComplete) {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    SCOPED_TRACE(seed);
    vms_.clear();
    queue_.clear();
    random_ = random_source(seed);
    const int count = 4 + static_cast<int>(random_.Below(30));
    Add(count, 1 + static_cast<int>(random_.Below(6)),
        1 + static_cast<int>(random_.Below(2)));
    refusal_rate_ = random_.Fraction() * 0.3;
    for (auto& [id, vm] : vms_) {
      vm.corrupt_rate = random_.Below(4) == 0 ? random_.Fraction() * 0.5 : 0;
      vm.reaches_origin = random_.Below(3) != 0;
      vm.drops_announcements = random_.Below(10) == 0;
      vm.stalls = random_.Below(12) == 0;
    }
    vms_.begin()->second.reaches_origin = true;
    vms_.begin()->second.stalls = false;
    SendMembers();
    Declare(Manifest("v1", 0, 50));
    Run(milliseconds(random_.Below(3000)));
    for (int i = 1; i < count; ++i) {
      if (random_.Below(6) == 0) {
        Kill(vm_id("vm" + std::to_string(i)));
      }
    }
    if (random_.Below(2) == 0) {
      Declare(Manifest("v2", 30, 50));
    }
    Run(milliseconds(random_.Below(8000)));
    SendMembers();
    EXPECT_TRUE(Run(seconds(36000)));
  }
}

}  // namespace
}  // namespace fireflyslip
