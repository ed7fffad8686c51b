#include <gtest/gtest.h>

#include "fireflyslip/placement.h"

namespace fireflyslip {
namespace {

class retry_window_test : public testing::Test {
 protected:
  time_point now_ = time_point(seconds(100));
  retry_window window_{seconds(10), 0.2};
};

// Guards against retries that multiply the load of a failing service.
TEST_F(retry_window_test, Take_BeyondRatio_Refused) {
  for (int i = 0; i < 10; ++i) {
    window_.CountRequest(now_);
  }
  EXPECT_TRUE(window_.Take(now_, 0));
  EXPECT_TRUE(window_.Take(now_, 0));
  EXPECT_FALSE(window_.Take(now_, 0));
  EXPECT_TRUE(window_.Take(now_, 1));
}

// Guards against retries for requests that are no longer in the window.
TEST_F(retry_window_test, Take_RequestsExpired_Refused) {
  for (int i = 0; i < 10; ++i) {
    window_.CountRequest(now_);
  }
  now_ += seconds(10);
  EXPECT_FALSE(window_.Take(now_, 0));
}

}  // namespace
}  // namespace fireflyslip
