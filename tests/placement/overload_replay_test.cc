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
  for (int urgency = 0; urgency < 2; ++urgency) {
    const kind_outcome outcome = fleet.Outcome(urgency);
    EXPECT_GE(outcome.Share(outcome.begun_in_time), kInTime) << urgency;
  }
}

// Guards against background requests that are held until they are late: of
// those that are served, four in five are in time.
TEST_F(overload_replay_test, Play_BeyondCapacity_BackgroundServedInTime) {
  virtual_fleet fleet(placement_policy(), 6, 9, 1);
  fleet.Play(Demand(1.0), seconds(30));
  const kind_outcome outcome = fleet.Outcome(2);
  EXPECT_GE(outcome.in_time, 4 * outcome.late);
}

// Guards against background work that is kept out while there is room.
TEST_F(overload_replay_test, Play_HalfOfCapacity_AllInTime) {
  virtual_fleet fleet(placement_policy(), 6, 9, 1);
  fleet.Play(Demand(0.4), seconds(30));
  for (int urgency = 0; urgency < 3; ++urgency) {
    const kind_outcome outcome = fleet.Outcome(urgency);
    EXPECT_GE(outcome.Share(outcome.begun_in_time), kInTime) << urgency;
  }
}

}  // namespace
}  // namespace fireflyslip::testing_support
