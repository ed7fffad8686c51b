#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "fireflyslip/placement.h"

namespace fireflyslip {
namespace {

class dispatcher_test : public testing::Test {
 protected:
  dispatcher_test() { core_.Handle(dispatcher::platform_responded{}, now_); }

  static placement_policy Policy() {
    placement_policy policy;
    policy.data_centre = data_centre_id("akl");
    return policy;
  }

  void Add(const std::string& id,
           const std::string& data_centre = "akl",
           std::uint64_t version = 1) {
    upstream_entry entry;
    entry.id = upstream_id(id);
    entry.service = service_name("engine");
    entry.address = id + ":1";
    entry.data_centre = data_centre_id(data_centre);
    entry.slots = 16;
    entry.model_versions[model_] = version;
    upstreams_[entry.id] = entry;
    Publish();
  }

  void Publish() {
    Handle(dispatcher::upstreams_changed{
        std::make_shared<const upstream_map>(upstreams_)});
  }

  void Report(const std::string& id,
              std::uint32_t active,
              std::uint32_t queued = 0,
              bool loading = false,
              duration round_trip_time = {},
              std::uint32_t gateways = 1) {
    upstream_load load;
    load.active = active;
    load.queued = queued;
    load.loading = loading;
    load.round_trip_time = round_trip_time;
    load.gateways = gateways;
    load.model_versions = upstreams_.at(upstream_id(id)).model_versions;
    Handle(dispatcher::load_reported{upstream_id(id), load});
  }

  dispatcher::submit Work(dispatch_id id, int urgency = 0) {
    dispatcher::submit work;
    work.id = id;
    work.service = service_name("engine");
    work.model = model_;
    work.workspace = workspace_id("w");
    work.priority = urgency;
    work.urgency = urgency;
    work.response_due = now_ + milliseconds(400);
    work.client_deadline = now_ + seconds(6);
    return work;
  }

  void Handle(const dispatcher::event& event) {
    for (const auto& action : core_.Handle(event, now_)) {
      if (const auto* start = std::get_if<dispatcher::start>(&action)) {
        started_[start->id] = start->upstream.id.value();
      } else if (const auto* refusal =
                     std::get_if<dispatcher::refuse>(&action)) {
        refused_[refusal->id] = *refusal;
      }
    }
  }

