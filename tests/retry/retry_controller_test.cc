#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <set>
#include <string>
#include <variant>
#include <vector>

#include "fireflyslip/retry.h"

namespace fireflyslip {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;

class retry_controller_test : public testing::Test {
 protected:
  using controller = retry_controller;
  using action = controller::action;

  static controller::attempt_failed Failure() {
    return {{vm_id("e"), 1, 1},
            workspace_id("w"),
            0,
            outcome::kUnknown,
            error_kind::kUpstreamFailed,
            true,
            0,
            false,
            seconds(10)};
  }

  action Decide(const controller::attempt_failed& failure) {
    return controller_.Handle(failure, now_).at(0);
  }

  time_point now_;
  controller controller_{random_source(1)};
};

// Guards against a second execution of a request that may have been run.
TEST_F(retry_controller_test, Failed_NonIdempotentUnknown_QueriesOutcome) {
  auto failure = Failure();
  failure.idempotent = false;
  EXPECT_EQ(Decide(failure),
            action(controller::query_outcome{{failure.request, 0}}));
  failure.kind = error_kind::kOutcomeUnknown;
  EXPECT_EQ(Decide(failure),
            action(controller::give_up{failure.request,
                                       error_kind::kOutcomeUnknown}));
  failure.known_outcome = outcome::kNotRun;
  failure.kind = error_kind::kOverloaded;
  EXPECT_TRUE(
      std::holds_alternative<controller::schedule_retry>(Decide(failure)));
}

// Guards against a response mixed from two attempts, and against retries that
// cannot succeed or would miss the deadline.
TEST_F(retry_controller_test, Failed_RetryCannotHelp_GivesUp) {
  std::vector<controller::attempt_failed> failures(4, Failure());
  failures[0].bytes_forwarded = 1;
  failures[1].remaining = milliseconds(5);
  failures[2].attempt = 10;
  failures[3].kind = error_kind::kInvalidRequest;
  for (const auto& failure : failures) {
    EXPECT_EQ(Decide(failure),
              action(controller::give_up{failure.request, failure.kind}));
  }
  failures[0].resumable = true;
  EXPECT_TRUE(
      std::holds_alternative<controller::schedule_retry>(Decide(failures[0])));
}

// Guards against retries that multiply the load while everything fails.
TEST_F(retry_controller_test, Failed_AllAttemptsFail_RetriesStayInBudget) {
  int retries = 0;
  std::set<duration> delays;
  for (std::uint64_t i = 0; i < 1000; ++i) {
    auto failure = Failure();
    failure.request.sequence = i;
    controller_.Handle(
        controller::first_attempt{failure.request, failure.workspace}, now_);
    const action decided = Decide(failure);
    if (const auto* retry = std::get_if<controller::schedule_retry>(&decided)) {
      ++retries;
      delays.insert(retry->delay);
    }
  }
  EXPECT_GE(retries, 100);
  EXPECT_LE(retries, 1000 / 10 + 10);
  EXPECT_GT(delays.size(), 50U) << "delays without jitter";
}

// Guards against hedging before the p95 delay, and against hedging requests
// that are not idempotent or not urgent.
TEST_F(retry_controller_test, Tick_UrgentIdempotentSlow_HedgesOnceAfterP95) {
  for (int i = 1; i <= 100; ++i) {
    controller_.Handle(controller::answered{{}, milliseconds(i)}, now_);
  }
  ASSERT_TRUE(controller_.hedge_delay());
  EXPECT_GE(*controller_.hedge_delay(), milliseconds(60));
  const request_id urgent{vm_id("e"), 1, 1};
  const workspace_id workspace("w");
  controller_.Handle(
      controller::first_attempt{
          {vm_id("e"), 1, 2}, workspace, request_rank::kUrgent, false},
      now_);
  controller_.Handle(
      controller::first_attempt{
          {vm_id("e"), 1, 3}, workspace, request_rank::kStandard, true},
      now_);
  EXPECT_EQ(controller_.NextDeadline(), std::nullopt);
  controller_.Handle(
      controller::first_attempt{urgent, workspace, request_rank::kUrgent, true},
      now_);
  const time_point due = now_ + *controller_.hedge_delay();
  EXPECT_EQ(controller_.NextDeadline(), due);
  EXPECT_THAT(controller_.Handle(tick{}, due - duration(1)), IsEmpty());
  EXPECT_THAT(controller_.Handle(tick{}, due),
              ElementsAre(action(controller::hedge{urgent})));
  EXPECT_THAT(controller_.Handle(tick{}, due + seconds(1)), IsEmpty());
}

}  // namespace
}  // namespace fireflyslip
