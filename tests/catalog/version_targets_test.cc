#include <gtest/gtest.h>

#include "fireflyslip/catalog.h"

namespace fireflyslip {
namespace {

class version_targets_test : public testing::Test {
 protected:
  version_targets_test() { targets_.RecordPlatformResponse(now_); }

  const model_name model_{"m"};
  time_point now_ = time_point(seconds(100));
  version_targets targets_{seconds(8)};
};

// Guards against requests that start on weights superseded for too long.
TEST_F(version_targets_test, SupersededAt_NewerPublished_AfterRolloutTime) {
  targets_.Publish(model_, 2, now_, now_);
  EXPECT_EQ(targets_.SupersededAt(model_, 1, now_), now_ + seconds(8));
  EXPECT_EQ(targets_.SupersededAt(model_, 2, now_), std::nullopt);
}

// Guards against a newer version that extends the deadline set by an earlier
// one.
TEST_F(version_targets_test,
       SupersededAt_TwoPublished_EachFromItsOwnPublication) {
  targets_.Publish(model_, 2, now_, now_);
  targets_.Publish(model_, 3, now_ + seconds(2), now_ + seconds(2));
  EXPECT_EQ(targets_.SupersededAt(model_, 1, now_), now_ + seconds(8));
  EXPECT_EQ(targets_.SupersededAt(model_, 2, now_), now_ + seconds(10));
}

// Guards against a rollout time that starts at the notice, not the publication.
TEST_F(version_targets_test, SupersededAt_LateNotice_FromPublication) {
  targets_.Publish(model_, 2, now_ - seconds(5), now_);
  EXPECT_EQ(targets_.SupersededAt(model_, 1, now_), now_ + seconds(3));
}

// Guards against refusing all requests during an outage of the platform, when
// replicas cannot get new weights.
TEST_F(version_targets_test, SupersededAt_PlatformOutage_OldVersionStaysInUse) {
  targets_.Publish(model_, 2, now_, now_);
  now_ += seconds(10);
  EXPECT_EQ(targets_.SupersededAt(model_, 1, now_), std::nullopt);
  targets_.RecordPlatformResponse(now_);
  EXPECT_EQ(targets_.SupersededAt(model_, 1, now_ + seconds(2)), std::nullopt);
  EXPECT_NE(targets_.SupersededAt(model_, 1, now_ + seconds(3)), std::nullopt);
}

// Guards against an older version whose publication arrives late.
TEST_F(version_targets_test, Publish_OlderVersion_Ignored) {
  targets_.Publish(model_, 3, now_, now_);
  targets_.Publish(model_, 2, now_ + seconds(1), now_ + seconds(1));
  EXPECT_EQ(targets_.Newest(model_), 3U);
}

// Guards against versions of one model that supersede those of another one.
TEST_F(version_targets_test, Publish_TwoModels_KeptApart) {
  const model_name other("other");
  targets_.Publish(model_, 1, now_, now_);
  targets_.Publish(other, 7, now_, now_);
  EXPECT_EQ(targets_.Newest(model_), 1U);
  EXPECT_EQ(targets_.Newest(other), 7U);
  EXPECT_EQ(targets_.SupersededAt(model_, 1, now_), std::nullopt);
}

}  // namespace
}  // namespace fireflyslip
