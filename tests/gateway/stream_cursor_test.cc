#include "gateway/stream_cursor.h"

#include <gtest/gtest.h>

namespace fireflyslip {
namespace {

class stream_cursor_test : public testing::Test {
 protected:
  stream_cursor cursor_{std::nullopt};
};

// Guards against half an event of an upstream that stops within it.
TEST_F(stream_cursor_test, Feed_PartOfEvent_HeldBack) {
  EXPECT_EQ(cursor_.Feed("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
  EXPECT_TRUE(cursor_.has_partial_event());
  EXPECT_EQ(cursor_.Feed("ta: b\n\n"), "id: 2\ndata: b\n\n");
  EXPECT_FALSE(cursor_.has_partial_event());
  EXPECT_EQ(cursor_.last_event(), 2U);
}

// Guards against events that come twice when another upstream goes on.
TEST_F(stream_cursor_test, Restart_RepeatedEvents_LeftOut) {
  cursor_.Feed("id: 1\n\nid: 2\n\nid: 3");
  cursor_.Restart();
  EXPECT_EQ(cursor_.Feed("id: 2\n\nid: 3\n\n"), "id: 3\n\n");
}

// Guards against events that the caller has from an earlier connection.
TEST_F(stream_cursor_test, Feed_CallerContinues_EarlierLeftOut) {
  stream_cursor cursor(7);
  EXPECT_EQ(cursor.Feed("id: 7\n\nid: 8\n\n"), "id: 8\n\n");
}

}  // namespace
}  // namespace fireflyslip
