#include "fireflyslip/orders/order_sequencer.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "fireflyslip/core/random_source.h"

namespace fireflyslip {
namespace {

using namespace orders;  // NOLINT(google-build-using-namespace)

// Returns the actions of type `Action`.
template <typename Action>
std::vector<Action> Select(
    const std::vector<order_sequencer::action>& actions) {
  std::vector<Action> selected;
  for (const auto& action : actions) {
    if (const auto* match = std::get_if<Action>(&action)) {
      selected.push_back(*match);
    }
  }
  return selected;
}

versioned_model Content(const std::string& version) {
  return {model_name("cue"), model_version(version)};
}

class order_sequencer_test : public testing::TestWithParam<bool> {
 protected:
  using actions = std::vector<order_sequencer::action>;

  order_sequencer_test() { settings_.checks_fencing = GetParam(); }

  actions Send(const order_sequencer::event& event) {
    return core_.Handle(event, now_);
  }
  actions Wait(duration time) {
    now_ += time;
    return Send(tick{});
  }
  // Makes the agent the owner of token 5, with an engine that serves v1.
  void Acquire() {
    core_ = order_sequencer(settings_);
    Send(desired_changed{Content("v1")});
    Send(started{2});
    ASSERT_EQ(Select<write_fence>(Send(fence_read{9, fence_value{4, 1}})),
              std::vector{(write_fence{9, fence_value{5, 2}})});
    ASSERT_EQ(Select<read_engine_state>(Send(fence_written{10})).size(), 1U);
    ASSERT_EQ(
        Select<report_load_result>(Send(engine_state{Content("v1")})).size(),
        1U);
  }
  // Answers the fence read that precedes an order to an unchecked engine.
  actions ConfirmFence(actions result) {
    if (!GetParam()) {
      EXPECT_TRUE(Select<send_order>(result).empty());
      EXPECT_EQ(Select<read_fence>(result).size(), 1U);
      result = Send(fence_read{10, fence_value{5, 2}});
    }
    return result;
  }
  // Advances time until orders of the previous incarnation have expired.
  void WaitForOrderExpiry() {
    if (!Select<read_engine_state>(Wait(settings_.order_expiry)).empty()) {
      Send(engine_state{Content("v1")});
    }
  }

  time_point now_{};
  order_sequencer_settings settings_;
  order_sequencer core_{settings_};
};

// Guards against an order that is overtaken by one of an earlier incarnation.
TEST_P(order_sequencer_test, TakeOver_UncheckedEngine_WaitsForOrderExpiry) {
  Acquire();
  const auto first = Send(desired_changed{Content("v2")});
  EXPECT_EQ(Select<send_order>(first).size(), GetParam() ? 1U : 0U);
  EXPECT_TRUE(Select<read_fence>(first).empty());
  if (!GetParam()) {
    now_ += settings_.order_expiry;
    Send(tick{});
    const auto sent = ConfirmFence(Send(engine_state{Content("v1")}));
    ASSERT_EQ(Select<send_order>(sent).size(), 1U);
    EXPECT_EQ(Select<send_order>(sent)[0].fence, 5U);
  }
}

// Guards against repeating an order whose response was lost.
TEST_P(order_sequencer_test, Order_LostAnswer_ReadsStateFirst) {
  Acquire();
  WaitForOrderExpiry();
  const auto sent =
      Select<send_order>(ConfirmFence(Send(desired_changed{Content("v2")})));
  ASSERT_EQ(sent.size(), 1U);
  const auto lost =
      Send(order_answered{sent[0].order, order_result::kUnknown, ""});
  EXPECT_EQ(Select<read_engine_state>(lost).size(), 1U);
  EXPECT_TRUE(Select<send_order>(lost).empty());
  // The lost order may still take effect, so no other order is sent.
  EXPECT_TRUE(Select<send_order>(Send(engine_state{Content("v1")})).empty());
  now_ = sent[0].expiry;
  EXPECT_EQ(Select<read_engine_state>(Send(tick{})).size(), 1U);
  EXPECT_EQ(
      Select<report_load_result>(Send(engine_state{Content("v2")})).size(), 1U);
}

// Guards against an order that outlives the fence read it relies on, and
// against a second order that relies on the same read.
TEST_P(order_sequencer_test, Order_UncheckedEngine_ReadsFenceForEach) {
  if (GetParam()) {
    return;
  }
  Acquire();
  WaitForOrderExpiry();
  const time_point read_started = now_;
  EXPECT_EQ(Select<read_fence>(Send(desired_changed{Content("v2")})).size(),
            1U);
  now_ += seconds(1);
  const auto sent = Select<send_order>(Send(fence_read{10, fence_value{5, 2}}));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].expiry, read_started + settings_.order_expiry);
  Send(order_answered{sent[0].order, order_result::kOk, ""});
  Send(engine_state{Content("v2")});
  now_ += seconds(1);
  ConfirmFence(Send(desired_changed{Content("v3")}));
}

