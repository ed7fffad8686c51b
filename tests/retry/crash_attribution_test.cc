#include "fireflyslip/retry/crash_attribution.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace fireflyslip {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;

class crash_attribution_test : public testing::Test {
 protected:
  static constexpr prompt_part kCrashing = 1;
  static constexpr prompt_part kShared = 2;
  static constexpr prompt_part kRare = 3;

  /// The requests were about to begin when the upstream crashed; the next
  /// crash is an independent event.
  void Crash(crash_id upstream,
             const std::vector<std::vector<prompt_part>>& requests) {
    std::vector<std::uint64_t> ids;
    for (const auto& parts : requests) {
      ids.push_back(++request_);
      core_.AttemptStarted(request_, upstream, parts);
    }
    for (const std::uint64_t id : ids) {
      core_.AttemptEnded(id, attempt_end::kInterrupted, now_);
    }
    core_.UpstreamLost(upstream, now_ + milliseconds(50));
    now_ += seconds(1);
  }

  void Succeed(const std::vector<prompt_part>& parts) {
    core_.AttemptStarted(++request_, 1000, parts);
    core_.AttemptBegun(request_, now_);
    core_.AttemptEnded(request_, attempt_end::kResponse, now_);
  }

  time_point now_ = time_point(seconds(100));
  std::uint64_t request_ = 0;
  crash_attribution core_;
};

// Guards against a part of a prompt that crashes one upstream after another.
TEST_F(crash_attribution_test, Crash_TwiceWithOnePart_BlocksIt) {
  Succeed({kShared});
  Crash(10, {{kShared, kCrashing}});
  EXPECT_THAT(core_.blocked(), IsEmpty());
  Crash(11, {{kShared, kCrashing}});
  EXPECT_THAT(core_.blocked(), ElementsAre(kCrashing));
}

// Guards against blocking the parts that sound requests share with the cause.
TEST_F(crash_attribution_test, Crash_ManyWithSharedPart_SharedPartNotBlocked) {
  Succeed({kShared});
  for (crash_id crash = 10; crash < 16; ++crash) {
    Crash(crash, {{kShared, kCrashing}});
  }
  EXPECT_THAT(core_.blocked(), ElementsAre(kCrashing));
}

// Guards against blocking a part because of requests that only ran beside the
// cause.
TEST_F(crash_attribution_test, Crash_BystanderInTwo_OnlyCauseBlocked) {
  Crash(10, {{kCrashing}, {kRare}});
  Crash(11, {{kCrashing}, {kRare}});
  Crash(12, {{kCrashing}});
  EXPECT_THAT(core_.blocked(), ElementsAre(kCrashing));
}

// Guards against a block that stays although a request with the part begins.
TEST_F(crash_attribution_test, Begin_AfterTwoCrashes_Unblocked) {
  core_.AttemptStarted(500, 20, {kRare});
  Crash(10, {{kRare}});
  Crash(11, {{kRare}});
  EXPECT_THAT(core_.blocked(), ElementsAre(kRare));
  core_.AttemptBegun(500, now_);
  EXPECT_THAT(core_.blocked(), IsEmpty());
}

// Guards against blocking a part that waits at several upstreams, because one
// event ends them all.
TEST_F(crash_attribution_test, Crash_ManyAtOnce_OneEvent) {
  for (crash_id crash = 10; crash < 18; ++crash) {
    core_.AttemptStarted(crash, crash, {kShared});
    core_.AttemptEnded(crash, attempt_end::kInterrupted,
                       now_ + milliseconds(crash));
    core_.UpstreamLost(crash, now_ + milliseconds(100));
  }
  EXPECT_THAT(core_.blocked(), IsEmpty());
  ASSERT_EQ(core_.CountedCrashes(kShared, now_).size(), 8U);
  EXPECT_EQ(core_.CountedCrashes(kShared, now_).back().event, 1U);
}

