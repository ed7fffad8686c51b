#include <gtest/gtest.h>

#include "fireflyslip/catalog.h"

namespace fireflyslip {
namespace {

class watch_freshness_test : public testing::Test {
 protected:
  const time_point sent_ = time_point(seconds(100));
  watch_freshness freshness_;
};

// Guards against accepting keys before any state is known.
TEST_F(watch_freshness_test, IsStale_NothingConfirmed_True) {
  EXPECT_TRUE(freshness_.IsStale(sent_, seconds(5)));
}

// Guards against a delayed response that counts from its arrival.
TEST_F(watch_freshness_test, ConfirmRead_LateArrival_CountsFromSend) {
  freshness_.ConfirmRead(sent_);
  EXPECT_FALSE(freshness_.IsStale(sent_ + seconds(5), seconds(5)));
  EXPECT_TRUE(
      freshness_.IsStale(sent_ + seconds(5) + milliseconds(1), seconds(5)));
}

// Guards against counting the wait of a watch without events as age.
TEST_F(watch_freshness_test, ConfirmEmptyWatch_CountsFromItsEnd) {
  freshness_.ConfirmEmptyWatch(sent_, seconds(2));
  EXPECT_EQ(freshness_.current_as_of(), sent_ + seconds(2));
}

// Guards against an older response that moves the time backwards.
TEST_F(watch_freshness_test, ConfirmRead_Older_KeepsNewest) {
  freshness_.ConfirmRead(sent_);
  freshness_.ConfirmRead(sent_ - seconds(1));
  EXPECT_EQ(freshness_.current_as_of(), sent_);
}

}  // namespace
}  // namespace fireflyslip
