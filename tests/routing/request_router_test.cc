#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "fireflyslip/routing.h"
#include "routing/virtual_fleet.h"

namespace fireflyslip {
namespace {

class request_router_test : public testing::Test {
 protected:
  using router = request_router<two_choices_policy>;

  void Add(const std::string& upstream,
           const std::string& data_centre = "akl",
           const std::string& region = "north",
           bool eligible = true) {
    router_.Handle(
        router::upstream_changed{upstream_id(upstream), region_id(region),
                                 data_centre_id(data_centre), "cue",
                                 model_version("v1"), eligible},
        now_);
  }

  void Report(const std::string& upstream,
              std::uint64_t queued_tokens,
              duration age = duration(0)) {
    router_.Handle(router::load_reported{upstream_id(upstream), 0,
                                         queued_tokens, 1000, age},
                   now_);
  }

  // Returns the name of the selected upstream, empty if there is none.
  std::string Route(router::request_arrived request = {}) {
    request.request = {vm_id("e"), 1, ++sequence_};
    request.target = "cue";
    const auto actions = router_.Handle(request, now_);
    const auto* route = std::get_if<router::route>(&actions.at(0));
    return route == nullptr ? "" : route->upstream.value();
  }

  time_point now_ = time_point(seconds(100));
  std::uint64_t sequence_ = 0;
  router router_{{region_id("north"), data_centre_id("akl"), milliseconds(100),
                  1000, seconds(1)},
                 random_source(1)};
};

// Guards against routing to leaving or excluded upstreams.
TEST_F(request_router_test, Request_LeavingOrExcluded_GetsNoWork) {
  Add("a");
  Add("b");
  Add("b", "akl", "north", false);
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(Route(), "a");
  }
  EXPECT_EQ(Route({.excluded = {upstream_id("a")}}), "");
}

// Guards against herding to an upstream whose last report does not include the
// requests that this entry has sent since.
TEST_F(request_router_test, Request_StaleReport_CountsOwnWorkSinceReport) {
  Add("a");
  Add("b");
  now_ += seconds(20);
  Report("a", 0);
  Report("b", 500);
  std::map<std::string, int> routed;
  for (int i = 0; i < 15; ++i) {
    now_ += milliseconds(10);
    ++routed[Route({.estimated_tokens = 100})];
    Report("a", 0, now_ - time_point(seconds(120)));
  }
  EXPECT_EQ(routed["a"], 10);
  EXPECT_EQ(routed["b"], 5);
}

// Guards against cold prefix caches: requests with equal prefixes go to one
// upstream until its load exceeds the bound.
TEST_F(request_router_test, Request_Prefix_StaysUntilLoadIsAboveBound) {
  for (const char* name : {"a", "b", "c", "d"}) {
    Add(name);
    Report(name, 1000);
  }
  const std::string home = Route({.prefix_hash = 7});
  EXPECT_EQ(Route({.prefix_hash = 7}), home);
  Report(home, 3000);
  EXPECT_NE(Route({.prefix_hash = 7}), home);
}

// Guards against spillover for small gains, and against exceeding the bandwidth
// for requests on the link between regions.
TEST_F(request_router_test, Request_LocalBusy_SpillsWithinLinkRate) {
  Add("local");
  Add("far", "wlg", "south");
  now_ += seconds(20);
  Report("local", 50);
  EXPECT_EQ(Route({.bytes = 400}), "local");
  Report("local", 100'000);
  int spilled = 0;
  for (int i = 0; i < 100; ++i) {
    now_ += milliseconds(100);
    spilled += Route({.bytes = 400}) == "far" ? 1 : 0;
  }
  EXPECT_GT(spilled, 20);
  EXPECT_LE(spilled * 400, 1000 * (10 + 1));
}

// Guards against sending the full load to an upstream that has just recovered.
TEST_F(request_router_test, Request_RecoveredUpstream_LoadGrowsGradually) {
  Add("a");
  Add("b");
  now_ += seconds(20);
  Report("a", 1000);
  Report("b", 1000);
  Add("b", "akl", "north", false);
  Add("b");
  int recovered = 0;
  for (int i = 0; i < 20; ++i) {
    recovered += Route({.estimated_tokens = 100}) == "b" ? 1 : 0;
  }
  EXPECT_EQ(recovered, 0);
  now_ += seconds(10);
  for (int i = 0; i < 20; ++i) {
    recovered += Route({.estimated_tokens = 100}) == "b" ? 1 : 0;
  }
  EXPECT_GE(recovered, 10);
}

// Guards against a policy that performs worse than policies without load
// reports.
TEST_F(request_router_test, Fleet_OldReports_TwoChoicesHasShortestQueues) {
  for (const int age : {100, 500, 2000}) {
    const auto two_choices = testing_support::SimulateFleet<two_choices_policy>(
        milliseconds(age), 3);
    const auto round_robin = testing_support::SimulateFleet<round_robin_policy>(
        milliseconds(age), 3);
    const auto random =
        testing_support::SimulateFleet<random_policy>(milliseconds(age), 3);
    EXPECT_LT(two_choices.p95_wait,
              std::min(round_robin.p95_wait, random.p95_wait))
        << age;
    EXPECT_LT(two_choices.longest_queue,
              std::min(round_robin.longest_queue, random.longest_queue))
        << age;
  }
}

class neighbour_selection_test : public testing::Test {
 protected:
  static std::vector<vm_id> Names(const std::string& prefix, int count) {
    std::vector<vm_id> names;
    names.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
      names.emplace_back(prefix + std::to_string(i));
    }
    return names;
  }
};

// Guards against agents with too few or too many links.
TEST_F(neighbour_selection_test, Select_ManyAgents_SpreadsEvenly) {
  const auto entries = Names("e", 30);
  const auto agents = Names("a", 80);
  std::map<vm_id, int> links;
  for (const vm_id& entry : entries) {
    const auto subset = SelectNeighbours(entry, entries, agents, 16);
    EXPECT_EQ(subset.size(), 16U);
    for (const vm_id& agent : subset) {
      ++links[agent];
    }
  }
  EXPECT_EQ(links.size(), agents.size());
  for (const auto& [agent, count] : links) {
    EXPECT_GE(count, 5) << agent.value();
    EXPECT_LE(count, 7) << agent.value();
  }
}

// Guards against moving most links when one agent leaves.
TEST_F(neighbour_selection_test, Select_AgentLeaves_KeepsMostLinks) {
  const auto entries = Names("e", 30);
  const auto agents = Names("a", 80);
  const std::vector<vm_id> fewer(agents.begin() + 1, agents.end());
  int kept = 0;
  for (const vm_id& entry : entries) {
    const auto before = SelectNeighbours(entry, entries, agents, 16);
    for (const vm_id& agent : SelectNeighbours(entry, entries, fewer, 16)) {
      kept += std::find(before.begin(), before.end(), agent) != before.end();
    }
  }
  EXPECT_GE(kept, 30 * 16 * 3 / 4);
}

}  // namespace
}  // namespace fireflyslip