  const model_name model_{"m"};
  time_point now_ = time_point(seconds(100));
  upstream_map upstreams_;
  dispatcher core_{Policy(), version_targets(seconds(8)), random_source(1)};
  std::map<dispatch_id, std::string> started_;
  std::map<dispatch_id, dispatcher::refuse> refused_;
};

// Guards against traffic between data centres while the local one has capacity.
TEST_F(dispatcher_test, Submit_EqualLoad_LocalDataCentre) {
  Add("far", "wlg");
  Add("near");
  Report("far", 2);
  Report("near", 2);
  Handle(Work(1));
  EXPECT_EQ(started_[1], "near");
}

// Guards against holding a request that each of its upstreams has refused until
// its wait is over.
TEST_F(dispatcher_test, Resubmit_AllUpstreamsRefused_RefusedAtOnce) {
  Add("a");
  Add("b");
  dispatcher::submit work = Work(1);
  work.resubmitted = true;
  work.refused = true;
  work.excluded = {upstream_id("a")};
  Handle(work);
  EXPECT_EQ(started_[1], "b");
  Handle(dispatcher::attempt_completed{1, attempt_status::kRefused});
  work.excluded.insert(upstream_id("b"));
  Handle(work);
  ASSERT_TRUE(refused_.contains(1));
  EXPECT_EQ(refused_[1].kind, error_kind::kNoUpstream);
}

// Guards against giving up a request that was interrupted or not sent while
// another upstream may still appear.
TEST_F(dispatcher_test, Resubmit_AllUpstreamsLost_Waits) {
  Add("a");
  dispatcher::submit work = Work(1);
  work.resubmitted = true;
  work.excluded = {upstream_id("a")};
  Handle(work);
  EXPECT_FALSE(refused_.contains(1));
  Add("b");
  EXPECT_EQ(started_[1], "b");
}

// Guards against queueing at a full local replica while a remote one has free
// slots.
TEST_F(dispatcher_test, Submit_LocalFull_RemoteDataCentre) {
  Add("far", "wlg");
  Add("near");
  Report("far", 2);
  Report("near", 16, 2);
  Handle(Work(1));
  EXPECT_EQ(started_[1], "far");
}

// Guards against an urgent request that waits for a slot because a burst of
// background requests has taken all of them.
TEST_F(dispatcher_test, Submit_BackgroundBurst_SlotsLeftForUrgent) {
  Add("a");
  Report("a", 0);
  now_ += milliseconds(20);
  for (dispatch_id id = 1; id <= 30; ++id) {
    Handle(Work(id, 2));
  }
  EXPECT_EQ(started_.size(), 13U);
  Handle(Work(100, 0));
  EXPECT_TRUE(started_.contains(100));
}

// Guards against several gateways that each use all free slots of one report.
TEST_F(dispatcher_test, Report_FourGateways_QuarterOfFreeSlots) {
  Add("a");
  Report("a", 0, 0, false, {}, 4);
  now_ += milliseconds(20);
  for (dispatch_id id = 1; id <= 30; ++id) {
    Handle(Work(id, 2));
  }
  EXPECT_LE(started_.size(), 4U);  // of 13 slots for background requests
  EXPECT_GE(started_.size(), 3U);
}

// Guards against a prompt that waits for the prefill of others that the same
// gateway has just sent, while another replica has none in prefill.
TEST_F(dispatcher_test, Submit_PromptsInPrefill_OtherChosen) {
  Add("a");
  Add("b");
  Report("a", 2);
  Report("b", 4);
  now_ += milliseconds(20);
  dispatcher::submit large = Work(1);
  large.prefill_time = milliseconds(150);
  Handle(large);
  ASSERT_EQ(started_[1], "a");
  Handle(Work(2));
  EXPECT_EQ(started_[2], "b");
  Handle(dispatcher::response_begun{1});
  Handle(Work(3));
  EXPECT_EQ(started_[3], "a");
}

// Guards against a background request that starts before an urgent one that
// arrived later.
TEST_F(dispatcher_test, AttemptCompleted_UrgentAndBackgroundWait_UrgentFirst) {
  Add("a");
  Report("a", 20);
  now_ += milliseconds(20);
  Handle(Work(1, 2));
  Handle(Work(2, 0));
  EXPECT_TRUE(started_.empty());
  Report("a", 19);
  EXPECT_TRUE(started_.contains(2));
  EXPECT_FALSE(started_.contains(1));
}

// Guards against a workspace whose request waits behind a flood of requests of
// another workspace.
TEST_F(dispatcher_test, Submit_FloodOfOneWorkspace_OtherIsSecond) {
  Add("a");
  Report("a", 20);
  now_ += milliseconds(20);
  for (dispatch_id id = 1; id <= 10; ++id) {
    Handle(Work(id));
  }
  dispatcher::submit small = Work(50);
  small.workspace = workspace_id("small");
  Handle(small);
  Report("a", 18);
  EXPECT_EQ(started_.size(), 2U);
  EXPECT_TRUE(started_.contains(50));
}

// Guards against a request that is queued until its client disconnects.
TEST_F(dispatcher_test, Tick_NoCapacityInTime_RefusedWithDelay) {
  Add("a");
  Report("a", 30);
  Handle(Work(1, 2));
  // 0.4 of the 250 ms that remain after the expected response latency.
  EXPECT_EQ(core_.NextDeadline(), now_ + milliseconds(100));
  now_ += milliseconds(100);
  Handle(tick{});
  ASSERT_TRUE(refused_.contains(1));
  EXPECT_EQ(refused_[1].kind, error_kind::kOverloaded);
  EXPECT_GT(refused_[1].retry_after, milliseconds(100));
}

// Guards against background requests that wait for the slots of urgent ones and
// are refused only when they are late.
TEST_F(dispatcher_test, Submit_QueueTooLong_RefusedAtOnce) {
  Add("a");
  for (int i = 0; i < 10; ++i) {  // one free slot in each report
    Report("a", 12);
    now_ += milliseconds(50);
    Handle(Work(100 + i, 2));
    now_ += milliseconds(50);
  }
  ASSERT_EQ(started_.size(), 10U);
  Handle(Work(1, 2));
  EXPECT_FALSE(refused_.contains(1));
  Handle(Work(2, 2));
  ASSERT_TRUE(refused_.contains(2));
  EXPECT_LT(refused_[2].retry_after, milliseconds(400));
}

// Guards against starting a request that is already late before one that can
// still meet its deadline.
TEST_F(dispatcher_test, Report_OneLate_InTimeFirst) {
  Add("a");
  Report("a", 20);
  dispatcher::submit late = Work(1);
  late.response_due = now_ - milliseconds(1);
  Handle(late);
  Handle(Work(2));
  Report("a", 19);
  EXPECT_TRUE(started_.contains(2));
  EXPECT_FALSE(started_.contains(1));
}

// Guards against refusing an interrupted stream as soon as it is late.
TEST_F(dispatcher_test, Tick_Resubmitted_StaysQueuedWhenLate) {
  Add("a");
  Report("a", 20);
  dispatcher::submit work = Work(1);
  work.resubmitted = true;
  Handle(work);
  now_ += milliseconds(100);
  Handle(tick{});
  EXPECT_FALSE(refused_.contains(1));
  Report("a", 18);
  EXPECT_TRUE(started_.contains(1));
}

// Guards against requests that reach a replica just before it loads weights and
// wait there until the load ends.
TEST_F(dispatcher_test, Submit_ReplicaLoading_NotChosen) {
  Add("a");
  Add("b");
  Report("a", 0, 0, true);
  Report("b", 15);
  Handle(Work(1));
  EXPECT_EQ(started_[1], "b");
}

// Guards against requests that are delayed on a congested link until their
// clients have disconnected (randomized fleet runs
// with the seeds 943484583698 and 287496080576).
TEST_F(dispatcher_test, Submit_RoundTripTimeLong_NotChosen) {
  Add("a");
  Report("a", 0, 0, false, milliseconds(900));
  Handle(Work(1));
  EXPECT_TRUE(started_.empty());
  Add("b", "wlg");
  Report("b", 10);
  EXPECT_EQ(started_[1], "b");
}

// Guards against requests that reach a replica after their response was due,
// and run for clients that disconnect meanwhile.
TEST_F(dispatcher_test, Submit_RoundTripTimeNearTarget_NotChosen) {
  Add("a");
  Report("a", 0, 0, false, milliseconds(400));
  Handle(Work(1));
  EXPECT_TRUE(started_.empty());
}

// Guards against requests that start on superseded weights.
TEST_F(dispatcher_test, Submit_VersionSuperseded_OnlyNewOne) {
  Add("old");
  Add("new", "wlg", 2);
  Handle(dispatcher::version_published{model_, 2, now_});
  for (int i = 0; i < 3; ++i) {
    now_ += seconds(3);
    Handle(dispatcher::platform_responded{});
  }
  Handle(Work(1));
  EXPECT_EQ(started_[1], "new");
}

// Guards against a gateway that takes its own pause for an outage of the
// platform, and then lets requests start on superseded weights.
TEST_F(dispatcher_test, Submit_ResumedFromPause_SupersededVersionNotChosen) {
  Add("old");
  Handle(dispatcher::version_published{model_, 2, now_});
  for (int i = 0; i < 10; ++i) {
    now_ += milliseconds(450);
    Handle(dispatcher::platform_responded{});
  }
  now_ += seconds(4);  // the process does not run
  Handle(Work(1));
  EXPECT_TRUE(started_.empty());
  Handle(dispatcher::platform_responded{});
  EXPECT_TRUE(started_.empty());
}

// Guards against refusing all requests during an outage of the platform, when
// replicas cannot get new weights.
TEST_F(dispatcher_test, Submit_PlatformSilentWhileRunning_OldVersionChosen) {
  Add("old");
  Handle(dispatcher::version_published{model_, 2, now_});
  for (int i = 0; i < 20; ++i) {
    now_ += milliseconds(450);
    Handle(tick{});
  }
  Handle(Work(1));
  EXPECT_EQ(started_[1], "old");
}

// Guards against a gateway that was paused while weights were published, and
// then starts requests on superseded weights for the whole rollout time.
TEST_F(dispatcher_test, Submit_VersionLearnedLate_OnlyNewOne) {
  Add("old");
  Handle(dispatcher::version_published{model_, 2, now_ - seconds(4)});
  for (int i = 0; i < 10; ++i) {
    now_ += milliseconds(450);
    Handle(dispatcher::platform_responded{});
  }
  Handle(Work(1));
  EXPECT_TRUE(started_.empty());
}

// Guards against resuming a stream on another version of the weights.
TEST_F(dispatcher_test, Submit_VersionRequired_OnlyThatOne) {
  Add("a");
  Add("b", "wlg", 2);
  dispatcher::submit work = Work(1);
  work.version = 2;
  Handle(work);
  EXPECT_EQ(started_[1], "b");
}

// Guards against requests to a replica without weights.
TEST_F(dispatcher_test, Submit_EmptyReplica_NotChosen) {
  Add("a", "akl", 0);
  Handle(Work(1));
  EXPECT_TRUE(started_.empty());
}

// Guards against new requests to a draining upstream.
TEST_F(dispatcher_test, Submit_Draining_NotChosen) {
  Add("a");
  upstreams_[upstream_id("a")].draining = true;
  Publish();
  Handle(Work(1));
  EXPECT_TRUE(started_.empty());
}

// Guards against queueing a request until it expires although every upstream
// takes none before, and against a client that returns too early.
TEST_F(dispatcher_test, Submit_AllLimitsUsed_RefusedAtOnceUntilNextSlot) {
  Add("a");
  Report("a", 0);
  upstream_advice advice;
  advice.rate_limit = 0.5;
  Handle(dispatcher::upstream_advised{upstreams_[upstream_id("a")], advice});
  dispatch_id id = 1;
  for (; started_.empty() && id < 100; ++id) {
    Handle(Work(id));
    now_ += milliseconds(50);
    Report("a", 0);
  }
  ASSERT_FALSE(started_.empty());
  Handle(Work(id));
  ASSERT_TRUE(refused_.contains(id));
  EXPECT_GT(refused_[id].retry_after, seconds(1));
}

// Guards against requests that stay queued when a limit ends, or when a slot of
// a limited upstream begins.
TEST_F(dispatcher_test, NextDeadline_SlotOfLimitedUpstream_Started) {
  Add("a");
  Report("a", 0);
  upstream_advice advice;
  advice.rate_limit = 5;
  Handle(dispatcher::upstream_advised{upstreams_[upstream_id("a")], advice});
  for (dispatch_id id = 1; id <= 3; ++id) {
    dispatcher::submit work = Work(id);
    work.resubmitted = true;
    Handle(work);
  }
  for (int i = 0; i < 3 && started_.size() < 2; ++i) {
    ASSERT_TRUE(core_.NextDeadline());
    now_ = std::max(now_, *core_.NextDeadline());
    Handle(tick{});
  }
  EXPECT_EQ(started_.size(), 2U);
  Handle(dispatcher::upstream_advised{upstreams_[upstream_id("a")], {}});
  EXPECT_EQ(started_.size(), 3U);
}

// Guards against a limit that is forgotten while the upstream is missing in the
// list.
TEST_F(dispatcher_test, UpstreamsChanged_LimitedUpstreamBack_StillLimited) {
  Add("a");
  upstream_advice advice;
  advice.rate_limit = 0.5;
  Handle(dispatcher::upstream_advised{upstreams_[upstream_id("a")], advice});
  const upstream_map all = std::exchange(upstreams_, {});
  Publish();
  upstreams_ = all;
  Publish();
  for (dispatch_id id = 1; id <= 20; ++id) {
    Handle(Work(id));
  }
  EXPECT_LE(started_.size(), 1U);
}

// Guards against new requests to an upstream that is leaving, also when it was
// missing in the list meanwhile, or when a response that it sent before arrives
// late.
TEST_F(dispatcher_test, UpstreamAdvised_Leaving_NotChosenUntilRestarted) {
  Add("a");
  upstream_advice leaving;
  leaving.leaving = true;
  const upstream_entry entry = upstreams_[upstream_id("a")];
  Handle(dispatcher::upstream_advised{entry, leaving});
  Handle(dispatcher::upstream_advised{entry, {}});
  const upstream_map all = std::exchange(upstreams_, {});
  Publish();
  upstreams_ = all;
  Publish();
  Handle(Work(1));
  EXPECT_TRUE(started_.empty());
  upstreams_[upstream_id("a")].started_ms = 7;
  Publish();
  EXPECT_TRUE(started_.contains(1));
}

// Guards against requests to an upstream that wants none for some time, and
// against refusing those that can wait for the end of that time.
TEST_F(dispatcher_test, UpstreamAdvised_Pause_StartedAtItsEnd) {
  Add("a");
  const upstream_entry entry = upstreams_[upstream_id("a")];
  upstream_advice pause;
  pause.retry_after = seconds(2);
  Handle(dispatcher::upstream_advised{entry, pause});
  pause.retry_after = seconds(1);  // sent before the longer one
  Handle(dispatcher::upstream_advised{entry, pause});
  Handle(dispatcher::upstream_advised{entry, {}});
  Handle(Work(1));
  ASSERT_TRUE(refused_.contains(1));
  EXPECT_GE(refused_[1].retry_after, seconds(2));
  now_ += milliseconds(1950);
  Handle(Work(2));
  EXPECT_FALSE(refused_.contains(2));
  ASSERT_EQ(core_.NextDeadline(), now_ + milliseconds(50));
  now_ += milliseconds(50);
  Handle(tick{});
  EXPECT_EQ(started_[2], "a");
}

// Guards against an unreachable upstream that is selected again and again.
TEST_F(dispatcher_test, AttemptCompleted_UnreachableTwice_OtherChosen) {
  Add("a");
  Add("b", "wlg");
  for (dispatch_id id = 1; id <= 2; ++id) {
    Handle(Work(id));
    ASSERT_EQ(started_[id], "a");
    Handle(dispatcher::attempt_completed{id, attempt_status::kUnreachable});
  }
  Handle(Work(3));
  EXPECT_EQ(started_[3], "b");
}

// Guards against a retry at an upstream that has already failed the request.
TEST_F(dispatcher_test, Submit_Excluded_OtherChosen) {
  Add("a");
  Add("b", "wlg");
  dispatcher::submit work = Work(1);
  work.excluded = {upstream_id("a")};
  Handle(work);
  EXPECT_EQ(started_[1], "b");
}

// Guards against health state that survives a restart with the same id.
TEST_F(dispatcher_test, UpstreamsChanged_NewIncarnation_ForgetsEjection) {
  Add("a");
  for (dispatch_id id = 1; id <= 2; ++id) {
    Handle(Work(id));
    Handle(dispatcher::attempt_completed{id, attempt_status::kUnreachable});
  }
  Add("b", "wlg");
  upstreams_[upstream_id("a")].started_ms = 7;
  Publish();
  Handle(Work(3));
  EXPECT_EQ(started_[3], "a");
}

// Guards against a request that is sent outside of its regions, on its first
// try or when it is repeated.
TEST_F(dispatcher_test, Submit_Restricted_OnlyInItsRegions) {
  Add("near");
  Add("far", "wlg");
  Add("home", "chc");
  Report("near", 0);
  Report("far", 0);
  Report("home", 15);
  dispatcher::submit work = Work(1);
  work.regions = region_restriction({region_id("chc")});
  Handle(work);
  EXPECT_EQ(started_[1], "home");
  Handle(dispatcher::attempt_completed{1, attempt_status::kFailed});
  started_.clear();
  work.resubmitted = true;
  work.excluded = {upstream_id("home")};
  Handle(work);
  EXPECT_TRUE(started_.empty());
  EXPECT_EQ(refused_.at(1).kind, error_kind::kNoUpstream);
}

// Guards against holding a request whose regions have no replica, for example
// because no data centre is in them, until its wait is over.
TEST_F(dispatcher_test, Submit_NothingInItsRegions_RefusedAtOnceWithDelay) {
  Add("near");
  dispatcher::submit work = Work(1);
  work.regions = region_restriction({region_id("unknown")});
  Handle(work);
  work.id = 2;
  work.regions = region_restriction(std::set<region_id>());
  Handle(work);
  for (const dispatch_id id : {1, 2}) {
    ASSERT_TRUE(refused_.contains(id));
    EXPECT_EQ(refused_[id].kind, error_kind::kNoUpstream);
    EXPECT_GT(refused_[id].retry_after, duration(0));
  }
}

// Guards against a request that waits for a replica of its region and delays
// all behind it, which other replicas could serve.
TEST_F(dispatcher_test, Queue_RestrictedFirst_OthersNotDelayed) {
  Add("near");
  Add("home", "chc");
  Report("near", 0);
  Report("home", 16, 8);
  dispatcher::submit restricted = Work(1);
  restricted.regions = region_restriction({region_id("chc")});
  Handle(restricted);
  Handle(Work(2));
  EXPECT_FALSE(started_.contains(1));
  EXPECT_EQ(started_[2], "near");
  Report("home", 2);
  EXPECT_EQ(started_[1], "home");
}

// Guards against a burst at the replicas of a data centre that is taken back:
// they may be cold without a statement.
TEST_F(dispatcher_test, EvacuationEnded_WithoutPermit_Waits) {
  Handle(dispatcher::services_changed{
      {{service_name("engine"), {cold_limit{seconds(3), 17}}}}});
  Handle(dispatcher::evacuation_ended{data_centre_id("akl")});
  Add("a");
  upstreams_.begin()->second.has_engine = true;
  Publish();
  Report("a", 0);
  Handle(Work(1));
  EXPECT_FALSE(started_.contains(1));
  now_ += milliseconds(50);
  upstream_load load;
  load.gateways = 20;
  load.cold_permits = 1;
  load.model_versions[model_] = 1;
  Handle(dispatcher::load_reported{upstream_id("a"), load});
  EXPECT_FALSE(refused_.contains(1));
  EXPECT_EQ(core_.waiting(), 0U);
  Handle(Work(2));
  EXPECT_TRUE(started_.contains(1));
  EXPECT_FALSE(started_.contains(2));
  now_ += seconds(3);
  Report("a", 0);
  Handle(Work(3));
  EXPECT_TRUE(started_.contains(3));
}

// Guards against requests beyond the rate of a replica that becomes cold again
// and says so only in a response.
TEST_F(dispatcher_test, Response_StatesCold_OnlyWithPermit) {
  Handle(dispatcher::services_changed{
      {{service_name("engine"), {cold_limit{seconds(3), 17}}}}});
  Add("a");
  upstreams_.begin()->second.has_engine = true;
  Publish();
  Report("a", 0);
  Handle(Work(1));
  EXPECT_TRUE(started_.contains(1));
  upstream_advice advice;
  advice.cold_for = seconds(2);
  Handle(dispatcher::upstream_advised{upstreams_.begin()->second, advice});
  Handle(Work(2));
  EXPECT_FALSE(started_.contains(2));
}

/// \brief Gateway that learns how fast its upstreams respond.
class pace_test : public dispatcher_test {
 protected:
  pace_test() {
    Handle(dispatcher::services_changed{
        {{service_name("engine"), {std::nullopt, false, true}}}});
    Add("slow");
    Add("fast");
    Publish();
  }

