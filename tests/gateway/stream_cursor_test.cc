#include "gateway/stream_cursor.h"

#include <gtest/gtest.h>

namespace fireflyslip {
namespace {

class stream_cursor_test : public testing::Test {
 protected:
  stream_cursor cursor_{std::nullopt};
};

// Guards against forwarding a partial event when an upstream fails within it.
TEST_F(stream_cursor_test, Feed_PartialEvent_Buffered) {
  EXPECT_EQ(cursor_.Feed("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
  EXPECT_TRUE(cursor_.has_partial_event());
  EXPECT_EQ(cursor_.Feed("ta: b\n\n"), "id: 2\ndata: b\n\n");
  EXPECT_FALSE(cursor_.has_partial_event());
  EXPECT_EQ(cursor_.last_event_id(), 2U);
}

// Guards against duplicate events when another upstream resumes the stream.
TEST_F(stream_cursor_test, Restart_RepeatedEvents_Dropped) {
  cursor_.Feed("id: 1\n\nid: 2\n\nid: 3");
  cursor_.Restart();
  EXPECT_EQ(cursor_.Feed("id: 2\n\nid: 3\n\n"), "id: 3\n\n");
}

// Guards against events that the client received on an earlier connection.
TEST_F(stream_cursor_test, Feed_ClientResumes_EarlierEventsDropped) {
  stream_cursor cursor(7);
  EXPECT_EQ(cursor.Feed("id: 7\n\nid: 8\n\n"), "id: 8\n\n");
}

}  // namespace
}  // namespace fireflyslip
