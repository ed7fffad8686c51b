#include "fireflyslip/admission.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "admission/share_network.h"

namespace fireflyslip {
namespace {

using testing_support::network_faults;
using testing_support::share_network;

constexpr double kRounding = 1e-9;

class share_ledger_test : public testing::Test {};

// Guards against a sum of shares above the contract while messages are lost,
// duplicated or delayed, gateways restart or are partitioned, and clocks drift.
TEST_F(share_ledger_test, Step_FaultyNetwork_SumNeverExceedsContract) {
  double max_share = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    random_source random(seed);
    // Half of the runs have delays beyond the lifetime of a grant.
    share_network network(
        5,
        {0.2, 0.2, seed % 2 == 0 ? milliseconds(5000) : milliseconds(300),
         0.01},
        seed);
    for (int step = 0; step < 6000; ++step) {
      if (step % 100 == 0) {
        network.SetDemand(random.Below(5),
                          random.Below(2) == 0 ? 0.0 : random.Fraction());
      }
      if (step % 500 == 0) {
        network.SetPartition(random.Below(5),
                             static_cast<int>(random.Below(2)));
      }
      if (step % 700 == 699) {
        network.Restart(random.Below(5));
      }
      network.Step();
      ASSERT_LE(network.sum(), 1 + kRounding)
          << "seed " << seed << " step " << step;
      max_share = std::max(max_share, network.share(0));
    }
  }
  EXPECT_GT(max_share, 0.4) << "lending did not take place";
}

// Guards against idle gateways that keep their shares, so that a single busy
// gateway cannot use the contract.
TEST_F(share_ledger_test, Step_OneBusyGateway_BorrowsMostOfContract) {
  share_network network(8, {}, 1);
  network.SetDemand(0, 1);
  double min_share = 1;
  for (int step = 0; step < 3000; ++step) {
    network.Step();
    if (network.now() > time_point(seconds(8))) {
      min_share = std::min(min_share, network.share(0));
    }
  }
  EXPECT_GT(min_share, 0.8);
  // The share returns to its owner after the grants expire.
  network.SetDemand(0, 0);
  network.SetDemand(1, 1.0 / 8);
  for (int step = 0; step < 400; ++step) {
    network.Step();
  }
  EXPECT_GE(network.share(1), 1.0 / 8 - kRounding);
}

// Guards against shares that stay lent or unused during a partition.
TEST_F(share_ledger_test, Step_Partition_FallsBackToStaticShares) {
  share_network network(4, {}, 1);
  network.SetDemand(0, 1);
  for (int step = 0; step < 1000; ++step) {
    network.Step();
  }
  for (std::size_t gateway = 0; gateway < 4; ++gateway) {
    network.SetPartition(gateway, static_cast<int>(gateway));
  }
  for (int step = 0; step < 400; ++step) {
    network.Step();
  }
  for (std::size_t gateway = 0; gateway < 4; ++gateway) {
    EXPECT_NEAR(network.share(gateway), 0.25, kRounding);
  }
}

}  // namespace
}  // namespace fireflyslip
