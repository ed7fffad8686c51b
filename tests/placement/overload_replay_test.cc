#include <gtest/gtest.h>

#include "placement/virtual_fleet.h"

namespace fireflyslip::testing_support {
namespace {

/// Replays demand in front of engines in virtual time.
class overload_replay_test : public testing::Test {
 protected:
  /// Share of the requests whose first event has to be in time, from the size
  /// that the system is designed for.
  static constexpr double kInTime = 0.95;

  /// The ordinary demand of a fleet of nine engines: 1.36 of what they can
  /// serve, of which the two urgent kinds need two thirds of the capacity.
  static std::vector<stream_kind> Demand(double scale) {
    return {{35.1 * scale, 787, 101, milliseconds(400)},
            {32.6 * scale, 607, 70, milliseconds(400)},
            {46.3 * scale, 1290, 101, milliseconds(1000)}};
  }
};

// Guards against entries that all send to the engine that looked emptiest in
// the last report, so that it reads their prompts in one long pass and all of
// its streams pause.
TEST_F(overload_replay_test, Play_BeyondCapacity_UrgentInTime) {
  virtual_fleet fleet(placement_policy(), 6, 9, 1);
  fleet.Play(Demand(1.0), seconds(30));
  EXPECT_GE(fleet.Outcome(0).begun_in_time_share(), kInTime);
  EXPECT_GE(fleet.Outcome(1).begun_in_time_share(), kInTime);
}

// Guards against background work that is kept out while there is room.
TEST_F(overload_replay_test, Play_HalfOfCapacity_AllInTime) {
  virtual_fleet fleet(placement_policy(), 6, 9, 1);
  fleet.Play(Demand(0.4), seconds(30));
  for (int urgency = 0; urgency < 3; ++urgency) {
    EXPECT_GE(fleet.Outcome(urgency).begun_in_time_share(), kInTime) << urgency;
  }
}

}  // namespace
}  // namespace fireflyslip::testing_support
