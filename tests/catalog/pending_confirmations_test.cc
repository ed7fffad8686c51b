#include <gtest/gtest.h>

#include "fireflyslip/catalog.h"

namespace fireflyslip {
namespace {

class pending_confirmations_test : public testing::Test {
 protected:
  static time_point At(int ms) { return time_point(milliseconds(ms)); }

  pending_confirmations pending_;
};

TEST_F(pending_confirmations_test, Version_InForce_LatestTimeConfirmed) {
  pending_.Announce(3, At(100));
  pending_.Announce(3, At(900));
  EXPECT_EQ(pending_.TakeConfirmed(3), At(900));
  EXPECT_EQ(pending_.TakeConfirmed(3), std::nullopt);
}

// Guards against accepting revoked keys: the state as of a later version is
// unknown until its content has been read.
TEST_F(pending_confirmations_test, Version_Older_NotConfirmed) {
  pending_.Announce(4, At(100));
  EXPECT_EQ(pending_.TakeConfirmed(3), std::nullopt);
  EXPECT_EQ(pending_.TakeConfirmed(5), At(100));
}

// Guards against keys that count as current because the store confirms a
// version whose content this process has not read.
TEST_F(pending_confirmations_test, StoreConfirms_ContentNotRead_NotConfirmed) {
  constexpr std::uint64_t kInForce = 3;
  pending_.Announce(4, At(100));  // by a relay
  pending_.Announce(std::max<std::uint64_t>(kInForce, 4), At(2000));
  EXPECT_EQ(pending_.TakeConfirmed(kInForce), std::nullopt);
  EXPECT_EQ(pending_.TakeConfirmed(4), At(2000));
}

// Guards against keys that expire while configurations come in quick
// succession, so that all requests are refused (trouble-1 of the grown third
// site, 30 to 34 s): every 0.33 s a version, every 0.7 s a read of the newest.
TEST_F(pending_confirmations_test, Versions_QuickSuccession_AgeStaysBounded) {
  constexpr int kVersionInterval = 330;  // ms
  constexpr int kReadInterval = 700;     // ms
  constexpr milliseconds kMaxAge{2500};
  std::uint64_t newest = 1;
  std::uint64_t in_force = 1;
  time_point confirmed = At(0);
  for (int now = 0; now < 20'000; now += 10) {
    if (now % kVersionInterval == 0) {
      ++newest;
    }
    if (now % kReadInterval == 0) {
      in_force = newest;
    }
    pending_.Announce(newest, At(now));
    confirmed = pending_.TakeConfirmed(in_force).value_or(confirmed);
    EXPECT_LE(At(now) - confirmed, kMaxAge);
  }
}

}  // namespace
}  // namespace fireflyslip
