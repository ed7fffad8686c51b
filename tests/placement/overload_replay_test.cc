#include <gtest/gtest.h>

#include "placement/virtual_fleet.h"

namespace fireflyslip::testing_support {
namespace {

/// Simulates an overloaded fleet in virtual time.
class overload_replay_test : public testing::Test {
 protected:
  /// Required share of requests whose first event is in time. It applies from
  /// the fleet size that the system is designed for.
  static constexpr double kOnTime = 0.95;

  /// Sustained demand on a fleet of nine engines: 1.36 times their capacity, of
  /// which the two urgent kinds need two thirds.
  static std::vector<stream_kind> Demand(double scale) {
    return {{35.1 * scale, 787, 101, milliseconds(400)},
            {32.6 * scale, 607, 70, milliseconds(400)},
            {46.3 * scale, 1290, 101, milliseconds(1000)}};
  }
};

// Guards against gateways that all send to the engine with the lowest load in
// the last report: it processes their prompts in one long prefill pass, and all
// of its streams stall.
TEST_F(overload_replay_test, Play_BeyondCapacity_UrgentInTime) {
  virtual_fleet fleet(placement_policy(), 6, 9, 1);
  fleet.Play(Demand(1.0), seconds(30));
  for (int urgency = 0; urgency < 2; ++urgency) {
    const kind_outcome outcome = fleet.Outcome(urgency);
    EXPECT_GE(outcome.Share(outcome.started_on_time), kOnTime) << urgency;
  }
}

// Guards against background requests that are queued until they are late: four
// in five of those that are served have to be in time.
TEST_F(overload_replay_test, Play_BeyondCapacity_BackgroundServedInTime) {
  virtual_fleet fleet(placement_policy(), 6, 9, 1);
  fleet.Play(Demand(1.0), seconds(30));
  const kind_outcome outcome = fleet.Outcome(2);
  EXPECT_GE(outcome.on_time, 4 * outcome.late);
}

// Guards against refusing background requests while there is free capacity.
TEST_F(overload_replay_test, Play_HalfOfCapacity_AllInTime) {
  virtual_fleet fleet(placement_policy(), 6, 9, 1);
  fleet.Play(Demand(0.4), seconds(30));
  for (int urgency = 0; urgency < 3; ++urgency) {
    const kind_outcome outcome = fleet.Outcome(urgency);
    EXPECT_GE(outcome.Share(outcome.started_on_time), kOnTime) << urgency;
  }
}

}  // namespace
}  // namespace fireflyslip::testing_support
