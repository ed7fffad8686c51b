#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "staging/virtual_rollout.h"

namespace fireflyslip {
namespace {

class rollout_replay_test : public testing::Test {
 protected:
  /// Copies of the weights that the origin may send.
  static constexpr double kMaxOriginCopies = 4;

  struct outage {
    milliseconds away;  // after the version was named
    milliseconds length;
    bool hangs;

    std::string Describe(std::size_t agents) const {
      return std::to_string(agents) + " agents, away from " +
             std::to_string(away.count()) + " ms for " +
             std::to_string(length.count()) + " ms" +
             (hangs ? ", calls hang" : "");
    }
  };

  /// Outages to replay. The replay of a large fleet takes long.
  static std::vector<outage> Outages(std::size_t agents_per_region) {
    std::vector<outage> outages = {
        {milliseconds(1800), milliseconds(6000), false},
        {milliseconds(0), milliseconds(6000), false},
    };
    if (agents_per_region <= 6) {
      outages.push_back({milliseconds(1800), milliseconds(2000), false});
      outages.push_back({milliseconds(1800), milliseconds(12000), false});
      outages.push_back({milliseconds(1000), milliseconds(6000), false});
      outages.push_back({milliseconds(0), milliseconds(12000), false});
      outages.push_back({milliseconds(1800), milliseconds(6000), true});
      outages.push_back({milliseconds(0), milliseconds(6000), true});
    }
    return outages;
  }

  static virtual_rollout Replay(const outage& absence,
                                std::size_t agents_per_region,
                                duration after_return) {
    virtual_rollout::parameters options;
    options.agents_per_region = agents_per_region;
    options.origin_lifetime = absence.away;
    options.origin_outage = absence.length;
    options.origin_hangs = absence.hangs;
    virtual_rollout rollout(options);
    rollout.Run(absence.away + absence.length + after_return);
    return rollout;
  }
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

// Guards against agents that take an outage of the origin for a failure of the
// agents that ask it, and all turn to the origin at its return: it sent 8.7
// copies, each of them late, and the first replica had the version 12 s after
// the return (trouble-1 of the large site).
TEST_F(rollout_replay_test, Origin_AwayAndBack_CompleteWithFourCopies) {
  for (const std::size_t agents : {4U, 6U, 20U, 60U}) {
    for (const outage& absence : Outages(agents)) {
      const virtual_rollout rollout = Replay(absence, agents, seconds(12));
      const std::string name = absence.Describe(rollout.size());
      EXPECT_EQ(rollout.Complete(), rollout.size()) << name;
      EXPECT_LE(rollout.origin_copies(), kMaxOriginCopies) << name;
    }
  }
}

// Guards against a rollout that takes longer after the return of the origin
// than the target for rollouts with failures.
TEST_F(rollout_replay_test, Origin_AwayAndBack_WithinTargetAfterReturn) {
  for (const std::size_t agents : {4U, 6U, 20U, 60U}) {
    for (const outage& absence : Outages(agents)) {
      const virtual_rollout rollout = Replay(absence, agents, seconds(12));
      const std::string name = absence.Describe(rollout.size());
      const auto completion = rollout.Completion();
      EXPECT_TRUE(completion) << name;
      EXPECT_LE(completion.value_or(seconds(3600)),
                absence.away + absence.length + rollout.FluidBound() * 3 / 2)
          << name;
    }
  }
}

// Guards against an agent whose failure is taken for an outage of the origin:
// others must replace it, whether it is silent or only cut off from the origin.
TEST_F(rollout_replay_test, Fetcher_FailsOrCutOff_Replaced) {
  for (const bool cut_off : {false, true}) {
    for (const auto& [away, outage] :
         {std::pair(milliseconds(500), milliseconds(0)),
          std::pair(milliseconds(1800), milliseconds(6000))}) {
      for (const std::size_t agents : {4U, 6U, 20U}) {
        virtual_rollout::parameters options;
        options.agents_per_region = agents;
        options.origin_lifetime = away;
        options.origin_outage = outage;
        (cut_off ? options.agents_cut_from_origin : options.failed_agents) = 1;
        virtual_rollout rollout(options);
        rollout.Run(seconds(40));
        EXPECT_EQ(rollout.Complete(), rollout.size()) << agents << cut_off;
        EXPECT_LE(rollout.origin_copies(), kMaxOriginCopies)
            << agents << cut_off;
      }
    }
  }
}

}  // namespace
}  // namespace fireflyslip
