#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdint>
#include <tuple>
#include <vector>

#include "fireflyslip/placement.h"

namespace fireflyslip {
namespace {

class retry_window_test : public testing::Test {
 protected:
  /// Counts ten requests a second and takes as many retries as possible.
  int TakeDuring(seconds time, double allowance) {
    int taken = 0;
    for (int i = 0; i < 10 * time.count(); ++i) {
      now_ += milliseconds(100);
      window_.CountRequest(now_);
      while (window_.Take(now_, allowance)) {
        ++taken;
      }
    }
    return taken;
  }

  time_point now_ = time_point(seconds(100));
  retry_window window_{seconds(10), 0.2};
};

// Guards against retries that multiply the load of a failing service, and
// against a budget that cannot be used.
TEST_F(retry_window_test, Take_BeyondRatio_Refused) {
  TakeDuring(seconds(10), 0);
  for (int i = 0; i < 3; ++i) {
    const int taken = TakeDuring(seconds(10), 0);
    EXPECT_LE(taken, 20);
    EXPECT_GE(taken, 18);
    EXPECT_FALSE(window_.Take(now_, 0));
  }
  EXPECT_TRUE(window_.Take(now_, 1));
  EXPECT_FALSE(window_.Take(now_, 1));
}

// Guards against retries for requests that are no longer in the window.
TEST_F(retry_window_test, Take_RequestsExpired_Refused) {
  for (int i = 0; i < 100; ++i) {
    window_.CountRequest(now_);
  }
  now_ += seconds(10);
  EXPECT_FALSE(window_.Take(now_, 0));
}

// Guards against refusing all retries when several upstreams fail together
// after a time without retries.
TEST_F(retry_window_test, Take_AtOnceAfterQuietTime_SeveralTaken) {
  for (int i = 0; i < 100; ++i) {
    now_ += milliseconds(100);
    window_.CountRequest(now_);
  }
  int taken = 0;
  while (window_.Take(now_, 0)) {
    ++taken;
  }
  EXPECT_GE(taken, 3);
  EXPECT_LE(taken, 20);
}

// Guards against a budget that is used up by retries that were not sent.
TEST_F(retry_window_test, Return_NotSent_TakenAgain) {
  for (int i = 0; i < 100; ++i) {
    window_.CountRequest(now_);
  }
  now_ += milliseconds(200);
  while (window_.Take(now_, 0)) {
  }
  const time_point taken_at = now_;
  now_ += milliseconds(200);
  ASSERT_FALSE(window_.Take(now_, 0));
  window_.Return(taken_at, now_);
  EXPECT_TRUE(window_.Take(now_, 0));
  EXPECT_FALSE(window_.Take(now_, 0));
}

class retry_allowance_test : public testing::Test {
 protected:
  static constexpr time_point kStart{seconds(100)};

  retry_allowance allowance_{100, seconds(10), kStart};
};

// Guards against gateways that each take the part of a small fleet before they
// know how many others there are.
TEST_F(retry_allowance_test, Share_GatewaysUnknown_None) {
  allowance_.SetGatewayCount(0, kStart);
  EXPECT_EQ(allowance_.Share(kStart + seconds(20)), 0);
}

// Guards against a restarted process that uses a part which the process before
// it has used in the same window.
TEST_F(retry_allowance_test, Share_FirstWindow_GrowsFromZero) {
  allowance_.SetGatewayCount(5, kStart);
  EXPECT_EQ(allowance_.Share(kStart), 0);
  EXPECT_DOUBLE_EQ(allowance_.Share(kStart + seconds(5)), 5);
  EXPECT_DOUBLE_EQ(allowance_.Share(kStart + seconds(30)), 10);
}

// Guards against believing a count that starts from zero again because agents
// restart.
TEST_F(retry_allowance_test, Share_CountFallsForShortTime_Unchanged) {
  const time_point now = kStart + seconds(30);
  allowance_.SetGatewayCount(50, now);
  allowance_.SetGatewayCount(2, now + seconds(1));
  EXPECT_DOUBLE_EQ(allowance_.Share(now + seconds(1)), 1);
  allowance_.SetGatewayCount(25, now + seconds(6));
  EXPECT_DOUBLE_EQ(allowance_.Share(now + seconds(6)), 2);
}

class retry_window_property_test : public testing::Test {};

/// Number of times in a window that begins at `begin`.
double CountWithin(const std::vector<time_point>& sorted,
                   time_point begin,
                   duration length) {
  return static_cast<double>(
      std::lower_bound(sorted.begin(), sorted.end(), begin + length) -
      std::lower_bound(sorted.begin(), sorted.end(), begin));
}

// Guards against gateways whose retries together exceed the budget in some
// window, whatever their traffic is.
RC_GTEST_PROP(retry_window_property_test,
              Take_AnyTraffic_SumWithinBudgetOfEachWindow,
              ()) {
  constexpr double kRatio = 0.2;
  constexpr double kAllowance = 1;  // of each gateway
  const auto length = milliseconds(*rc::gen::inRange(100, 12000));
  const auto gateways = *rc::gen::inRange<std::size_t>(1, 6);
  std::vector<retry_window> windows(gateways, retry_window(length, kRatio));
  std::vector<time_point> requests;
  std::vector<time_point> retries;
  time_point now{seconds(100)};
  const auto phases = *rc::gen::inRange(1, 10);
  for (int phase = 0; phase < phases; ++phase) {
    // Requests and wanted retries of one phase are spread evenly over it.
    const auto [tenths, events, first, spread, wanted] = *rc::gen::tuple(
        rc::gen::inRange(0, 16), rc::gen::inRange(1, 300),
        rc::gen::inRange<std::size_t>(0, gateways),
        rc::gen::inRange<std::size_t>(1, gateways + 1), rc::gen::inRange(0, 3));
    const duration gap = length * tenths / 10 / events;
    for (int i = 0; i < events; ++i) {
      now += gap;
      const auto turn = static_cast<std::size_t>(i);
      retry_window& window = windows[(first + turn % spread) % gateways];
      window.CountRequest(now);
      requests.push_back(now);
      for (int j = 0; j < wanted && window.Take(now, kAllowance); ++j) {
        retries.push_back(now);
      }
    }
  }
  std::vector<time_point> begins = retries;
  for (const time_point at : requests) {
    for (const int half : {-1, 0, 1}) {
      begins.push_back(at + half * length / 2);
      begins.push_back(at + half * length / 2 + duration(1));
    }
  }
  for (const time_point begin : begins) {
    const double most =
        std::max({CountWithin(requests, begin, length),
                  CountWithin(requests, begin - length / 2, length),
                  CountWithin(requests, begin - length, length)});
    RC_ASSERT(CountWithin(retries, begin, length) <=
              kRatio * most + kAllowance * static_cast<double>(gateways));
  }
}

}  // namespace
}  // namespace fireflyslip
