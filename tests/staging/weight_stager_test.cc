#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "fireflyslip/staging.h"

namespace fireflyslip {
namespace {

class weight_stager_test : public testing::Test {
 protected:
  static constexpr std::size_t kChunks = 8;

  void Handle(const weight_stager::event& event) {
    for (const auto& action : core_.Handle(event, now_)) {
      actions_.push_back(action);
    }
  }

  template <typename Action>
  std::vector<Action> Take() {
    std::vector<Action> taken;
    std::erase_if(actions_, [&](const weight_stager::action& action) {
      const auto* match = std::get_if<Action>(&action);
      if (match != nullptr) {
        taken.push_back(*match);
      }
      return match != nullptr;
    });
    return taken;
  }

  void AssignTarget(std::uint64_t version, bool may_be_staged = false) {
    Handle(weight_stager::target_assigned{version, kChunks, may_be_staged});
  }

  // Fetches and stages all chunks.
  void CompleteStaging() {
    for (int round = 0; round < 50; ++round) {
      for (const auto& fetch : Take<weight_stager::fetch>()) {
        Handle(weight_stager::fetch_ended{fetch.chunk, fetch.source,
                                          weight_stager::fetch_result::kFetched,
                                          milliseconds(40)});
      }
      for (const auto& stage : Take<weight_stager::stage>()) {
        Handle(weight_stager::stage_ended{stage.chunk, true});
      }
    }
  }

  // Completes the reads of staged chunks that are in progress; `time` for each
  // group of parallel ones. Returns the number of reads.
  std::size_t CompleteReads(duration time = {}) {
    const auto reads = Take<weight_stager::verify>();
    const time_point read_at = now_;
    now_ += time;
    for (const auto& read : reads) {
      Handle(weight_stager::verify_ended{read.chunk, true, read_at});
    }
    return reads.size();
  }

  // Reads all staged chunks, or up to `max_reads` of them; returns the number.
  std::size_t VerifyAll(std::size_t max_reads = 1000) {
    std::size_t reads = 0;
    for (std::size_t more = 1; more > 0 && reads < max_reads; reads += more) {
      more = CompleteReads();
    }
    return reads;
  }

  void Observe(std::uint64_t version, bool loading = false) {
    Handle(weight_stager::replica_observed{version, loading});
  }

  // Advances the time in small steps, so that timers expire.
  void AdvanceTime(duration time) {
    const time_point end = now_ + time;
    while (now_ < end) {
      now_ += milliseconds(10);
      Handle(tick{});
    }
  }

