#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "fireflyslip/retry.h"

namespace fireflyslip {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;

class crash_registry_test : public testing::Test {
 protected:
  using registry = crash_registry;
  using action = registry::action;

  time_point now_;
  registry registry_{4, seconds(60)};
};

// Guards against a request that crashes one upstream after another, and
// against blocking requests that ran concurrently with it.
TEST_F(crash_registry_test, Crashed_Twice_BlocksOnlyTheCause) {
  registry_.Handle(registry::upstream_crashed{{1, 2, 2}}, now_);
  registry_.Handle(registry::upstream_crashed{{1, 2}}, now_);
  EXPECT_TRUE(registry_.IsSuspect(1));
  EXPECT_TRUE(registry_.IsSuspect(2));
  EXPECT_THAT(registry_.Handle(registry::upstream_crashed{{2}}, now_),
              ElementsAre(action(registry::broadcast_crash_count{2, 2})));
  EXPECT_TRUE(registry_.IsBlocked(2));
  EXPECT_THAT(registry_.Handle(registry::completed{1}, now_),
              ElementsAre(action(registry::broadcast_crash_count{1, 0})));
  EXPECT_FALSE(registry_.IsSuspect(1));
  EXPECT_FALSE(registry_.IsBlocked(1));
}

// Guards against a blocked request that runs through another gateway, and
// against a delayed message that unblocks it.
TEST_F(crash_registry_test, PeerCrashCount_RaisesCountOnly) {
  EXPECT_THAT(registry_.Handle(registry::peer_crash_count{5, 2}, now_),
              IsEmpty());
  EXPECT_TRUE(registry_.IsBlocked(5));
  registry_.Handle(registry::peer_crash_count{5, 1}, now_);
  registry_.Handle(registry::peer_crash_count{5, 0}, now_);
  EXPECT_TRUE(registry_.IsBlocked(5));
}

// Guards against unbounded state, and against evicting blocked requests in
// favour of suspects.
TEST_F(crash_registry_test, Crashed_ManyRequests_KeepsBlockedWithinBound) {
  registry_.Handle(registry::peer_crash_count{100, 2}, now_);
  for (request_fingerprint i = 0; i < 50; ++i) {
    registry_.Handle(registry::upstream_crashed{{i}}, now_ + seconds(i / 10));
    ASSERT_LE(registry_.size(), 4U);
  }
  EXPECT_TRUE(registry_.IsBlocked(100));
  ASSERT_TRUE(registry_.NextDeadline());
  registry_.Handle(tick{}, now_ + seconds(70));
  EXPECT_EQ(registry_.size(), 0U);
}

}  // namespace
}  // namespace fireflyslip
