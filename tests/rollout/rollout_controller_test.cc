#include "fireflyslip/rollout/rollout_controller.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fireflyslip/core/random_source.h"

namespace fireflyslip {
namespace {

static_assert(decision_core<rollout_controller>);

// Simulates the agents of one data centre, with engines that take at least 5 s
// to load. The serving share is checked at each drain from the state of the
// simulation, independently of what the controllers believe.
class rollout_controller_test : public testing::Test {
 protected:
  struct vm_state {
    std::unique_ptr<rollout_controller> core;
    model_version version{"v1"};
    bool serving = true;
    bool alive = true;
    time_point tick_at = time_point::max();
    int loads = 0;
  };

  void Start(int count) {
    vms_.clear();
    queue_.clear();
    failing_versions_.clear();
    for (int i = 0; i < count; ++i) {
      const vm_id id("vm" + std::to_string(i));
      replicas_.resize(i);
      replicas_.push_back(id);
      vms_[id].core =
          std::make_unique<rollout_controller>(rollout_settings{.self = id});
      Post(id, engine_serving{model_version("v1")}, duration(0));
    }
    SendMembers();
  }

  void SendMembers() {
    rollout_members_changed event;
    for (const auto& [id, vm] : vms_) {
      if (vm.alive) {
        event.live.push_back(id);
      }
    }
    for (const auto& [id, vm] : vms_) {
      Post(id, event, duration(0));
    }
  }

  void Declare(const std::string& version) {
    declared_ = model_version(version);
    ++revision_;
    for (const auto& [id, vm] : vms_) {
      Post(id,
           rollout_declared{revision_, model_name("m"), declared_, share_,
                            replicas_},
           duration(random_.Below(500000)));
      Post(id, version_staged{declared_},
           seconds(1) + duration(random_.Below(3000000)));
    }
  }

  void Post(const vm_id& to, rollout_controller::event event, duration after) {
    queue_.emplace(std::pair{now_ + after, sequence_++},
                   std::pair{to, std::move(event)});
  }

  void Run(duration limit) {
    const time_point end = now_ + limit;
    while (!queue_.empty() && queue_.begin()->first.first <= end) {
      auto node = queue_.extract(queue_.begin());
      now_ = node.key().first;
      Feed(node.mapped().first, node.mapped().second);
    }
    now_ = end;
  }

  void Feed(const vm_id& id, const rollout_controller::event& event) {
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
    if (const auto* e = std::get_if<engine_serving>(&event)) {
      vm.serving = true;
      vm.version = e->version;
    } else if (std::holds_alternative<engine_crashed>(event)) {
      vm.serving = false;
    }
    for (const auto& action : vm.core->Handle(event, now_)) {
      std::visit([&](const auto& a) { Apply(id, vm, a); }, action);
    }
    if (const auto deadline = vm.core->NextDeadline()) {
      const time_point at = std::max(*deadline, now_ + duration(1));
      if (at < vm.tick_at) {
        vm.tick_at = at;
        Post(id, tick{}, at - now_);
      }
    }
  }

  void Apply(const vm_id& /*id*/, vm_state& vm, const start_drain& /*a*/) {
    if (vm.serving) {
      vm.serving = false;
      std::size_t live = 0;
      std::size_t unavailable = 0;
      for (const auto& [other, state] : vms_) {
        live += state.alive ? 1 : 0;
        unavailable += state.alive && !state.serving ? 1 : 0;
      }
      max_unavailable_ = std::max(max_unavailable_, unavailable);
      EXPECT_LE(unavailable, rollout_controller::MaxUnavailable(
                                 live + undetected_failures_, share_));
    }
  }
  void Apply(const vm_id& id, vm_state& vm, const load_version& a) {
    EXPECT_FALSE(vm.serving) << "load without drain";
    ++vm.loads;
    if (failing_versions_.contains(a.version)) {
      Post(id, engine_load_failed{a.version, "cannot load"}, seconds(3));
      return;
    }
    Post(id, engine_serving{a.version},
         seconds(5) + duration(random_.Below(2000000)));
    if (crashing_versions_.contains(a.version)) {
      Post(id, engine_crashed{a.version}, seconds(9));
    }
  }
  void Apply(const vm_id& /*id*/,
             vm_state& /*vm*/,
             const load_deferred& /*a*/) {}
  void Apply(const vm_id& id, vm_state& /*vm*/, const send_report& a) {
    for (const vm_id& other : replicas_) {
      if (other != id && !partitioned_.contains(id) &&
          !partitioned_.contains(other) && random_.Fraction() >= loss_rate_) {
        Post(other, peer_report_received{a.report},
             milliseconds(1) + duration(random_.Below(100000)));
      }
    }
  }

