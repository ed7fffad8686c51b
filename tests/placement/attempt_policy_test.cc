#include <gtest/gtest.h>

#include "fireflyslip/placement.h"

namespace fireflyslip {
namespace {

class attempt_policy_test : public testing::Test {
 protected:
  static route Route(repeat_rule repeat, int max_attempts) {
    route target;
    target.repeat = repeat;
    target.max_attempts = max_attempts;
    return target;
  }

  static attempt_step Next(const route& target,
                           attempt_history history,
                           attempt_fate fate,
                           bool budget = true) {
    return NextStep(target, history, fate, [budget] { return budget; });
  }

  const route booking_ = Route(repeat_rule::kNonIdempotent, 1);
  const route lookup_ = Route(repeat_rule::kIdempotent, 2);
};

// Guards against a booking that runs twice.
TEST_F(attempt_policy_test, NonIdempotent_MayHaveRun_NeverRepeated) {
  EXPECT_EQ(Next(booking_, {1, 1}, attempt_fate::kMayHaveRun),
            attempt_step::kAnswerUnknown);
}

// Guards against a booking that is lost although nothing was sent.
TEST_F(attempt_policy_test, NonIdempotent_NotSent_TriedElsewhere) {
  EXPECT_EQ(Next(booking_, {1, 0}, attempt_fate::kNotSent, false),
            attempt_step::kTryAnother);
}

// Guards against "not run" for a request of which another attempt may have run.
TEST_F(attempt_policy_test, NotRun_EarlierAttemptUnknown_AnsweredUnknown) {
  EXPECT_EQ(Next(lookup_, {2, 2}, attempt_fate::kNotRun),
            attempt_step::kAnswerUnknown);
  EXPECT_EQ(Next(lookup_, {2, 0}, attempt_fate::kNotRun, false),
            attempt_step::kRefuse);
}

// Guards against more upstreams than the route allows.
TEST_F(attempt_policy_test, Idempotent_AttemptsUsedUp_FailureForwarded) {
  EXPECT_EQ(Next(lookup_, {1, 1}, attempt_fate::kRanAndFailed),
            attempt_step::kTryAnother);
  EXPECT_EQ(Next(lookup_, {2, 2}, attempt_fate::kRanAndFailed),
            attempt_step::kForward);
}

// Guards against repeats beyond the budget.
TEST_F(attempt_policy_test, Idempotent_NoBudget_NotRepeated) {
  EXPECT_EQ(Next(lookup_, {1, 1}, attempt_fate::kMayHaveRun, false),
            attempt_step::kAnswerUnknown);
}

}  // namespace
}  // namespace fireflyslip
