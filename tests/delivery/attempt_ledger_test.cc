#include "fireflyslip/delivery/attempt_ledger.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "delivery/delivery_test.h"

namespace fireflyslip {
namespace {

using namespace delivery;  // NOLINT(google-build-using-namespace)

class attempt_ledger_test : public testing::Test {
 protected:
  using actions = std::vector<attempt_ledger::action>;

  actions Send(const attempt_ledger::event& event) {
    return core_.Handle(event, now_);
  }
  bool Arrive(std::uint64_t sequence) {
    return !Select<admit>(Send(attempt_arrived{Attempt(sequence)})).empty();
  }
  void Start(std::uint64_t sequence) {
    EXPECT_TRUE(Arrive(sequence));
    EXPECT_TRUE(Send(run_started{Attempt(sequence)}).empty());
  }
  void Finish(std::uint64_t sequence) {
    attempt_end end;
    end.status = 200;
    Send(run_ended{Attempt(sequence), end});
  }
  attempt_status Status(std::uint64_t sequence) {
    const auto statuses = Select<send_attempt_status>(
        Send(attempt_status_queried{Attempt(sequence)}));
    EXPECT_EQ(statuses.size(), 1U);
    return statuses.at(0).state;
  }

  time_point now_{};
  attempt_ledger_settings settings_;
  attempt_ledger core_{settings_};
  const entry_id entry_{vm_id("entry"), 1};
};

// Guards against a `not_run` that a delayed message invalidates.
TEST_F(attempt_ledger_test, StatusQuery_NeverArrived_RefusesLateArrival) {
  EXPECT_EQ(Status(1), attempt_status::kRefused);
  const auto late = Send(attempt_arrived{Attempt(1)});
  EXPECT_TRUE(Select<admit>(late).empty());
  const auto ends = Select<send_end>(late);
  ASSERT_EQ(ends.size(), 1U);
  EXPECT_EQ(ends[0].end.result, outcome::kNotRun);
  EXPECT_EQ(Status(1), attempt_status::kRefused);
}

// Guards against running an attempt again after a duplicate message.
TEST_F(attempt_ledger_test, Arrival_Repeated_IsAdmittedOnce) {
  Start(1);
  EXPECT_FALSE(Arrive(1));
  Finish(1);
  EXPECT_FALSE(Arrive(1));
  Send(acknowledged{Attempt(1)});
  EXPECT_FALSE(Arrive(1));
  EXPECT_EQ(Status(1), attempt_status::kCompleted);
}

// Guards against a run that starts after its refusal was reported.
TEST_F(attempt_ledger_test, Start_AfterCancel_IsStopped) {
  EXPECT_TRUE(Arrive(1));
  EXPECT_EQ(Select<stop_run>(Send(cancel{Attempt(1)})).size(), 1U);
  EXPECT_EQ(Select<stop_run>(Send(run_started{Attempt(1)})).size(), 1U);
  Send(cancel{Attempt(2)});
  EXPECT_FALSE(Arrive(2));
}

// Guards against refusing an attempt that already runs as `not_run`.
TEST_F(attempt_ledger_test, Refuse_Running_IsIgnored) {
  Start(1);
  EXPECT_TRUE(Send(refuse_attempt{Attempt(1)}).empty());
  EXPECT_EQ(Status(1), attempt_status::kRunning);
}

// Guards against losing parts that were sent while the link was broken.
TEST_F(attempt_ledger_test, Resume_LostLink_ReplaysKeptParts) {
  Start(1);
  Send(part_produced{Attempt(1), model_version("v1"), "a"});
  Send(link_lost{entry_});
  EXPECT_TRUE(
      Send(part_produced{Attempt(1), model_version("v1"), "b"}).empty());
  Finish(1);
  const auto replayed = Send(link_resumed{entry_});
  const auto parts = Select<send_part>(replayed);
  ASSERT_EQ(parts.size(), 2U);
  EXPECT_EQ(parts[1].offset, 1U);
  EXPECT_EQ(Select<send_end>(replayed).at(0).end.parts, 2U);
  Send(acknowledged{Attempt(1)});
  EXPECT_EQ(core_.kept_bytes(), 0U);
  EXPECT_TRUE(Send(link_resumed{entry_}).empty());
}

// Guards against unbounded memory use, and against a replay with missing parts.
TEST_F(attempt_ledger_test, Parts_AboveByteLimit_EndAsUnknown) {
  settings_.max_kept_bytes = 10;
  core_ = attempt_ledger(settings_);
  Start(1);
  Start(2);
  Send(part_produced{Attempt(1), model_version("v1"), std::string(8, 'x')});
  Finish(1);
  Send(part_produced{Attempt(2), model_version("v1"), std::string(8, 'y')});
  EXPECT_EQ(core_.kept_bytes(), 8U);
  Send(link_lost{entry_});
  const auto replayed = Send(link_resumed{entry_});
  EXPECT_EQ(Select<send_part>(replayed).size(), 1U);
  EXPECT_EQ(Select<send_end>(replayed).at(0).end.kind,
            error_kind::kOutcomeUnknown);
  now_ += settings_.answer_retention;
  Finish(2);
  now_ += settings_.answer_retention;
  Send(tick{});
  EXPECT_EQ(core_.kept_bytes(), 0U);
  EXPECT_EQ(core_.open_attempts(), 0U);
}

// Guards against an answer that combines two model versions.
TEST_F(attempt_ledger_test, Part_OtherVersion_EndsAttempt) {
  Start(1);
  Send(part_produced{Attempt(1), model_version("v1"), "a"});
  const auto mixed = Send(part_produced{Attempt(1), model_version("v2"), "b"});
  EXPECT_TRUE(Select<send_part>(mixed).empty());
  EXPECT_EQ(Select<stop_run>(mixed).size(), 1U);
  EXPECT_EQ(Select<send_end>(mixed).at(0).end.kind,
            error_kind::kVersionChanged);
}

// Guards against a discarded attempt that runs again or is reported as
// `not_run`.
TEST_F(attempt_ledger_test, Arrival_BelowLowWaterMark_IsUnknown) {
  settings_.max_remembered = 2;
  core_ = attempt_ledger(settings_);
  Start(1);  // Remains open below the mark.
  for (std::uint64_t sequence = 2; sequence <= 6; ++sequence) {
    Start(sequence);
    Finish(sequence);
    Send(acknowledged{Attempt(sequence)});
  }
  const auto repeated = Send(attempt_arrived{Attempt(2)});
  EXPECT_TRUE(Select<admit>(repeated).empty());
  EXPECT_EQ(Select<send_end>(repeated).at(0).end.result, outcome::kUnknown);
  EXPECT_EQ(Status(3), attempt_status::kUnknown);
  EXPECT_EQ(Status(1), attempt_status::kRunning);
  EXPECT_TRUE(Arrive(7));
}

// Guards against memory use that grows with each restart of an entry.
TEST_F(attempt_ledger_test, Entry_Idle_IsDiscarded) {
  Start(1);
  now_ += settings_.entry_retention * 2;
  Send(tick{});
  EXPECT_EQ(Status(1), attempt_status::kRunning);
  Finish(1);
  Send(acknowledged{Attempt(1)});
  now_ += settings_.entry_retention * 2;
  Send(tick{});
  EXPECT_FALSE(core_.NextDeadline());
}

}  // namespace
}  // namespace fireflyslip
