#include "fireflyslip/scheduling.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "scheduling/virtual_upstream.h"

namespace fireflyslip {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;
using testing_support::job;
using testing_support::load;

constexpr double kFloor = 0.1;
constexpr std::size_t kSlots = 8;
constexpr double kCapacity = kSlots * testing_support::kSlotRate;
constexpr double kRequests = kCapacity / testing_support::kMeanTokens;
constexpr duration kLength = seconds(120);

class request_scheduler_test : public testing::Test {
 protected:
  using scheduler = request_scheduler;
  using action = scheduler::action;

  static scheduler::enqueue Attempt(std::uint64_t sequence,
                                    request_rank rank,
                                    const std::string& workspace = "w") {
    return {{{vm_id("e"), 1, sequence}, 0},
            workspace_id(workspace),
            1,
            rank,
            time_point(seconds(100)),
            100,
            true,
            false};
  }

  static std::vector<job> Run(const std::vector<load>& loads) {
    std::vector<job> jobs = testing_support::MakeJobs(loads, kLength, 7);
    scheduler scheduler({kSlots, 256, {kFloor, kFloor, kFloor}});
    testing_support::RunJobs(scheduler, jobs, kLength);
    return jobs;
  }

  load urgent_ = {"u", request_rank::kUrgent, kRequests * 0.3, seconds(4)};
  load standard_ = {"s", request_rank::kStandard, kRequests * 0.3};
  load background_ = {"b", request_rank::kBackground, kRequests * 10,
                      seconds(60)};
};

// Guards against urgent requests that wait for slots held by background
// requests.
TEST_F(request_scheduler_test,
       Run_BackgroundFlood_UrgentP95GrowsBelow10Percent) {
  const double baseline = testing_support::LatencyQuantile(
      Run({urgent_}), request_rank::kUrgent, 0.95);
  const double flood = testing_support::LatencyQuantile(
      Run({urgent_, background_}), request_rank::kUrgent, 0.95);
  EXPECT_LT(flood, baseline * 1.10);
}

// Guards against starvation of other ranks while urgent requests exceed the
// capacity.
TEST_F(request_scheduler_test, Run_UrgentFlood_OtherRanksKeepFloor) {
  urgent_.per_second = kRequests * 10;
  const std::vector<job> jobs = Run({urgent_, standard_, background_});
  constexpr duration kWarmUp = seconds(20);
  for (const request_rank rank :
       {request_rank::kStandard, request_rank::kBackground}) {
    EXPECT_GE(testing_support::MinShare(jobs, rank, kWarmUp, kLength,
                                        kLength - kWarmUp, kCapacity),
              0.95 * kFloor);
  }
}

// Guards against a workspace that reduces the service of others by sending
// twenty times its share.
TEST_F(request_scheduler_test, Run_WorkspaceSends20Fold_OthersKeepGoodput) {
  std::vector<load> loads;
  loads.reserve(20);
  for (int i = 0; i < 10; ++i) {
    loads.push_back(
        {"w" + std::to_string(i), request_rank::kStandard, kRequests * 0.09});
  }
  const double before =
      testing_support::TotalGoodput(Run({loads.begin() + 1, loads.end()}));
  loads[0].per_second = kRequests * 0.1 * 20;
  std::map<std::string, double> after = testing_support::Goodput(Run(loads));
  after.erase("w0");
  double others = 0;
  for (const auto& [workspace, tokens] : after) {
    others += tokens;
  }
  EXPECT_GT(others, 0.95 * before);
}

// Guards against unequal service of equal workspaces under overload.
TEST_F(request_scheduler_test, Run_EqualWorkspaces_JainIndexAtLeast095) {
  std::vector<load> loads;
  loads.reserve(20);
  for (int i = 0; i < 20; ++i) {
    loads.push_back(
        {"w" + std::to_string(i), request_rank::kStandard, kRequests * 0.1});
  }
  EXPECT_GE(testing_support::JainIndex(testing_support::Goodput(Run(loads))),
            0.95);
}

// Guards against slots spent on requests that miss their deadlines.
TEST_F(request_scheduler_test, Run_Overload_KeepsGoodput) {
  std::vector<load> loads = {urgent_, standard_, background_};
  for (load& load : loads) {
    load.per_second = kRequests / 3;
  }
  const double at_capacity = testing_support::TotalGoodput(Run(loads));
  for (load& load : loads) {
    load.per_second = kRequests;
  }
  EXPECT_GE(testing_support::TotalGoodput(Run(loads)), 0.9 * at_capacity);
}

// Guards against queueing a request that cannot meet its deadline.
TEST_F(request_scheduler_test, Enqueue_DeadlineInfeasible_RefusesAtOnce) {
  scheduler scheduler({.slots = 1});
  const auto first = Attempt(1, request_rank::kStandard);
  EXPECT_THAT(scheduler.Handle(first, {}),
              ElementsAre(action(scheduler::start{first.attempt})));
  auto infeasible = Attempt(2, request_rank::kStandard);
  infeasible.deadline = time_point(milliseconds(900));
  EXPECT_THAT(scheduler.Handle(infeasible, {}),
              ElementsAre(action(scheduler::refuse{
                  infeasible.attempt, error_kind::kDeadlineExceeded, false})));
}

// Guards against queueing a request that misses its deadline because of the
// backlog ahead of it.
TEST_F(request_scheduler_test, Enqueue_QueueTooLongForDeadline_RefusesAtOnce) {
  scheduler scheduler({.slots = 1});
  for (std::uint64_t i = 0; i < 4; ++i) {
    scheduler.Handle(Attempt(i, request_rank::kStandard), {});
  }
  auto infeasible = Attempt(9, request_rank::kStandard);
  infeasible.deadline = time_point(seconds(3));
  EXPECT_THAT(scheduler.Handle(infeasible, {}),
              ElementsAre(action(scheduler::refuse{
                  infeasible.attempt, error_kind::kDeadlineExceeded, false})));
}

// Guards against starting a request too late because the upstream has become
// slower since it was queued.
TEST_F(request_scheduler_test, Finished_UpstreamSlower_RefusesInsteadOfStart) {
  scheduler scheduler({.slots = 1});
  const auto first = Attempt(1, request_rank::kStandard);
  auto second = Attempt(2, request_rank::kStandard);
  second.deadline = time_point(seconds(12));
  scheduler.Handle(first, {});
  scheduler.Handle(second, {});
  EXPECT_THAT(scheduler.Handle(scheduler::finished{first.attempt, 100},
                               time_point(seconds(10))),
              ElementsAre(action(scheduler::refuse{
                  second.attempt, error_kind::kDeadlineExceeded, false})));
}

// Guards against refusing a queued request only after its deadline.
TEST_F(request_scheduler_test, Tick_LatestStartPassed_Refuses) {
  scheduler scheduler({.slots = 1});
  scheduler.Handle(Attempt(1, request_rank::kStandard), {});
  auto late = Attempt(2, request_rank::kStandard);
  late.deadline = time_point(seconds(3));
  EXPECT_THAT(scheduler.Handle(late, {}), IsEmpty());
  ASSERT_TRUE(scheduler.NextDeadline());
  EXPECT_LE(*scheduler.NextDeadline(), time_point(milliseconds(2001)));
  EXPECT_THAT(scheduler.Handle(tick{}, *scheduler.NextDeadline()),
              ElementsAre(action(scheduler::refuse{
                  late.attempt, error_kind::kDeadlineExceeded, false})));
}

// Guards against preempting an attempt that cannot be resumed, and against
// reporting `not_run` for one that was preempted after it started.
TEST_F(request_scheduler_test, Enqueue_Urgent_PreemptsOnlyResumable) {
  scheduler scheduler({.slots = 2});
  auto fixed = Attempt(1, request_rank::kBackground);
  fixed.resumable = false;
  const auto stream = Attempt(2, request_rank::kBackground);
  const auto urgent = Attempt(3, request_rank::kUrgent);
  scheduler.Handle(fixed, {});
  scheduler.Handle(stream, {});
  EXPECT_THAT(scheduler.Handle(urgent, {}),
              ElementsAre(action(scheduler::preempt{stream.attempt})));
  EXPECT_THAT(
      scheduler.Handle(scheduler::preemption_completed{stream.attempt, 0},
                       time_point(milliseconds(1))),
      ElementsAre(action(scheduler::start{urgent.attempt})));
  EXPECT_THAT(scheduler.Handle(tick{}, time_point(seconds(200))),
              ElementsAre(action(scheduler::refuse{
                  stream.attempt, error_kind::kDeadlineExceeded, true})));
}

// Guards against a suspect whose crash interrupts other requests.
TEST_F(request_scheduler_test, Enqueue_Suspect_RunsAlone) {
  scheduler scheduler({.slots = 4});
  const auto first = Attempt(1, request_rank::kStandard);
  auto suspect = Attempt(2, request_rank::kStandard);
  suspect.suspect = true;
  const auto last = Attempt(3, request_rank::kStandard);
  scheduler.Handle(first, {});
  EXPECT_THAT(scheduler.Handle(suspect, {}), IsEmpty());
  EXPECT_THAT(scheduler.Handle(last, {}), IsEmpty());
  EXPECT_THAT(scheduler.Handle(scheduler::finished{first.attempt, 100},
                               time_point(seconds(1))),
              ElementsAre(action(scheduler::start{suspect.attempt})));
  EXPECT_THAT(scheduler.Handle(scheduler::cancelled{suspect.attempt},
                               time_point(seconds(2))),
              ElementsAre(action(scheduler::start{last.attempt})));
}

// Guards against a full queue that refuses a small workspace because of a large
// one, or urgent requests because of background requests.
TEST_F(request_scheduler_test, Enqueue_QueueFull_DropsLowestRankThenLargest) {
  scheduler scheduler({.slots = 1, .queue_bound = 3});
  scheduler.Handle(Attempt(1, request_rank::kStandard), {});
  const auto background = Attempt(2, request_rank::kBackground);
  const auto large = Attempt(4, request_rank::kStandard, "large");
  scheduler.Handle(background, {});
  scheduler.Handle(Attempt(3, request_rank::kStandard, "large"), {});
  scheduler.Handle(large, {});
  EXPECT_THAT(
      scheduler.Handle(Attempt(5, request_rank::kStandard, "small"), {}),
      ElementsAre(action(scheduler::refuse{background.attempt,
                                           error_kind::kOverloaded, false})));
  EXPECT_THAT(
      scheduler.Handle(Attempt(6, request_rank::kStandard, "other"), {}),
      ElementsAre(action(
          scheduler::refuse{large.attempt, error_kind::kOverloaded, false})));
  EXPECT_EQ(scheduler.queued(), 3U);
}

}  // namespace
}  // namespace fireflyslip