  time_point now_ = time_point(seconds(100));
  weight_stager core_{{}, {"10.0.0.1", region_id("a"), false}};
  std::vector<weight_stager::action> actions_;
};

// Guards against loading chunks that have not been verified.
TEST_F(weight_stager_test, Staged_BeforeLoad_VerifiedFirst) {
  Observe(0);
  AssignTarget(1);
  CompleteStaging();
  EXPECT_TRUE(Take<weight_stager::load>().empty());
  EXPECT_EQ(VerifyAll(kChunks - 1), kChunks);
  const auto loads = Take<weight_stager::load>();
  ASSERT_EQ(loads.size(), 1U);
  EXPECT_EQ(loads.front().version, 1U);
}

// Guards against loading a chunk that turned bad after it had been verified,
// while the agent was suspended between the reads of two chunks.
TEST_F(weight_stager_test, Verify_PauseBetweenReads_ReadChunksReadAgain) {
  Observe(0);
  AssignTarget(1);
  CompleteStaging();
  EXPECT_EQ(CompleteReads(), 4U);
  EXPECT_EQ(CompleteReads(seconds(4)), 4U);
  EXPECT_TRUE(Take<weight_stager::load>().empty());
  EXPECT_EQ(VerifyAll(), kChunks);
  EXPECT_EQ(Take<weight_stager::load>().size(), 1U);
}

// Guards against loading a chunk that turned bad after the last read: a load
// request that is delayed for longer than the verification holds.
TEST_F(weight_stager_test, Load_DelayedAfterVerify_ExpiresWithOldestRead) {
  Observe(0);
  AssignTarget(1);
  CompleteStaging();
  const time_point first_read = now_;
  CompleteReads(milliseconds(700));
  VerifyAll();
  const auto loads = Take<weight_stager::load>();
  ASSERT_EQ(loads.size(), 1U);
  EXPECT_EQ(loads.front().accept_by, first_read + seconds(3));
  // The request was not sent, so everything is verified again.
  now_ += seconds(4);
  Handle(weight_stager::load_ended{false});
  AdvanceTime(milliseconds(400));
  EXPECT_EQ(VerifyAll(), kChunks);
}

// Guards against loading a chunk that turned bad since its read, or against
// never loading, when the replica takes long for each read.
TEST_F(weight_stager_test, Verify_SlowReplica_LoadedWithinLifetimeOfAllReads) {
  for (const duration read_time :
       {milliseconds(50), milliseconds(500), milliseconds(900)}) {
    core_ = weight_stager({}, {"10.0.0.1", region_id("a"), false});
    actions_.clear();
    Observe(0);
    Handle(weight_stager::target_assigned{1, 48, false});
    CompleteStaging();
    std::vector<time_point> read_at(48);
    std::vector<weight_stager::load> loads;
    for (int round = 0; round < 100 && loads.empty(); ++round) {
      const auto reads = Take<weight_stager::verify>();
      const time_point started = now_;
      now_ += read_time;
      for (const auto& read : reads) {
        read_at[read.chunk] = started;
        Handle(weight_stager::verify_ended{read.chunk, true, started});
      }
      loads = Take<weight_stager::load>();
    }
    ASSERT_EQ(loads.size(), 1U) << read_time.count() << " us a read";
    const time_point oldest = *std::min_element(read_at.begin(), read_at.end());
    EXPECT_LE(now_ - oldest, seconds(2));
    EXPECT_EQ(loads.front().accept_by, oldest + seconds(3));
  }
}

// Guards against loading chunks that were corrupted in staging memory.
TEST_F(weight_stager_test, Verify_CorruptChunk_StagedAgainAndVerified) {
  Observe(0);
  AssignTarget(1);
  CompleteStaging();
  CompleteReads();
  ASSERT_EQ(Take<weight_stager::verify>().size(), 4U);
  for (std::size_t chunk = 4; chunk < kChunks; ++chunk) {
    Handle(weight_stager::verify_ended{chunk, chunk != 5, now_});
  }
  EXPECT_TRUE(Take<weight_stager::load>().empty());
  const auto staged = Take<weight_stager::stage>();
  ASSERT_EQ(staged.size(), 1U);
  EXPECT_EQ(staged.front().chunk, 5U);
  Handle(weight_stager::stage_ended{5, true});
  EXPECT_EQ(VerifyAll(), kChunks);
  EXPECT_EQ(Take<weight_stager::load>().size(), 1U);
}

// Guards against requests that wait at the replica for the load, because
// gateways do not learn of it in advance.
TEST_F(weight_stager_test, Load_ReplicaServes_AnnouncedFirst) {
  Observe(1);
  AssignTarget(2);
  CompleteStaging();
  AdvanceTime(seconds(5));
  EXPECT_EQ(Take<weight_stager::announce_load>().size(), 1U);
  EXPECT_FALSE(Take<weight_stager::verify>().empty());
  EXPECT_TRUE(core_.IsLoadPending());
}

// Guards against the second half of the replicas loading while the first half
// still drains its streams. This takes two seconds after the weights arrive, at
// about 3.5 s (scenario quiet-1 of both sites).
TEST_F(weight_stager_test, Staged_SecondBatch_WaitsForTheFirst) {
  int first_batch = 0;
  int second_batch = 0;
  for (const char* address : {"10.0.0.1", "10.0.0.2"}) {
    core_ = weight_stager({}, {address, region_id("a"), false});
    actions_.clear();
    now_ = time_point(seconds(100));
    Handle(weight_stager::peers_changed{{{"10.0.0.1", region_id("a"), false},
                                         {"10.0.0.2", region_id("a"), false}},
                                        region_id("a")});
    Observe(1);
    AssignTarget(2);
    CompleteStaging();
    AdvanceTime(milliseconds(5000));
    first_batch +=
        static_cast<int>(Take<weight_stager::announce_load>().size());
    AdvanceTime(milliseconds(500));
    second_batch +=
        static_cast<int>(Take<weight_stager::announce_load>().size());
  }
  EXPECT_EQ(first_batch, 1);
  EXPECT_EQ(second_batch, 1);
}

// Guards against dropping a nearly complete second version for a third one, of
// which the origin failed half a second after its publication (scenario scale-1
// of tui-lane).
TEST_F(weight_stager_test, IsReplaceable_InProgress_OnlyWhenLoadingOrStalled) {
  Observe(1);
  AssignTarget(2);
  EXPECT_FALSE(core_.IsReplaceable(now_));
  EXPECT_TRUE(core_.IsReplaceable(now_ + seconds(2)));
  CompleteStaging();
  AdvanceTime(seconds(5));
  VerifyAll();
  EXPECT_EQ(Take<weight_stager::load>().size(), 1U);
  Handle(weight_stager::load_ended{true});
  EXPECT_TRUE(core_.IsReplaceable(now_));
}

// Guards against taking a refused connection for an empty replica, because
// agents start before their replicas, and then waiting for peers that wait,
// too (scenario quiet-1 of boissec-route).
TEST_F(weight_stager_test, LocalReplica_RefusesOnce_ReadAgain) {
  Observe(1);
  AssignTarget(1, true);
  const auto first = Take<weight_stager::fetch>();
  ASSERT_FALSE(first.empty());
  EXPECT_EQ(first.front().source.kind, source_kind::kLocalReplica);
  Handle(weight_stager::fetch_ended{first.front().chunk, first.front().source,
                                    weight_stager::fetch_result::kFailed});
  AdvanceTime(milliseconds(200));
  const auto again = Take<weight_stager::fetch>();
  ASSERT_FALSE(again.empty());
  EXPECT_EQ(again.front().source.kind, source_kind::kLocalReplica);
}

// Guards against fetching all chunks from peers because one is missing.
TEST_F(weight_stager_test, LocalReplica_ChunkMissing_OnlyThatOneElsewhere) {
  Observe(1);
  AssignTarget(1, true);
  const auto first = Take<weight_stager::fetch>();
  Handle(weight_stager::fetch_ended{first.front().chunk, first.front().source,
                                    weight_stager::fetch_result::kMissing});
  AdvanceTime(milliseconds(200));
  for (const auto& fetch : Take<weight_stager::fetch>()) {
    const bool local = fetch.source.kind == source_kind::kLocalReplica;
    EXPECT_EQ(local, fetch.chunk != first.front().chunk);
  }
}

// Guards against a replica that stays without weights after losing them.
TEST_F(weight_stager_test, Replica_LosesWeights_LoadedAgain) {
  Observe(0);
  AssignTarget(1);
  CompleteStaging();
  VerifyAll();
  EXPECT_EQ(Take<weight_stager::load>().size(), 1U);
  Handle(weight_stager::load_ended{true});
  Observe(1);
  EXPECT_TRUE(core_.IsServing());
  Observe(0);
  AdvanceTime(milliseconds(400));
  EXPECT_EQ(VerifyAll(), kChunks);
  EXPECT_EQ(Take<weight_stager::load>().size(), 1U);
}

// Guards against transfers that delay requests to the replica on a link whose
// bandwidth has dropped.
TEST_F(weight_stager_test, Fetch_SlowTransfers_FewerInParallel) {
  Observe(1);
  AssignTarget(2);
  std::size_t parallel = 0;
  for (int round = 0; round < 3; ++round) {
    const auto fetches = Take<weight_stager::fetch>();
    parallel = fetches.size();
    for (const auto& fetch : fetches) {
      Handle(weight_stager::fetch_ended{fetch.chunk, fetch.source,
                                        weight_stager::fetch_result::kFailed,
                                        seconds(1)});
    }
    AdvanceTime(milliseconds(200));
  }
  EXPECT_LE(parallel, 1U);
}

}  // namespace
}  // namespace fireflyslip
