#include <gtest/gtest.h>

#include "fireflyslip/catalog.h"

namespace fireflyslip {
namespace {

class upstream_registry_test : public testing::Test {
 protected:
  static upstream_entry Entry(const std::string& id, bool draining = false) {
    upstream_entry entry;
    entry.id = upstream_id(id);
    entry.address = "10.0.0.1:80";
    entry.draining = draining;
    return entry;
  }

  void Send(const upstream_registry::event& event) {
    for (const auto& action : registry_.Handle(event, now_)) {
      known_ = std::get<upstream_registry::publish>(action).upstreams;
    }
  }

  // Whether the last published set has the upstream.
  bool Has(const std::string& id) const {
    return known_ && known_->contains(upstream_id(id));
  }

  void StartWith(const std::vector<upstream_entry>& entries) {
    Send(upstream_registry::platform_responded{});
    Send(upstream_registry::listed{entries});
  }

  static upstream_entry Incarnation(const std::string& id,
                                    std::uint64_t started_ms,
                                    std::uint64_t sequence,
                                    bool draining = false) {
    upstream_entry entry = Entry(id, draining);
    entry.started_ms = started_ms;
    entry.sequence = sequence;
    return entry;
  }

  bool IsDraining(const std::string& id) const {
    return known_->at(upstream_id(id)).draining;
  }

