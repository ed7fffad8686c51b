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

  void Name(std::uint64_t version, bool may_be_staged = false) {
    Handle(weight_stager::target_assigned{version, kChunks, may_be_staged});
  }

  // Fetches and stages all chunks.
  void CompleteStaging() {
    for (int round = 0; round < 20; ++round) {
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

  void Observe(std::uint64_t version, bool loading = false) {
    Handle(weight_stager::replica_observed{version, loading});
  }

  // Lets timers expire for a while.
  void Pass(duration time) {
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

// Guards against loading what has not been verified.
TEST_F(weight_stager_test, Staged_BeforeLoad_VerifiedFirst) {
  Observe(0);
  Name(1);
  CompleteStaging();
  EXPECT_EQ(Take<weight_stager::verify>().size(), 1U);
  EXPECT_TRUE(Take<weight_stager::load>().empty());
  Handle(weight_stager::verify_ended{});
  EXPECT_EQ(Take<weight_stager::load>().size(), 1U);
}

// Guards against loading chunks that were spoilt while they were staged.
TEST_F(weight_stager_test, Verify_SpoiltChunk_StagedAgainAndVerified) {
  Observe(0);
  Name(1);
  CompleteStaging();
  Take<weight_stager::verify>();
  Handle(weight_stager::verify_ended{{3}});
  EXPECT_TRUE(Take<weight_stager::load>().empty());
  const auto staged = Take<weight_stager::stage>();
  ASSERT_EQ(staged.size(), 1U);
  EXPECT_EQ(staged.front().chunk, 3U);
  Handle(weight_stager::stage_ended{3, true});
  EXPECT_EQ(Take<weight_stager::verify>().size(), 1U);
}

// Guards against requests that wait at the replica for the load: entries are
// told before it is ordered.
TEST_F(weight_stager_test, Load_ReplicaServes_AnnouncedFirst) {
  Observe(1);
  Name(2);
  CompleteStaging();
  Pass(seconds(5));
  EXPECT_EQ(Take<weight_stager::announce_load>().size(), 1U);
  EXPECT_EQ(Take<weight_stager::verify>().size(), 1U);
  EXPECT_TRUE(core_.IsLoadPending());
}

// quiet-1 of both sites: guards against a second half of the replicas that
// changes while the first half still ends its streams, which takes two seconds
// after the weights came at about 3.5 s.
TEST_F(weight_stager_test, Staged_SecondHalf_WaitsForTheFirst) {
  int at_once = 0;
  int later = 0;
  for (const char* address : {"10.0.0.1", "10.0.0.2"}) {
    core_ = weight_stager({}, {address, region_id("a"), false});
    actions_.clear();
    now_ = time_point(seconds(100));
    Handle(weight_stager::peers_changed{{{"10.0.0.1", region_id("a"), false},
                                         {"10.0.0.2", region_id("a"), false}},
                                        region_id("a")});
    Observe(1);
    Name(2);
    CompleteStaging();
    Pass(milliseconds(5000));
    at_once += static_cast<int>(Take<weight_stager::announce_load>().size());
    Pass(milliseconds(500));
    later += static_cast<int>(Take<weight_stager::announce_load>().size());
  }
  EXPECT_EQ(at_once, 1);
  EXPECT_EQ(later, 1);
}

// The origin failed half a second after a third version was named (scale-1 of
// tui-lane): guards against dropping a second one that is nearly there.
TEST_F(weight_stager_test, IsReplaceable_InProgress_OnlyWhenOrderedOrStalled) {
  Observe(1);
  Name(2);
  EXPECT_FALSE(core_.IsReplaceable(now_));
  EXPECT_TRUE(core_.IsReplaceable(now_ + seconds(2)));
  CompleteStaging();
  Pass(seconds(5));
  Handle(weight_stager::verify_ended{});
  Handle(weight_stager::load_ended{true});
  EXPECT_TRUE(core_.IsReplaceable(now_));
}

// Agents start before their replicas (quiet-1 of boissec-route): guards against
// taking a refused connection for an empty replica and waiting for peers that
// wait, too.
TEST_F(weight_stager_test, OwnReplica_RefusesOnce_ReadAgain) {
  Observe(1);
  Name(1, true);
  const auto first = Take<weight_stager::fetch>();
  ASSERT_FALSE(first.empty());
  EXPECT_EQ(first.front().source.kind, source_kind::kLocalReplica);
  Handle(weight_stager::fetch_ended{first.front().chunk, first.front().source,
                                    weight_stager::fetch_result::kFailed});
  Pass(milliseconds(200));
  const auto again = Take<weight_stager::fetch>();
  ASSERT_FALSE(again.empty());
  EXPECT_EQ(again.front().source.kind, source_kind::kLocalReplica);
}

// Guards against all chunks from peers because one is missing.
TEST_F(weight_stager_test, OwnReplica_ChunkMissing_OnlyThatOneElsewhere) {
  Observe(1);
  Name(1, true);
  const auto first = Take<weight_stager::fetch>();
  Handle(weight_stager::fetch_ended{first.front().chunk, first.front().source,
                                    weight_stager::fetch_result::kMissing});
  Pass(milliseconds(200));
  for (const auto& fetch : Take<weight_stager::fetch>()) {
    const bool own = fetch.source.kind == source_kind::kLocalReplica;
    EXPECT_EQ(own, fetch.chunk != first.front().chunk);
  }
}

// Guards against a replica that stays empty after it has lost its weights.
TEST_F(weight_stager_test, Replica_LosesWeights_LoadedAgain) {
  Observe(0);
  Name(1);
  CompleteStaging();
  Take<weight_stager::verify>();
  Handle(weight_stager::verify_ended{});
  Take<weight_stager::load>();
  Handle(weight_stager::load_ended{true});
  Observe(1);
  EXPECT_TRUE(core_.IsServing());
  Observe(0);
  Pass(milliseconds(400));
  EXPECT_EQ(Take<weight_stager::verify>().size(), 1U);
}

// Guards against downloads that hold up the requests to the replica on a link
// that has become narrow.
TEST_F(weight_stager_test, Fetch_SlowTransfers_FewerAtATime) {
  Observe(1);
  Name(2);
  std::size_t at_a_time = 0;
  for (int round = 0; round < 3; ++round) {
    const auto fetches = Take<weight_stager::fetch>();
    at_a_time = fetches.size();
    for (const auto& fetch : fetches) {
      Handle(weight_stager::fetch_ended{fetch.chunk, fetch.source,
                                        weight_stager::fetch_result::kFailed,
                                        seconds(1)});
    }
    Pass(milliseconds(200));
  }
  EXPECT_LE(at_a_time, 1U);
}

}  // namespace
}  // namespace fireflyslip
