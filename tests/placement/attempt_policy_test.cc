#include <gtest/gtest.h>

#include "fireflyslip/placement.h"

namespace fireflyslip {
namespace {

class attempt_policy_test : public testing::Test {
 protected:
  static route Route(request_idempotency idempotency_class, int max_attempts) {
    route target;
    target.idempotency_class = idempotency_class;
    target.max_attempts = max_attempts;
    return target;
  }

  static retry_decision Next(const route& target,
                             attempt_history history,
                             attempt_outcome outcome,
                             bool budget = true) {
    return DecideRetry(target, history, outcome, [budget] { return budget; });
  }

  const route booking_ = Route(request_idempotency::kNonIdempotent, 1);
  const route lookup_ = Route(request_idempotency::kIdempotent, 2);
};

// Guards against running a non-idempotent request twice.
TEST_F(attempt_policy_test, NonIdempotent_MayHaveRun_NeverRetried) {
  EXPECT_EQ(Next(booking_, {1, 1}, attempt_outcome::kMayHaveRun),
            retry_decision::kReportUnknown);
}

// Guards against failing a non-idempotent request of which nothing was sent.
TEST_F(attempt_policy_test, NonIdempotent_NotSent_RetriedElsewhere) {
  EXPECT_EQ(Next(booking_, {1, 0}, attempt_outcome::kNotSent, false),
            retry_decision::kRetryElsewhere);
}

// Guards against reporting "not run" although an earlier attempt may have run.
TEST_F(attempt_policy_test, NotRun_EarlierAttemptUnknown_ReportedUnknown) {
  EXPECT_EQ(Next(lookup_, {2, 2}, attempt_outcome::kNotRun),
            retry_decision::kReportUnknown);
  EXPECT_EQ(Next(lookup_, {2, 0}, attempt_outcome::kNotRun, false),
            retry_decision::kRefuse);
}

// Guards against more attempts than the route allows.
TEST_F(attempt_policy_test, Idempotent_AttemptsUsedUp_FailureForwarded) {
  EXPECT_EQ(Next(lookup_, {1, 1}, attempt_outcome::kRanAndFailed),
            retry_decision::kRetryElsewhere);
  EXPECT_EQ(Next(lookup_, {2, 2}, attempt_outcome::kRanAndFailed),
            retry_decision::kForwardError);
}

// Guards against retries beyond the budget.
TEST_F(attempt_policy_test, Idempotent_NoBudget_NotRetried) {
  EXPECT_EQ(Next(lookup_, {1, 1}, attempt_outcome::kMayHaveRun, false),
            retry_decision::kReportUnknown);
}

}  // namespace
}  // namespace fireflyslip
