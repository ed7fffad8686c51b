#include "node/evidence_queue.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <vector>

namespace fireflyslip {
namespace {

class evidence_queue_test : public testing::Test {
 protected:
  /// \brief Parts 1 to 60; the later ones were at more crashes.
  evidence_queue_test() {
    std::vector<crash_evidence> evidence;
    for (prompt_part part = 1; part <= 60; ++part) {
      evidence.push_back({part, false, {}, {}});
      for (crash_id crash = 0; crash < part / 6 + 1; ++crash) {
        evidence.back().crashes[crash] = {};
      }
    }
    known_.Merge(evidence, now_);
    queue_.Add(known_.ChangedSince(time_point(), now_));
  }

  time_point now_{std::chrono::seconds(100)};
  crash_attribution known_;
  evidence_queue queue_{200};
};

// Guards against evidence that may block a part and waits behind the rest.
TEST_F(evidence_queue_test, Take_MoreThanLimit_MostCrashesFirst) {
  const std::vector<crash_evidence> first = queue_.Take(known_, now_);
  ASSERT_FALSE(first.empty());
  EXPECT_LT(first.size(), 60U);
  EXPECT_EQ(first.front().part, 60U);
  EXPECT_FALSE(queue_.empty());
}

// Guards against evidence that is dropped because the limit was reached.
TEST_F(evidence_queue_test, Take_Again_RestFollows) {
  std::size_t taken = 0;
  for (int i = 0; i < 100; ++i, now_ += std::chrono::seconds(1)) {
    taken += queue_.Take(known_, now_).size();
  }
  EXPECT_EQ(taken, 60U);
  EXPECT_TRUE(queue_.empty());
}

}  // namespace
}  // namespace fireflyslip