  /// Sends a request while the other upstream has no free place.
  void Send(const std::string& to) {
    Report("slow", to == "slow" ? 0 : 40);
    Report("fast", to == "fast" ? 0 : 40);
    Handle(Work(next_));
    EXPECT_EQ(started_[next_], to);
    ++next_;
  }

  void Respond(const std::string& from, duration time) {
    Send(from);
    now_ += time;
    Handle(dispatcher::response_begun{next_ - 1});
    Handle(
        dispatcher::attempt_completed{next_ - 1, attempt_status::kSucceeded});
  }

  /// Requests out of `count` that go to the slow upstream at equal load.
  int CountSlow(int count) {
    int slow = 0;
    for (int i = 0; i < count; ++i) {
      Report("slow", 2);
      Report("fast", 2);
      Handle(Work(next_));
      slow += started_[next_] == "slow" ? 1 : 0;
      Handle(dispatcher::attempt_completed{next_, attempt_status::kAbandoned});
      ++next_;
    }
    return slow;
  }

  dispatch_id next_ = 1;
};

// Guards against requests to an upstream that responds slowly to this gateway,
// whatever its load, and against never trying it again.
TEST_F(pace_test, Responses_Slow_AvoidedThenTriedAgain) {
  for (int i = 0; i < 3; ++i) {
    Respond("fast", milliseconds(100));
    Respond("slow", milliseconds(400));
  }
  EXPECT_EQ(CountSlow(20), 0);
  now_ += seconds(20);
  EXPECT_GT(CountSlow(20), 0);
}

// Guards against sending more requests to an upstream that has stopped to
// respond, until the first of them ends.
TEST_F(pace_test, Response_Awaited_Avoided) {
  Respond("fast", milliseconds(100));
  Respond("slow", milliseconds(100));
  Send("slow");
  now_ += milliseconds(500);
  EXPECT_EQ(CountSlow(20), 0);
}

// Guards against preferring one upstream when all have become equally slow.
TEST_F(pace_test, Responses_AllSlow_NoneAvoided) {
  for (int i = 0; i < 40; ++i) {
    Respond("fast", milliseconds(400));
    Respond("slow", milliseconds(400));
  }
  const int slow = CountSlow(40);
  EXPECT_GT(slow, 5);
  EXPECT_LT(slow, 35);
}

}  // namespace
}  // namespace fireflyslip
