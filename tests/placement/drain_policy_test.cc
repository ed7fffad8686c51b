#include "fireflyslip/placement/drain_policy.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <optional>

namespace fireflyslip {
namespace {

constexpr duration kRemaining = seconds(4);

drain_decision Decide(request_idempotency idempotency,
                      duration time_left,
                      std::optional<duration> expected) {
  return DecideWhileDraining({idempotency, time_left, expected}, kRemaining);
}

// Guards against refusing a request whose client gives up before the gateway
// stops, whatever its duration.
TEST(drain_policy_test, Deadline_BeforeEnd_Accepted) {
  for (const auto kind :
       {request_idempotency::kNonIdempotent, request_idempotency::kIdempotent,
        request_idempotency::kResumableStream}) {
    EXPECT_EQ(Decide(kind, kRemaining, std::nullopt), drain_decision::kAccept);
    EXPECT_EQ(Decide(kind, kRemaining, seconds(60)), drain_decision::kAccept);
  }
}

// Guards against a request that cannot be finished and must not be repeated.
TEST(drain_policy_test, NonIdempotent_MayLastBeyondEnd_Refused) {
  constexpr auto kKind = request_idempotency::kNonIdempotent;
  EXPECT_EQ(Decide(kKind, seconds(20), milliseconds(1001)),
            drain_decision::kRefuse);
  EXPECT_EQ(Decide(kKind, seconds(20), milliseconds(1000)),
            drain_decision::kLimitDeadline);
}

// Guards against refusing repeatable requests as early as others, although
// their client can send them again.
TEST(drain_policy_test, Repeatable_LikelyToEnd_Accepted) {
  for (const auto kind : {request_idempotency::kIdempotent,
                          request_idempotency::kResumableStream}) {
    EXPECT_EQ(Decide(kind, seconds(20), milliseconds(2001)),
              drain_decision::kRefuse);
    EXPECT_EQ(Decide(kind, seconds(20), milliseconds(2000)),
              drain_decision::kLimitDeadline);
  }
}

// Guards against accepting a stream of unknown length, which would be cut.
TEST(drain_policy_test, Duration_Unknown_Refused) {
  for (const auto kind :
       {request_idempotency::kNonIdempotent, request_idempotency::kIdempotent,
        request_idempotency::kResumableStream}) {
    EXPECT_EQ(Decide(kind, seconds(5), std::nullopt), drain_decision::kRefuse);
  }
}

// Guards against an accepted request that outlives the gateway: a request whose
// deadline is later is either limited or refused, and refused if no time is
// left.
RC_GTEST_PROP(drain_policy_test, Any_Request_NotAcceptedBeyondEnd, ()) {
  constexpr int kMaxMs = 100000;
  const duration remaining = milliseconds(*rc::gen::inRange(-1000, kMaxMs));
  const duration time_left = milliseconds(*rc::gen::inRange(0, kMaxMs));
  const duration expected = milliseconds(*rc::gen::inRange(1, kMaxMs));
  const auto kind = *rc::gen::element(request_idempotency::kNonIdempotent,
                                      request_idempotency::kIdempotent,
                                      request_idempotency::kResumableStream);
  const drain_decision decision =
      DecideWhileDraining({kind, time_left, expected}, remaining);
  RC_ASSERT((decision == drain_decision::kAccept) == (time_left <= remaining));
  if (decision == drain_decision::kLimitDeadline) {
    RC_ASSERT(expected <= remaining);
  }
}

}  // namespace
}  // namespace fireflyslip
