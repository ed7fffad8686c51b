#include <gtest/gtest.h>

#include "fireflyslip/catalog.h"

namespace fireflyslip {
namespace {

class watch_freshness_test : public testing::Test {
 protected:
  const time_point sent_ = time_point(seconds(100));
  watch_freshness freshness_;
};

// Guards against keys that are accepted before anything is known.
TEST_F(watch_freshness_test, IsStale_NothingConfirmed_True) {
  EXPECT_TRUE(freshness_.IsStale(sent_, seconds(5)));
}

// Guards against an answer that was held up and counts from its arrival.
TEST_F(watch_freshness_test, ConfirmRead_LateArrival_CountsFromSend) {
  freshness_.ConfirmRead(sent_);
  EXPECT_FALSE(freshness_.IsStale(sent_ + seconds(5), seconds(5)));
  EXPECT_TRUE(
      freshness_.IsStale(sent_ + seconds(5) + milliseconds(1), seconds(5)));
}

// Guards against counting the wait of a quiet watch as age.
TEST_F(watch_freshness_test, ConfirmQuietWatch_CountsFromItsEnd) {
  freshness_.ConfirmEmptyWatch(sent_, seconds(2));
  EXPECT_EQ(freshness_.current_as_of(), sent_ + seconds(2));
}

// Guards against an older answer that makes knowledge older.
TEST_F(watch_freshness_test, ConfirmRead_Older_KeepsNewest) {
  freshness_.ConfirmRead(sent_);
  freshness_.ConfirmRead(sent_ - seconds(1));
  EXPECT_EQ(freshness_.current_as_of(), sent_);
}

}  // namespace
}  // namespace fireflyslip