// Guards against the same with crashes that other gateways saw.
TEST_F(crash_attribution_test, Merge_ManyAtOnce_OneEvent) {
  for (crash_id crash = 10; crash < 18; ++crash) {
    crash_attribution other;
    other.AttemptStarted(1, crash, {kShared});
    other.AttemptEnded(1, attempt_end::kInterrupted, now_);
    other.UpstreamLost(crash, now_);
    const time_point received_at = now_ + milliseconds(crash * 50);
    core_.Merge(other.ChangedSince({}, received_at), received_at);
  }
  EXPECT_THAT(core_.blocked(), IsEmpty());
}

// Guards against taking a request and its retry, which meet two crashes by
// coincidence, for two requests.
TEST_F(crash_attribution_test, Crash_RetryOfOneRequest_OneEvent) {
  for (crash_id crash = 10; crash < 14; ++crash) {
    core_.AttemptStarted(1, crash, {kRare});
    core_.AttemptEnded(1, attempt_end::kInterrupted, now_);
    core_.UpstreamLost(crash, now_);
    now_ += seconds(1);
  }
  EXPECT_THAT(core_.blocked(), IsEmpty());
}

// Guards against suspecting requests whose response had begun.
TEST_F(crash_attribution_test, Crash_ResponseBegun_NotSuspected) {
  for (crash_id crash = 10; crash < 14; ++crash) {
    core_.AttemptStarted(++request_, crash, {kRare});
    core_.AttemptBegun(request_, now_);
    core_.AttemptEnded(request_, attempt_end::kInterrupted, now_);
    core_.UpstreamLost(crash, now_);
  }
  EXPECT_EQ(core_.size(), 0U);
}

// Guards against counting connections that a sound upstream or a link resets as
// crashes.
TEST_F(crash_attribution_test, Interrupted_UpstreamNotLost_NotSuspected) {
  for (crash_id crash = 10; crash < 14; ++crash) {
    core_.AttemptStarted(++request_, crash, {kRare});
    core_.AttemptEnded(request_, attempt_end::kInterrupted, now_);
    now_ += seconds(2);
    core_.UpstreamLost(crash, now_);
  }
  EXPECT_EQ(core_.size(), 0U);
}

// Guards against a crash that counts only if the report of the agent arrives
// after the end of the connections.
TEST_F(crash_attribution_test, Interrupted_AfterUpstreamLost_Suspected) {
  for (crash_id crash = 10; crash < 12; ++crash) {
    core_.AttemptStarted(++request_, crash, {kCrashing});
    core_.UpstreamLost(crash, now_);
    core_.AttemptEnded(request_, attempt_end::kInterrupted,
                       now_ + milliseconds(100));
    now_ += seconds(1);
  }
  EXPECT_THAT(core_.blocked(), ElementsAre(kCrashing));
}

// Guards against a part that would have to crash several upstreams per gateway:
// each gateway sees only one of the crashes.
TEST_F(crash_attribution_test, Merge_CrashSeenByAnotherGateway_Blocked) {
  crash_attribution other;
  other.AttemptStarted(1, 20, {kCrashing});
  other.AttemptEnded(1, attempt_end::kInterrupted, now_);
  other.UpstreamLost(20, now_);
  now_ += seconds(1);
  Crash(10, {{kCrashing}});
  EXPECT_TRUE(core_.Merge(other.ChangedSince({}, now_), now_));
  EXPECT_THAT(core_.blocked(), ElementsAre(kCrashing));
  EXPECT_FALSE(core_.Merge(other.ChangedSince({}, now_), now_));
  EXPECT_TRUE(other.Merge(core_.ChangedSince({}, now_), now_));
  EXPECT_THAT(other.blocked(), ElementsAre(kCrashing));
}

