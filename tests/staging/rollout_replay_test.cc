#include <gtest/gtest.h>

#include "staging/virtual_rollout.h"

namespace fireflyslip {
namespace {

class rollout_replay_test : public testing::Test {
 protected:
  /// Copies of the weights that the origin may send.
  static constexpr double kMaxOriginCopies = 4;
};

// Guards against a rollout that stalls because the origin fails soon after a
// version was named: its link must carry the first copy before any other one.
// Seen when the origin was away 2.5 s after the start; the first replica then
// had the version 11 s later (trouble-1 of the large site).
TEST_F(rollout_replay_test, Origin_FailsAfterOneCopy_AllAgentsComplete) {
  for (const std::size_t agents : {4U, 6U, 31U}) {
    virtual_rollout::parameters options;
    options.agents_per_region = agents;
    options.origin_lifetime = milliseconds(2500);
    virtual_rollout rollout(options);
    rollout.Run(seconds(9));
    EXPECT_EQ(rollout.Complete(), rollout.size()) << agents;
    EXPECT_LE(rollout.origin_copies(), kMaxOriginCopies) << agents;
  }
}

// Guards against more copies from the origin than its link may carry, at the
// sizes to which the fleet grows.
TEST_F(rollout_replay_test, Origin_Available_AtMostFourCopies) {
  for (const std::size_t agents : {6U, 20U, 60U}) {
    virtual_rollout::parameters options;
    options.agents_per_region = agents;
    virtual_rollout rollout(options);
    rollout.Run(seconds(12));
    EXPECT_EQ(rollout.Complete(), rollout.size()) << agents;
    EXPECT_LE(rollout.origin_copies(), kMaxOriginCopies) << agents;
  }
}

}  // namespace
}  // namespace fireflyslip