  upstream_registry registry_{seconds(1), seconds(2)};
  time_point now_ = time_point(seconds(100));
  std::shared_ptr<const upstream_map> known_;
};

// Guards against new requests to an upstream that has been removed.
TEST_F(upstream_registry_test, Removed_PlatformReachable_DroppedAtOnce) {
  StartWith({Entry("a"), Entry("b")});
  now_ += seconds(1);
  Send(upstream_registry::platform_responded{});
  Send(upstream_registry::removed{upstream_id("a")});
  EXPECT_FALSE(Has("a"));
  EXPECT_TRUE(Has("b"));
}

// Guards against taking a long watch without events for an outage, after which
// a removed upstream got requests for 2 s (randomized fleet run of
// boissec-route with the seed 960863275501).
TEST_F(upstream_registry_test, Removed_AfterEmptyWatch_DroppedAtOnce) {
  StartWith({Entry("a"), Entry("b")});
  now_ += seconds(8);
  Send(upstream_registry::platform_responded{});
  Send(upstream_registry::removed{upstream_id("a")});
  EXPECT_FALSE(Has("a"));
}

// Guards against losing all upstreams whose entries expired during an outage.
TEST_F(upstream_registry_test, Listed_AfterOutage_MissingKeptForGrace) {
  StartWith({Entry("a"), Entry("b")});
  now_ += seconds(6);
  Send(upstream_registry::platform_responded{seconds(5)});
  Send(upstream_registry::listed{{Entry("b")}});
  EXPECT_TRUE(Has("a"));
  now_ += seconds(1);
  Send(upstream_registry::changed{Entry("a")});
  now_ += seconds(2);
  Send(tick{});
  EXPECT_TRUE(Has("a"));
}

// Guards against keeping an upstream that is not registered again.
TEST_F(upstream_registry_test, Listed_AfterOutage_MissingDroppedAfterGrace) {
  StartWith({Entry("a"), Entry("b")});
  now_ += seconds(6);
  Send(upstream_registry::platform_responded{seconds(5)});
  Send(upstream_registry::listed{{Entry("b")}});
  EXPECT_EQ(registry_.NextDeadline(), now_ + seconds(2));
  now_ += seconds(2);
  Send(tick{});
  EXPECT_FALSE(Has("a"));
}

// Guards against taking the end of a planned shutdown for an expired entry.
TEST_F(upstream_registry_test, Listed_AfterOutageWithoutDraining_Dropped) {
  StartWith({Entry("a", true), Entry("b")});
  now_ += seconds(6);
  Send(upstream_registry::platform_responded{seconds(5)});
  Send(upstream_registry::listed{{Entry("b")}});
  EXPECT_FALSE(Has("a"));
}

// Guards against keeping upstreams that were removed while the watch history
// was lost.
TEST_F(upstream_registry_test, Listed_WithoutOutage_MissingDropped) {
  StartWith({Entry("a"), Entry("b")});
  now_ += seconds(1);
  Send(upstream_registry::platform_responded{});
  Send(upstream_registry::listed{{Entry("b")}});
  EXPECT_FALSE(Has("a"));
}

// Guards against losing upstreams that were added since the copy, although the
// store was away only for a moment.
TEST_F(upstream_registry_test, Restored_MissingInCopy_KeptForGrace) {
  StartWith({Incarnation("a", 1, 5), Incarnation("b", 1, 5)});
  Send(upstream_registry::store_restored{});
  Send(upstream_registry::listed{{Incarnation("b", 1, 5)}});
  EXPECT_TRUE(Has("a"));
  EXPECT_EQ(registry_.NextDeadline(), now_ + seconds(2));
  now_ += seconds(2);
  Send(tick{});
  EXPECT_FALSE(Has("a"));
}

// Guards against requests to a removed upstream that is in the copy.
TEST_F(upstream_registry_test, Restored_RemovedIncarnation_NotTakenBack) {
  StartWith({Incarnation("a", 1, 5), Incarnation("b", 1, 5)});
  Send(upstream_registry::removed{upstream_id("a")});
  Send(upstream_registry::store_restored{});
  Send(upstream_registry::listed{
      {Incarnation("a", 1, 4), Incarnation("b", 1, 5)}});
  EXPECT_FALSE(Has("a"));
  Send(upstream_registry::changed{Incarnation("a", 1, 6)});
  EXPECT_TRUE(Has("a"));
}

// Guards against refusing an entry that is written again without a restore.
TEST_F(upstream_registry_test, Removed_WithoutRestore_TakenBack) {
  StartWith({Incarnation("a", 1, 5)});
  Send(upstream_registry::removed{upstream_id("a")});
  Send(upstream_registry::changed{Incarnation("a", 1, 5)});
  EXPECT_TRUE(Has("a"));
}

// Guards against requests to a draining upstream that is ready in the copy.
TEST_F(upstream_registry_test, Draining_ReadyInCopy_StaysDraining) {
  StartWith({Incarnation("a", 1, 5, true)});
  Send(upstream_registry::store_restored{});
  Send(upstream_registry::listed{{Incarnation("a", 1, 4)}});
  EXPECT_TRUE(IsDraining("a"));
  Send(upstream_registry::changed{Incarnation("a", 2, 1)});
  EXPECT_FALSE(IsDraining("a"));
}

// Guards against publishing all upstreams at each heartbeat.
TEST_F(upstream_registry_test, Heartbeat_Only_NotPublished) {
  StartWith({Incarnation("a", 1, 5)});
  known_.reset();
  Send(upstream_registry::changed{Incarnation("a", 1, 9)});
  EXPECT_FALSE(known_);
}

// Guards against unbounded memory for removed upstreams.
TEST_F(upstream_registry_test, Departed_MoreThanRemembered_OldestForgotten) {
  registry_ = upstream_registry(seconds(1), seconds(2), 1);
  StartWith({Incarnation("a", 1, 5), Incarnation("b", 1, 5)});
  Send(upstream_registry::removed{upstream_id("a")});
  Send(upstream_registry::removed{upstream_id("b")});
  Send(upstream_registry::store_restored{});
  Send(upstream_registry::listed{
      {Incarnation("a", 1, 5), Incarnation("b", 1, 5)}});
  EXPECT_TRUE(Has("a"));
  EXPECT_FALSE(Has("b"));
}

// Guards against missing that an upstream is cold again: a relay leaves out the
// heartbeats at which its cold time passes.
TEST_F(upstream_registry_test, ColdAgain_ThroughRelay_Published) {
  upstream_history relay;
  upstream_entry entry = Incarnation("i-1", 1000, 1);
  store_position position{1, 10};
  relay.Replace({entry}, position);
  StartWith({entry});
  const auto beat = [&](duration cold_for) {
    known_.reset();
    const store_position before = position;
    ++entry.sequence;
    ++position.revision;
    entry.cold_for = cold_for;
    relay.Apply({{entry.id, entry}}, position);
    for (const upstream_change& change : relay.Since(before).changes) {
      Send(upstream_registry::changed{*change.entry});
    }
    return known_ ? known_->at(entry.id).cold_for : duration(-1);
  };
  for (int i = 0; i < 2; ++i) {
    EXPECT_EQ(beat(seconds(3)), seconds(3));
    EXPECT_EQ(beat(seconds(1)), duration(-1));
    EXPECT_EQ(beat(duration(0)), duration(-1));
  }
}

}  // namespace
}  // namespace fireflyslip
