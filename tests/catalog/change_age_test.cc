#include "fireflyslip/catalog/change_age.h"

#include <gtest/gtest.h>

namespace fireflyslip {
namespace {

class change_age_test : public testing::Test {
 protected:
  /// Confirms every 0.2 s that all changes are known.
  void Follow(duration length) {
    for (const time_point end = now_ + length; now_ < end;
         now_ += milliseconds(200)) {
      age_.Observe(now_);
      age_.ConfirmCurrent(now_);
    }
  }

  time_point now_ = time_point(seconds(100));
  change_age age_{now_, seconds(4)};
};

// Guards against giving up the older version early after each publication.
TEST_F(change_age_test, EarliestChange_Following_Now) {
  Follow(seconds(2));
  EXPECT_EQ(age_.EarliestChange(now_), now_);
}

// Guards against a pause of the process that extends the use of a superseded
// version: the change may have been made at its beginning.
TEST_F(change_age_test, EarliestChange_ResumedFromPause_BeforeThePause) {
  Follow(seconds(2));
  const time_point known = *age_.current_as_of();
  now_ += seconds(4);
  EXPECT_EQ(age_.EarliestChange(now_), known);
}

// Guards against a response from before the pause that hides it.
TEST_F(change_age_test, EarliestChange_OldConfirmationAfterPause_NotLater) {
  Follow(seconds(2));
  const time_point paused_at = now_;
  now_ += seconds(4);
  age_.Observe(now_);
  age_.ConfirmCurrent(paused_at + milliseconds(50));
  now_ += milliseconds(10);
  EXPECT_EQ(age_.EarliestChange(now_), paused_at + milliseconds(50));
  Follow(seconds(1));
  EXPECT_EQ(age_.EarliestChange(now_), now_);
}

// Guards against a failed connection that extends the use of a superseded
// version.
TEST_F(change_age_test, EarliestChange_RequestFailed_LastConfirmation) {
  Follow(seconds(2));
  const time_point known = *age_.current_as_of();
  for (int i = 0; i < 10; ++i) {
    now_ += milliseconds(200);
    age_.Observe(now_);
  }
  age_.RecordInterruption(now_);
  EXPECT_EQ(age_.EarliestChange(now_), known);
}

// Guards against a restart of the process that restarts the rollout time,
// however long its first list takes.
TEST_F(change_age_test, EarliestChange_FirstList_AssumedAgeBeforeStart) {
  const time_point started = now_;
  for (int i = 0; i < 10; ++i) {
    now_ += milliseconds(200);
    age_.Observe(now_);
  }
  EXPECT_EQ(age_.EarliestChange(now_), started - seconds(4));
}

}  // namespace
}  // namespace fireflyslip
