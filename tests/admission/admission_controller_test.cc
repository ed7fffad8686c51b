#include <gtest/gtest.h>

#include <variant>

#include "fireflyslip/admission.h"

namespace fireflyslip {
namespace {

class admission_controller_test : public testing::Test {
 protected:
  using controller = admission_controller;

  admission_controller_test() {
    controller_.Handle(controller::limits_changed{{limits_}, 1}, now_);
  }

  bool IsAdmitted(std::uint64_t tokens) {
    last_ = controller_.Handle(
        controller::request_arrived{{}, limits_.workspace, tokens}, now_);
    return std::holds_alternative<controller::admit>(last_.at(0));
  }

  workspace_limits limits_ = {workspace_id("w"), 10, 1000, 2, 1};
  time_point now_;
  controller controller_;
  std::vector<controller::action> last_;
};

// Guards against admitting more than rate times time plus burst, also while
// shares move between gateways.
TEST_F(admission_controller_test, Arrived_SteadyFlood_StaysWithinContract) {
  int admitted = 0;
  double allowed = 10 * 2;
  random_source random(1);
  double share = 1;
  for (int step = 0; step < 2000; ++step) {
    if (step % 50 == 0) {
      share = random.Fraction();
      controller_.Handle(controller::share_changed{limits_.workspace, share},
                         now_);
    }
    admitted += IsAdmitted(1) ? 1 : 0;
    now_ += milliseconds(5);
    allowed += 10 * share * 0.005;
  }
  EXPECT_LE(admitted, allowed);
  EXPECT_GE(admitted, allowed - 20);
}

// Guards against spending a lent share a second time from the tokens that it
// left in the bucket.
TEST_F(admission_controller_test, ShareChanged_Smaller_LosesLevelAtOnce) {
  controller_.Handle(controller::share_changed{limits_.workspace, 0.1}, now_);
  int admitted = 0;
  while (IsAdmitted(1)) {
    ++admitted;
  }
  EXPECT_EQ(admitted, 2);
}

// Guards against not charging tokens that a request used beyond its estimate.
TEST_F(admission_controller_test, Used_MoreThanEstimated_DelaysNextRequest) {
  EXPECT_TRUE(IsAdmitted(100));
  controller_.Handle(controller::tokens_used{limits_.workspace, 100, 2400},
                     now_);
  EXPECT_FALSE(IsAdmitted(100));
  const auto& rejected = std::get<controller::reject>(last_.at(0));
  EXPECT_EQ(rejected.kind, error_kind::kRateLimited);
  ASSERT_TRUE(rejected.retry_after);
  EXPECT_NEAR(ToSeconds(*rejected.retry_after), 1.5, 0.01);
  now_ += *rejected.retry_after;
  EXPECT_TRUE(IsAdmitted(100));
}

// Guards against never admitting a request that exceeds the burst.
TEST_F(admission_controller_test, Arrived_LargerThanBurst_NeedsFullBucket) {
  EXPECT_FALSE(IsAdmitted(5000));
  now_ += seconds(1);
  EXPECT_TRUE(IsAdmitted(5000));
  now_ += seconds(2);
  EXPECT_FALSE(IsAdmitted(1));
  now_ += milliseconds(1100);
  EXPECT_TRUE(IsAdmitted(1));
}

// Guards against a new configuration that refills buckets, and against
// admitting requests of workspaces that it does not contain.
TEST_F(admission_controller_test, LimitsChanged_KeepsLevelAndDropsRemoved) {
  while (IsAdmitted(1)) {
  }
  controller_.Handle(controller::limits_changed{{limits_}, 1}, now_);
  EXPECT_FALSE(IsAdmitted(1));
  controller_.Handle(controller::limits_changed{{}, 1}, now_);
  EXPECT_FALSE(IsAdmitted(1));
  EXPECT_EQ(std::get<controller::reject>(last_.at(0)).kind,
            error_kind::kUnauthorized);
}

}  // namespace
}  // namespace fireflyslip