// Guards against waiting indefinitely for the response to an order.
TEST_P(order_sequencer_test, Order_NoAnswer_EndsAtExpiry) {
  Acquire();
  WaitForOrderExpiry();
  const auto sent =
      Select<send_order>(ConfirmFence(Send(desired_changed{Content("v2")})));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_LE(core_.NextDeadline(), sent[0].expiry);
  now_ = sent[0].expiry;
  EXPECT_EQ(Select<read_engine_state>(Send(tick{})).size(), 1U);
  EXPECT_EQ(Select<send_order>(ConfirmFence(Send(engine_state{Content("v1")})))
                .size(),
            1U);
}

// Guards against orders of an agent that was replaced during a pause.
TEST_P(order_sequencer_test, Resume_Replaced_SendsNothing) {
  Acquire();
  WaitForOrderExpiry();
  EXPECT_EQ(Select<read_fence>(Send(resumed_after_pause{})).size(), 1U);
  EXPECT_TRUE(Select<send_order>(Send(desired_changed{Content("v2")})).empty());
  EXPECT_TRUE(Select<send_order>(Send(fence_failed{})).empty());
  EXPECT_EQ(Select<read_fence>(Wait(settings_.retry_delay)).size(), 1U);
  EXPECT_TRUE(Send(fence_read{11, fence_value{6, 3}}).empty());
  EXPECT_TRUE(Wait(std::chrono::hours(1)).empty());
  EXPECT_FALSE(core_.is_owner());
}

// Guards against a platform outage that blocks an accepted rollout.
TEST_P(order_sequencer_test, Outage_Owner_Continues) {
  Acquire();
  WaitForOrderExpiry();
  auto sent = Send(desired_changed{Content("v2")});
  if (!GetParam()) {
    sent = Send(fence_failed{});
  }
  EXPECT_EQ(Select<send_order>(sent).size(), 1U);
}

// Guards against a lost response to an update of the fence.
TEST_P(order_sequencer_test, Fence_LostAnswer_ReadsBack) {
  core_ = order_sequencer(settings_);
  Send(started{2});
  Send(fence_missing{});
  EXPECT_EQ(Select<read_fence>(Send(fence_write_unknown{})).size(), 1U);
  Send(fence_read{1, fence_value{1, 2}});
  EXPECT_TRUE(core_.is_owner());
}

// Guards against an engine that has seen a higher token than that of the fence.
TEST_P(order_sequencer_test, Order_StaleFence_RaisesToken) {
  Acquire();
  WaitForOrderExpiry();
  const auto sent =
      Select<send_order>(ConfirmFence(Send(desired_changed{Content("v2")})));
  ASSERT_EQ(sent.size(), 1U);
  Send(order_answered{sent[0].order, order_result::kStaleFence, ""});
  EXPECT_EQ(Select<write_fence>(Send(fence_read{10, fence_value{5, 2}})),
            std::vector{(write_fence{10, fence_value{6, 2}})});
}