  int Serving(const std::string& version) const {
    return static_cast<int>(
        std::count_if(vms_.begin(), vms_.end(), [&](const auto& entry) {
          return entry.second.alive && entry.second.serving &&
                 entry.second.version == model_version(version);
        }));
  }
  int Loads() const {
    int loads = 0;
    for (const auto& [id, vm] : vms_) {
      loads += vm.loads;
    }
    return loads;
  }

  random_source random_{11};
  std::map<vm_id, vm_state> vms_;
  std::vector<vm_id> replicas_;
  std::multimap<std::pair<time_point, std::uint64_t>,
                std::pair<vm_id, rollout_controller::event>>
      queue_;
  std::uint64_t sequence_ = 0;
  std::uint64_t revision_ = 0;
  time_point now_;
  model_version declared_;
  double share_ = 0.75;
  double loss_rate_ = 0;
  std::size_t undetected_failures_ = 0;  // Failed, but still listed as live.
  std::size_t max_unavailable_ = 0;
  std::set<model_version> failing_versions_;
  std::set<model_version> crashing_versions_;
  std::set<vm_id> partitioned_;  // Agents without links.
};

// Guards against rounding the serving share in the wrong direction.
TEST_F(rollout_controller_test, MaxUnavailable_Shares_RoundDownAndAtLeastOne) {
  EXPECT_EQ(rollout_controller::MaxUnavailable(4, 0.75), 1U);
  EXPECT_EQ(rollout_controller::MaxUnavailable(16, 0.75), 4U);
  EXPECT_EQ(rollout_controller::MaxUnavailable(10, 0.7), 3U);
  EXPECT_EQ(rollout_controller::MaxUnavailable(3, 0.9), 1U);
  EXPECT_EQ(rollout_controller::MaxUnavailable(1, 1), 1U);
}

// Guards against a rollout that ends early, and against loading one replica at
// a time where the share permits more.
TEST_F(rollout_controller_test, Run_NoFault_AllServeInBatches) {
  Start(16);
  Declare("v2");
  Run(seconds(120));
  EXPECT_EQ(Serving("v2"), 16);
  EXPECT_EQ(max_unavailable_, 4U);
  EXPECT_EQ(Loads(), 16);
}

// Guards against a single replica that waits for other replicas.
TEST_F(rollout_controller_test, Run_SingleReplica_LoadsAtOnce) {
  Start(1);
  Declare("v2");
  Run(seconds(12));
  EXPECT_EQ(Serving("v2"), 1);
}

// Guards against a bad version that takes more than one replica out of service,
// and against a rollback that does not resume the rollout.
TEST_F(rollout_controller_test, Run_VersionFails_StopsAfterOneAndRollsBack) {
  for (const bool crash : {false, true}) {
    SCOPED_TRACE(crash);
    Start(12);
    (crash ? crashing_versions_ : failing_versions_)
        .insert(model_version("v2"));
    Declare("v2");
    Run(seconds(200));
    EXPECT_EQ(Loads(), 1);
    EXPECT_EQ(Serving("v1"), 11);
    Declare("v1");
    Run(seconds(60));
    EXPECT_EQ(Serving("v1"), 12);
    crashing_versions_.clear();
  }
}

// Guards against an agent that restarts after the rollout was stopped and loads
// the version again, because it did not observe the failure.
TEST_F(rollout_controller_test, Run_RestartAfterStop_LearnsOfStop) {
  Start(4);
  failing_versions_.insert(model_version("v2"));
  Declare("v2");
  Run(seconds(60));
  ASSERT_EQ(Loads(), 1);
  for (auto& [id, vm] : vms_) {
    if (vm.loads == 1) {
      vm.alive = false;  // The only replica on which v2 failed.
    }
  }
  SendMembers();
  Run(seconds(60));
  auto& [id, vm] = *std::find_if(vms_.begin(), vms_.end(),
                                 [](const auto& e) { return e.second.alive; });
  vm.core = std::make_unique<rollout_controller>(rollout_settings{.self = id});
  vm.tick_at = time_point::max();
  Post(id, engine_serving{model_version("v1")}, duration(0));
  SendMembers();
  Post(id,
       rollout_declared{revision_, model_name("m"), declared_, share_,
                        replicas_},
       duration(1));
  Post(id, version_staged{declared_}, duration(2));
  Run(seconds(60));
  EXPECT_EQ(Loads(), 1);
}

// Guards against waiting indefinitely for a replica that was removed, or that
// is partitioned while the member list still contains it.
TEST_F(rollout_controller_test,
       Run_EarlierReplicaRemovedOrPartitioned_OthersContinue) {
  for (const bool removed : {true, false}) {
    SCOPED_TRACE(removed);
    Start(4);
    Declare("v2");
    Run(seconds(5));
    for (auto& [id, vm] : vms_) {
      if (!vm.serving) {
        vm.alive = !removed;
        partitioned_ = {id};
      }
    }
    ASSERT_EQ(partitioned_.size(), 1U);
    if (removed) {
      SendMembers();
    }
    Run(seconds(200));
    EXPECT_EQ(Serving("v2"), removed ? 3 : 4);
    partitioned_.clear();
  }
}

// Guards against concurrent batches of two versions that together violate the
// serving share.
TEST_F(rollout_controller_test, Run_SupersededMidFlight_KeepsServingShare) {
  for (int delay = 4; delay < 40; delay += 2) {
    SCOPED_TRACE(delay);
    Start(8);
    Declare("v2");
    Run(seconds(delay));
    Declare("v3");
    Run(seconds(200));
    EXPECT_EQ(Serving("v3"), 8);
  }
}

// Guards against combinations of faults that violate the serving share or keep
// the rollout from completing.
TEST_F(rollout_controller_test, Run_RandomFaults_CompletesWithinServingShare) {
  for (std::uint64_t seed = 1; seed <= 150; ++seed) {
    SCOPED_TRACE(seed);
    random_ = random_source(seed);
    const int count = 1 + static_cast<int>(random_.Below(20));
    share_ = 0.5 + (random_.Fraction() * 0.5);
    loss_rate_ = random_.Fraction() * 0.2;
    undetected_failures_ = 0;
    Start(count);
    Run(seconds(1));
    Declare("v2");
    Run(milliseconds(random_.Below(60000)));
    for (int i = 0; i < count; ++i) {
      if (random_.Below(5) == 0) {
        vms_.at(replicas_[i]).alive = false;
        ++undetected_failures_;
      }
    }
    Run(milliseconds(random_.Below(5000)));
    SendMembers();
    Run(milliseconds(10));
    undetected_failures_ = 0;
    if (random_.Below(2) == 0) {
      Declare("v3");
    }
    Run(seconds(1000));
    const auto live = std::count_if(
        vms_.begin(), vms_.end(), [](const auto& e) { return e.second.alive; });
    EXPECT_EQ(Serving(declared_.value()), live);
  }
}

}  // namespace
}  // namespace fireflyslip