// Guards against evidence from another gateway that blocks a part which is
// answered here.
TEST_F(crash_attribution_test, Merge_PartAnsweredHere_OtherBlocked) {
  Succeed({kShared});
  crash_attribution other;
  for (crash_id crash = 20; crash < 22; ++crash) {
    other.AttemptStarted(crash, crash, {kShared, kCrashing});
    other.AttemptEnded(crash, attempt_end::kInterrupted, now_);
    other.UpstreamLost(crash, now_);
    now_ += seconds(1);
  }
  core_.Merge(other.ChangedSince({}, now_), now_);
  EXPECT_THAT(core_.blocked(), ElementsAre(kCrashing));
  other.Merge(core_.ChangedSince({}, now_), now_);
  EXPECT_THAT(other.blocked(), ElementsAre(kCrashing));
}

// Guards against blocking sound parts with the cause, because one request and
// its retry met the same requests twice.
TEST_F(crash_attribution_test, Crash_TwoPartsInBoth_NoneBlockedUntilThird) {
  Crash(10, {{kCrashing}, {kRare}});
  Crash(11, {{kCrashing}, {kRare}});
  EXPECT_THAT(core_.blocked(), IsEmpty());
  Crash(12, {{kCrashing}});
  EXPECT_THAT(core_.blocked(), ElementsAre(kCrashing));
}

// Guards against evidence that gateways keep alive by sending it to each other.
TEST_F(crash_attribution_test, Merge_OldEvidence_LifetimeNotRenewed) {
  Crash(10, {{kCrashing}});
  Crash(11, {{kCrashing}});
  now_ += seconds(100);
  crash_attribution other;
  EXPECT_TRUE(other.Merge(core_.ChangedSince({}, now_), now_));
  EXPECT_TRUE(other.IsBlocked({kCrashing}));
  now_ += seconds(30);
  other.Expire(now_);
  EXPECT_FALSE(other.IsBlocked({kCrashing}));
}

// Guards against a cause that is not recorded because cleared evidence of sound
// parts fills the memory.
TEST_F(crash_attribution_test, Suspects_ManyCleared_CauseStillRecorded) {
  crash_attribution core({.lifetime = seconds(60), .max_parts = 4});
  for (prompt_part part = 10; part < 20; ++part) {
    core.AttemptStarted(part, part, {part});
    core.AttemptEnded(part, attempt_end::kInterrupted, now_);
    core.UpstreamLost(part, now_);
    core.AttemptStarted(part, 1000, {part});
    core.AttemptBegun(part, now_);
    core.AttemptEnded(part, attempt_end::kResponse, now_);
  }
  now_ += seconds(1);
  for (crash_id crash = 30; crash < 32; ++crash) {
    core.AttemptStarted(crash, crash, {kCrashing});
    core.AttemptEnded(crash, attempt_end::kInterrupted, now_);
    core.UpstreamLost(crash, now_);
    now_ += seconds(1);
  }
  EXPECT_THAT(core.blocked(), ElementsAre(kCrashing));
}

// Guards against a reset before a crash that moves the crash to its own time,
// so that upstreams that crash together are several events.
TEST_F(crash_attribution_test, Interrupted_LongBeforeOthers_NotSuspected) {
  core_.AttemptStarted(1, 10, {kRare});
  core_.AttemptStarted(2, 10, {kShared});
  core_.AttemptEnded(1, attempt_end::kInterrupted, now_);
  now_ += milliseconds(500);
  core_.AttemptEnded(2, attempt_end::kInterrupted, now_);
  core_.UpstreamLost(10, now_);
  EXPECT_THAT(core_.CountedCrashes(kRare, now_), IsEmpty());
  EXPECT_EQ(core_.CountedCrashes(kShared, now_).size(), 1U);
}

// Guards against evidence that is kept for ever.
TEST_F(crash_attribution_test, Evidence_LifetimeOver_Forgotten) {
  Crash(10, {{kCrashing}});
  Crash(11, {{kCrashing}});
  now_ += std::chrono::minutes(3);
  core_.Expire(now_);
  EXPECT_THAT(core_.blocked(), IsEmpty());
  EXPECT_EQ(core_.size(), 0U);
}