// Guards against repeated orders for a version that cannot be loaded.
TEST_P(order_sequencer_test, Order_CannotLoad_ReportsOnce) {
  Acquire();
  WaitForOrderExpiry();
  const auto sent =
      Select<send_order>(ConfirmFence(Send(desired_changed{Content("v2")})));
  ASSERT_EQ(sent.size(), 1U);
  const auto refused =
      Send(order_answered{sent[0].order, order_result::kCannotLoad, "digest"});
  EXPECT_EQ(Select<report_load_result>(refused),
            std::vector{(report_load_result{Content("v2"), false, "digest"})});
  Wait(seconds(1));
  const auto later = Send(engine_state{Content("v1")});
  EXPECT_TRUE(Select<send_order>(later).empty());
  EXPECT_TRUE(Select<read_fence>(later).empty());
  EXPECT_EQ(
      Select<report_load_result>(Send(desired_changed{Content("v1")})).size(),
      1U);
}

// Simulates several incarnations of an agent, a fence and an engine. Orders are
// delayed at random, responses are lost, agents are paused, and the platform
// has outages. The engine checks the sequence of the orders that it applies.
class order_simulation {
 public:
  order_simulation(std::uint64_t seed, bool checked)
      : random_(seed), checked_(checked) {
    settings_.checks_fencing = checked;
    settings_.order_expiry = seconds(1);
    Replace();
  }

  void Step(bool faults) {
    now_ += milliseconds(static_cast<int>(random_.Below(60)));
    const std::size_t index =
        faults ? random_.Below(agents_.size()) : agents_.size() - 1;
    agent& chosen = agents_[index];
    switch (random_.Below(faults ? 12 : 5)) {
      case 0:
        Send(index, tick{});
        break;
      case 1:
      case 2:
        StepPlatform(index, faults);
        break;
      case 3:
        StepEngine(index, faults);
        break;
      case 4:
        Deliver();
        break;
      case 5:
        outage_ = random_.Below(3) == 0;
        break;
      case 6:
        chosen.paused = !chosen.paused;
        if (!chosen.paused) {
          Send(index, resumed_after_pause{});
        }
        break;
      case 7:
        if (random_.Below(30) == 0 && agents_.size() < 4) {
          Replace();
        }
        break;
      case 8:
        if (random_.Below(10) == 0) {
          version_ = "v" + std::to_string(random_.Below(4));
          for (std::size_t i = 0; i < agents_.size(); ++i) {
            Send(i, desired_changed{Content(version_)});
          }
        }
        break;
      default:
        StepPlatform(index, faults);
        StepEngine(index, faults);
    }
  }

  // Checks that without faults the latest incarnation brings the engine to the
  // desired state.
  bool Converges() {
    outage_ = false;
    agents_.back().paused = false;
    Send(agents_.size() - 1, resumed_after_pause{});
    Send(agents_.size() - 1, desired_changed{Content(version_)});
    for (int i = 0; i < 3000; ++i) {
      Step(false);
    }
    return engine_ == Content(version_);
  }

  int applied() const { return applied_; }

 private:
  struct agent {
    order_sequencer core;
    bool paused = false;
    std::optional<order_sequencer::action> platform_call;
    std::optional<order_sequencer::event> platform_response;
    std::optional<order_sequencer::event> engine_response;
    bool reads_state = false;
  };
  struct order_in_transit {
    std::size_t index;
    send_order order;
  };

  void Replace() {
    agents_.push_back({order_sequencer(settings_)});
    Send(agents_.size() - 1, desired_changed{Content(version_)});
    Send(agents_.size() - 1, started{agents_.size()});
  }

  void StepPlatform(std::size_t index, bool faults) {
    agent& chosen = agents_[index];
    if (chosen.platform_response) {
      if (!chosen.paused) {
        const order_sequencer::event event = *chosen.platform_response;
        chosen.platform_response.reset();
        Send(index, event);
      }
    } else if (chosen.platform_call) {
      const order_sequencer::action call = *chosen.platform_call;
      chosen.platform_call.reset();
      if (outage_) {
        chosen.platform_response = fence_failed{};
      } else if (const auto* write = std::get_if<write_fence>(&call)) {
        const bool lost = faults && random_.Below(3) == 0;
        if (write->expected == fence_version_) {
          fence_version_ = fence_version_.value_or(0) + 1;
          fence_ = write->value;
          chosen.platform_response = fence_written{*fence_version_};
        } else {
          chosen.platform_response = fence_conflict{};
        }
        if (lost) {
          chosen.platform_response = fence_write_unknown{};
        }
      } else if (fence_version_) {
        chosen.platform_response = fence_read{*fence_version_, fence_};
      } else {
        chosen.platform_response = fence_missing{};
      }
    }
  }

