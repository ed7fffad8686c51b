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

}  // namespace
}  // namespace fireflyslip