// Guards against memory that grows with the number of crashing requests.
TEST_F(crash_attribution_test, Suspects_Many_Bounded) {
  crash_attribution core({.lifetime = seconds(60), .max_parts = 4});
  for (prompt_part part = 1; part < 100; ++part) {
    core.AttemptStarted(part, part, {part});
    core.AttemptEnded(part, attempt_end::kInterrupted, now_);
    core.UpstreamLost(part, now_);
  }
  EXPECT_LE(core.size(), 4U);
}

// Guards against sound requests that are refused because they ran beside two
// crashes with another cause.
TEST_F(crash_attribution_test, WholeRequest_TwoCrashes_NotBlocked) {
  core_ = crash_attribution(RequestCrashPolicy());
  Crash(10, {{kCrashing}});
  Crash(11, {{kCrashing}});
  EXPECT_TRUE(core_.IsSuspect(kCrashing));
  EXPECT_THAT(core_.blocked(), IsEmpty());
  Crash(12, {{kCrashing}});
  EXPECT_THAT(core_.blocked(), ElementsAre(kCrashing));
}

// Guards against blocking a request that was at as many crashes as another one.
TEST_F(crash_attribution_test, WholeRequest_OtherAtSameCrashes_NotBlocked) {
  core_ = crash_attribution(RequestCrashPolicy());
  for (crash_id crash = 10; crash < 13; ++crash) {
    Crash(crash, {{kCrashing}, {kRare}});
  }
  EXPECT_THAT(core_.blocked(), IsEmpty());
  Crash(13, {{kCrashing}});
  EXPECT_THAT(core_.blocked(), ElementsAre(kCrashing));
}

// Guards against a request whose crashes are not counted, because the upstreams
// fall silent and the platform lists them for several seconds.
TEST_F(crash_attribution_test, WholeRequest_UpstreamsSilent_Blocked) {
  core_ = crash_attribution(RequestCrashPolicy());
  for (crash_id crash = 10; crash < 13; ++crash) {
    core_.AttemptStarted(crash, crash, {kCrashing});
    core_.AttemptEnded(crash, attempt_end::kSilent, now_);
    now_ += seconds(1);
  }
  now_ += seconds(3);
  for (crash_id crash = 10; crash < 13; ++crash) {
    core_.UpstreamLost(crash, now_);
  }
  EXPECT_THAT(core_.blocked(), ElementsAre(kCrashing));
}

// Guards against evidence of one gateway against a request that another gateway
// has answered since.
TEST_F(crash_attribution_test, Merge_BegunHereSince_Cleared) {
  Crash(10, {{kRare}});
  Crash(11, {{kRare}});
  const std::vector<crash_evidence> evidence =
      core_.ChangedSince(time_point(), now_);
  crash_attribution other;
  other.AttemptStarted(1, 20, {kRare});
  other.AttemptBegun(1, now_);
  other.Merge(evidence, now_ + milliseconds(10));
  EXPECT_FALSE(other.IsSuspect(kRare));
  core_.Merge(other.ChangedSince(time_point(), now_ + milliseconds(10)),
              now_ + milliseconds(20));
  EXPECT_THAT(core_.blocked(), IsEmpty());
}

// Guards against refusing sound requests with a new part of prompts that came
// first with the cause: nothing was answered that would tell them apart.
TEST_F(crash_attribution_test, Crash_NewPartWithCause_OnlyBothBlocked) {
  Crash(10, {{kRare, kCrashing}});
  Crash(11, {{kRare, kCrashing}});
  EXPECT_TRUE(core_.IsBlocked({kRare, kCrashing}));
  EXPECT_FALSE(core_.IsBlocked({kRare}));
  EXPECT_FALSE(core_.IsBlocked({kCrashing}));
  EXPECT_THAT(core_.blocked_combinations(),
              ElementsAre(std::set<prompt_part>{kCrashing, kRare}));
  Succeed({kRare});
  EXPECT_THAT(core_.blocked(), ElementsAre(kCrashing));
  EXPECT_THAT(core_.blocked_combinations(), IsEmpty());
}

