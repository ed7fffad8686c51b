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

// Agents of one data centre with engines that load in 5 s. An observer, which
// does not use the cores' own counts, checks the serving share at each load.
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
    failing_.clear();
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
      std::size_t out = 0;
      for (const auto& [other, state] : vms_) {
        live += state.alive ? 1 : 0;
        out += state.alive && !state.serving ? 1 : 0;
      }
      most_out_ = std::max(most_out_, out);
      EXPECT_LE(out, rollout_controller::AllowedOut(live + lag_, share_));
    }
  }
  void Apply(const vm_id& id, vm_state& vm, const load_version& a) {
    EXPECT_FALSE(vm.serving) << "load without drain";
    ++vm.loads;
    if (failing_.contains(a.version)) {
      Post(id, engine_load_failed{a.version, "cannot load"}, seconds(3));
      return;
    }
    Post(id, engine_serving{a.version},
         seconds(5) + duration(random_.Below(2000000)));
    if (crashing_.contains(a.version)) {
      Post(id, engine_crashed{a.version}, seconds(9));
    }
  }
  void Apply(const vm_id& /*id*/,
             vm_state& /*vm*/,
             const load_deferred& /*a*/) {}
  void Apply(const vm_id& id, vm_state& /*vm*/, const send_report& a) {
    for (const vm_id& other : replicas_) {
      if (other != id && !cut_.contains(id) && !cut_.contains(other) &&
          random_.Fraction() >= loss_) {
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
  double loss_ = 0;
  std::size_t lag_ = 0;  // Dead replicas that member lists still contain.
  std::size_t most_out_ = 0;
  std::set<model_version> failing_;
  std::set<model_version> crashing_;
  std::set<vm_id> cut_;  // Agents without links.
};

// Guards against a share rounded the wrong way.
TEST_F(rollout_controller_test, AllowedOut_Shares_RoundDownAndAtLeastOne) {
  EXPECT_EQ(rollout_controller::AllowedOut(4, 0.75), 1U);
  EXPECT_EQ(rollout_controller::AllowedOut(16, 0.75), 4U);
  EXPECT_EQ(rollout_controller::AllowedOut(10, 0.7), 3U);
  EXPECT_EQ(rollout_controller::AllowedOut(3, 0.9), 1U);
  EXPECT_EQ(rollout_controller::AllowedOut(1, 1), 1U);
}

// Guards against a rollout that ends early, and against one replica at a time
// where the share allows more.
TEST_F(rollout_controller_test, Run_NoFault_AllServeInWaves) {
  Start(16);
  Declare("v2");
  Run(seconds(120));
  EXPECT_EQ(Serving("v2"), 16);
  EXPECT_EQ(most_out_, 4U);
  EXPECT_EQ(Loads(), 16);
}

// Guards against a single replica waiting for others.
TEST_F(rollout_controller_test, Run_SingleReplica_LoadsAtOnce) {
  Start(1);
  Declare("v2");
  Run(seconds(12));
  EXPECT_EQ(Serving("v2"), 1);
}

// Guards against a bad version taking more than one replica, and against a
// rollback that does not clear the stop.
TEST_F(rollout_controller_test, Run_VersionFails_StopsAfterOneAndRollsBack) {
  for (const bool crash : {false, true}) {
    SCOPED_TRACE(crash);
    Start(12);
    (crash ? crashing_ : failing_).insert(model_version("v2"));
    Declare("v2");
    Run(seconds(200));
    EXPECT_EQ(Loads(), 1);
    EXPECT_EQ(Serving("v1"), 11);
    Declare("v1");
    Run(seconds(60));
    EXPECT_EQ(Serving("v1"), 12);
    crashing_.clear();
  }
}

// Guards against an agent that restarts during a stop and tries the version
// again, because it did not see the failure.
TEST_F(rollout_controller_test, Run_RestartAfterStop_LearnsOfStop) {
  Start(4);
  failing_.insert(model_version("v2"));
  Declare("v2");
  Run(seconds(60));
  ASSERT_EQ(Loads(), 1);
  for (auto& [id, vm] : vms_) {
    if (vm.loads == 1) {
      vm.alive = false;  // The only one that failed is gone.
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

// Guards against waiting for ever for a replica that is gone, or whose links
// are lost while the member list still contains it.
TEST_F(rollout_controller_test, Run_EarlierReplicaGoneOrCut_OthersContinue) {
  for (const bool gone : {true, false}) {
    SCOPED_TRACE(gone);
    Start(4);
    Declare("v2");
    Run(seconds(5));
    for (auto& [id, vm] : vms_) {
      if (!vm.serving) {
        vm.alive = !gone;
        cut_ = {id};
      }
    }
    ASSERT_EQ(cut_.size(), 1U);
    if (gone) {
      SendMembers();
    }
    Run(seconds(200));
    EXPECT_EQ(Serving("v2"), gone ? 3 : 4);
    cut_.clear();
  }
}

// Guards against two versions taking a wave each out of service at once.
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

// Guards against faults in combination; the observer checks each load.
TEST_F(rollout_controller_test, Run_RandomFaults_CompletesWithinServingShare) {
  for (std::uint64_t seed = 1; seed <= 150; ++seed) {
    SCOPED_TRACE(seed);
    random_ = random_source(seed);
    const int count = 1 + static_cast<int>(random_.Below(20));
    share_ = 0.5 + (random_.Fraction() * 0.5);
    loss_ = random_.Fraction() * 0.2;
    lag_ = 0;
    Start(count);
    Run(seconds(1));
    Declare("v2");
    Run(milliseconds(random_.Below(60000)));
    for (int i = 0; i < count; ++i) {
      if (random_.Below(5) == 0) {
        vms_.at(replicas_[i]).alive = false;
        ++lag_;
      }
    }
    Run(milliseconds(random_.Below(5000)));
    SendMembers();
    Run(milliseconds(10));
    lag_ = 0;
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
