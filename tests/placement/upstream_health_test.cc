#include <gtest/gtest.h>

#include "fireflyslip/placement.h"

namespace fireflyslip {
namespace {

class upstream_health_test : public testing::Test {
 protected:
  time_point now_ = time_point(seconds(100));
  upstream_health health_;
};

// Guards against an upstream that fails requests but passes its health check.
TEST_F(upstream_health_test, CountFailure_HalfFail_Ejected) {
  for (int i = 0; i < 10; ++i) {
    health_.CountFailure(now_);
    health_.CountSuccess();
  }
  health_.CountFailure(now_);
  EXPECT_TRUE(health_.is_ejected(now_));
}

// Guards against ejection because of the usual failure rate of a service.
TEST_F(upstream_health_test, CountFailure_OneInSeven_NotEjected) {
  for (int i = 0; i < 100; ++i) {
    health_.CountFailure(now_);
    for (int j = 0; j < 6; ++j) {
      health_.CountSuccess();
    }
  }
  EXPECT_FALSE(health_.is_ejected(now_));
}

// Guards against sending full load to an upstream right after its ejection.
TEST_F(upstream_health_test, IsAvailable_AfterEjection_OneProbe) {
  health_.CountUnreachable(now_);
  health_.CountUnreachable(now_);
  EXPECT_TRUE(health_.is_ejected(now_));
  now_ += seconds(1);
  EXPECT_TRUE(health_.IsAvailable(now_, true));
  EXPECT_FALSE(health_.IsAvailable(now_, false));
  health_.CountSuccess();
  EXPECT_TRUE(health_.IsAvailable(now_, false));
}

// Guards against ejections that stay short for an upstream that stays
// unreachable.
TEST_F(upstream_health_test, CountUnreachable_ProbeFails_LongerEjection) {
  health_.CountUnreachable(now_);
  health_.CountUnreachable(now_);
  now_ += milliseconds(600);
  health_.CountUnreachable(now_);
  EXPECT_TRUE(health_.is_ejected(now_ + milliseconds(900)));
}

}  // namespace
}  // namespace fireflyslip