// The same beside sound requests, and when other gateways tell of the crashes.
TEST_F(crash_attribution_test, Crash_NewPartAlsoBeside_OnlyBothBlocked) {
  Crash(10, {{kRare, kCrashing}, {kRare}});
  Crash(11, {{kRare, kCrashing}});
  Crash(12, {{kRare, kCrashing}, {kRare}, {kShared}});
  crash_attribution other;
  other.Merge(core_.ChangedSince({}, now_), now_);
  for (const crash_attribution* core : {&core_, &other}) {
    EXPECT_TRUE(core->IsBlocked({kShared, kCrashing, kRare}));
    EXPECT_FALSE(core->IsBlocked({kRare}));
    EXPECT_FALSE(core->IsBlocked({kShared}));
  }
}

// Guards against a cause that goes on with one new part after the other.
TEST_F(crash_attribution_test, Crash_CauseWithOtherNewParts_BlockedAlone) {
  constexpr prompt_part kNew = 50;
  Crash(10, {{kRare, kCrashing}});
  Crash(11, {{kRare, kCrashing}});
  Crash(12, {{kNew, kCrashing}});
  Crash(13, {{kNew, kCrashing}});
  EXPECT_THAT(core_.blocked(), ElementsAre(kCrashing));
  EXPECT_FALSE(core_.IsBlocked({kNew}));
  EXPECT_FALSE(core_.IsBlocked({kRare}));
}

// Guards against blocking all of several new parts, of which one is the cause.
TEST_F(crash_attribution_test, Crash_SeveralNewParts_PairsOfSoundOnesPass) {
  constexpr prompt_part kNew = 50;
  Crash(10, {{kNew, kRare, kCrashing}});
  Crash(11, {{kNew, kRare, kCrashing}});
  EXPECT_TRUE(core_.IsBlocked({kCrashing, kNew, kRare}));
  EXPECT_FALSE(core_.IsBlocked({kNew, kRare}));
}

// Guards against refusing a new part after one crash with another cause.
TEST_F(crash_attribution_test, Crash_NewPartOnceWithoutCause_OnlyBothBlocked) {
  Crash(10, {{kRare, kCrashing}});
  Crash(11, {{kRare, kCrashing}});
  Crash(12, {{kRare}});
  EXPECT_FALSE(core_.IsBlocked({kRare}));
  EXPECT_TRUE(core_.IsBlocked({kRare, kCrashing}));
  Crash(13, {{kRare}});
  EXPECT_THAT(core_.blocked(), ElementsAre(kRare));
}

// Guards against memory and messages that grow with the parts of prompts.
TEST_F(crash_attribution_test, Companions_Many_Bounded) {
  for (crash_id crash = 10; crash < 13; ++crash) {
    std::vector<std::vector<prompt_part>> requests;
    for (prompt_part part = 100; part < 140; ++part) {
      requests.push_back({kCrashing, part});
    }
    Crash(crash, requests);
  }
  for (const crash_evidence& item : core_.ChangedSince({}, now_)) {
    for (const auto& [crash, sighting] : item.crashes) {
      EXPECT_LE(sighting.companions.size(), kMaxCompanions);
    }
  }
}

// Guards against messages that grow with the number of interrupted requests:
// only those that were at two crashes apart are of interest to all.
TEST_F(crash_attribution_test, Evidence_OfOneEvent_NotRepeated) {
  Crash(10, {{kRare}, {kShared}});
  Crash(11, {{kShared}});
  const std::vector<crash_evidence> evidence =
      core_.ChangedSince(time_point(), now_);
  ASSERT_EQ(evidence.size(), 2U);
  for (const crash_evidence& item : evidence) {
    EXPECT_EQ(IsRepeated(item), item.part == kShared);
  }
  EXPECT_EQ(Strongest(evidence, 1).front().part, kShared);
}

}  // namespace
}  // namespace fireflyslip
