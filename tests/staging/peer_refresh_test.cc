#include <gtest/gtest.h>

#include <deque>

#include "fireflyslip/staging.h"

namespace fireflyslip {
namespace {

/// \brief Agents of one data centre that fetch weights, in virtual time.
class peer_refresh_test : public testing::Test {
 protected:
  using source = peer_refresh::source;

  static constexpr std::size_t kAgents = 65;
  static constexpr milliseconds kStep{50};

  peer_refresh_test() {
    for (std::size_t i = 0; i < kAgents; ++i) {
      agents_.emplace_back(peer_refresh_policy{}, random_source(i));
    }
  }

  void LoseRelay() {
    has_relay_ = false;
    for (peer_refresh& agent : agents_) {
      agent.RecordRelayLost(now_);
    }
  }

  void Run(duration length, bool fetching) {
    for (const time_point end = now_ + length; now_ < end; now_ += kStep) {
      for (peer_refresh& agent : agents_) {
        const auto read = agent.Next(fetching, has_relay_, now_);
        relay_reads_ += read == source::kRelay ? 1 : 0;
        store_reads_ += read == source::kStore ? 1 : 0;
      }
    }
  }

  std::deque<peer_refresh> agents_;
  time_point now_ = time_point(seconds(100));
  bool has_relay_ = true;
  std::size_t relay_reads_ = 0;
  std::size_t store_reads_ = 0;
};

// Guards against a fleet whose agents all read the whole list of upstreams from
// the store while they fetch weights.
TEST_F(peer_refresh_test, Relay_InUse_StoreNotRead) {
  Run(seconds(30), true);
  EXPECT_EQ(store_reads_, 0U);
  EXPECT_GE(relay_reads_, kAgents * 19);
}

TEST_F(peer_refresh_test, Agent_NotFetching_NothingRead) {
  Run(seconds(30), false);
  EXPECT_EQ(store_reads_ + relay_reads_, 0U);
}

// Guards against lists that fill the link to the store at the moment at which
// the next relay has to read its first view over the same link.
TEST_F(peer_refresh_test, Relay_Lost_StoreReadsSpread) {
  Run(seconds(2), true);
  LoseRelay();
  Run(seconds(1), true);
  EXPECT_EQ(store_reads_, 0U);
  Run(milliseconds(500), true);
  EXPECT_LE(store_reads_, kAgents / 2);
  has_relay_ = true;
  const std::size_t before = store_reads_;
  Run(seconds(20), true);
  EXPECT_EQ(store_reads_, before);
}

// Guards against agents that start before the replicas are registered and each
// take themselves for the only one.
TEST_F(peer_refresh_test, Peers_None_StoreReadAgainSoon) {
  has_relay_ = false;
  Run(kStep, true);
  EXPECT_EQ(store_reads_, kAgents);
  for (peer_refresh& agent : agents_) {
    agent.RecordNoPeers(now_);
  }
  Run(seconds(2), true);
  EXPECT_EQ(store_reads_, kAgents * 2);
}

// Guards against agents that never learn of the replacement of their relays.
TEST_F(peer_refresh_test, Relay_LostForGood_EachAgentReadsStoreAtTimes) {
  LoseRelay();
  Run(seconds(3) + kStep, false);
  EXPECT_EQ(store_reads_, kAgents);
  Run(seconds(30), true);
  EXPECT_GE(store_reads_, kAgents * 4);
  EXPECT_LE(store_reads_, kAgents * 8);
}

}  // namespace
}  // namespace fireflyslip