  void StepEngine(std::size_t index, bool faults) {
    agent& chosen = agents_[index];
    if (chosen.paused) {
      return;
    }
    if (chosen.engine_response) {
      const order_sequencer::event event = *chosen.engine_response;
      chosen.engine_response.reset();
      if (!faults || random_.Below(3) != 0) {
        Send(index, event);
      }
    } else if (chosen.reads_state) {
      chosen.reads_state = false;
      engine_state state;
      if (!faults || random_.Below(3) != 0) {
        state.reported = engine_;
      }
      Send(index, state);
    }
  }

  // Delivers one of the orders to the engine, unless it expired in transit.
  void Deliver() {
    if (orders_in_transit_.empty()) {
      return;
    }
    const std::size_t at = random_.Below(orders_in_transit_.size());
    const order_in_transit next = orders_in_transit_[at];
    orders_in_transit_.erase(orders_in_transit_.begin() +
                             static_cast<std::ptrdiff_t>(at));
    if (now_ >= next.order.expiry) {
      return;
    }
    order_result result = order_result::kOk;
    if (checked_ && next.order.fence < highest_token_) {
      result = order_result::kStaleFence;
    } else {
      // No order of an earlier incarnation follows one of a later incarnation.
      EXPECT_GE(next.order.fence, highest_token_);
      highest_token_ = next.order.fence;
      // Orders of the same incarnation are not reordered either.
      EXPECT_TRUE(next.index != last_index_ || next.order.order > last_order_);
      last_index_ = next.index;
      last_order_ = next.order.order;
      engine_ = next.order.content;
      ++applied_;
    }
    agents_[next.index].engine_response =
        order_answered{next.order.order, result, ""};
  }

  void Send(std::size_t index, const order_sequencer::event& event) {
    if (agents_[index].paused) {
      return;
    }
    for (const auto& action : agents_[index].core.Handle(event, now_)) {
      agent& chosen = agents_[index];
      if (const auto* order = std::get_if<send_order>(&action)) {
        chosen.engine_response.reset();
        orders_in_transit_.push_back({index, *order});
      } else if (std::holds_alternative<read_engine_state>(action)) {
        chosen.reads_state = true;
      } else if (!std::holds_alternative<report_load_result>(action)) {
        EXPECT_FALSE(chosen.platform_call || chosen.platform_response);
        chosen.platform_call = action;
      }
    }
  }

  random_source random_;
  bool checked_;
  order_sequencer_settings settings_;
  time_point now_{};
  bool outage_ = false;
  std::optional<std::uint64_t> fence_version_;
  fence_value fence_;
  std::string version_ = "v1";
  versioned_model engine_ = Content("v0");
  std::uint64_t highest_token_ = 0;
  std::size_t last_index_ = 0;
  std::uint64_t last_order_ = 0;
  std::vector<order_in_transit> orders_in_transit_;
  std::vector<agent> agents_;
  int applied_ = 0;
};

// Guards against interleavings in which an old order takes effect after a newer
// one, or in which the engine never reaches the desired version.
TEST_P(order_sequencer_test, Faults_RandomSteps_ApplyOrdersInSequence) {
  int applied = 0;
  for (std::uint64_t seed = 1; seed <= 300 && !HasFailure(); ++seed) {
    SCOPED_TRACE(seed);
    order_simulation simulation(seed, GetParam());
    for (int step = 0; step < 3000; ++step) {
      simulation.Step(true);
    }
    applied += simulation.applied();
    EXPECT_TRUE(simulation.Converges());
  }
  EXPECT_GT(applied, 300);
  RecordProperty("applied", applied);
}

INSTANTIATE_TEST_SUITE_P(engines,
                         order_sequencer_test,
                         testing::Bool(),
                         [](const auto& info) {
                           return info.param ? "checked" : "unchecked";
                         });

}  // namespace
}  // namespace fireflyslip
