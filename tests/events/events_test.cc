#include "fireflyslip/events.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <limits>
#include <string>

namespace fireflyslip {
namespace {

event_record RecordAt(hybrid_time time, const char* vm) {
  return {time, vm_id(vm), process_role::kAgent, event_kind::kOrderSent};
}

class event_kind_test : public testing::Test {};

// Guards against a kind that is missing in the table of names.
TEST_F(event_kind_test, ToString_EveryKind_ParsesBack) {
  for (int i = 0; i <= static_cast<int>(event_kind::kUpstreamRecovered); ++i) {
    const auto kind = static_cast<event_kind>(i);
    EXPECT_EQ(ParseEventKind(ToString(kind)), kind);
  }
}

class hybrid_clock_test : public testing::Test {
 protected:
  hybrid_clock clock_;
};

// Guards against ordering an effect before its cause when the physical clock
// stops, goes backwards or lags behind the clock of a peer.
TEST_F(hybrid_clock_test, Next_ClockBehind_StaysAboveAllEarlierTimes) {
  const hybrid_time first = clock_.Next(1000);
  EXPECT_LT(first, clock_.Next(1000));
  EXPECT_LT(first, clock_.Next(900));
  const hybrid_time remote{5000, std::numeric_limits<std::uint32_t>::max()};
  EXPECT_TRUE(clock_.Observe(remote, 1001));
  EXPECT_LT(remote, clock_.Next(1002));
  EXPECT_EQ(clock_.Next(6000), (hybrid_time{6000, 0}));
}

// Guards against one faulty clock that advances all others far into the future.
TEST_F(hybrid_clock_test, Observe_FarAhead_ChangesNothing) {
  EXPECT_FALSE(clock_.Observe({1000 + 60001, 0}, 1000));
  EXPECT_EQ(clock_.Next(1001).physical_ms, 1001U);
}

class event_log_test : public testing::Test {};

// Guards against a reader that silently misses overwritten records, or waits
// indefinitely after a restart of the process.
TEST_F(event_log_test, Since_OverwrittenRecords_ReportsLoss) {
  event_log log(3);
  for (std::uint64_t i = 0; i < 5; ++i) {
    EXPECT_EQ(log.Append(RecordAt({i, 0}, "a")), i);
  }
  const event_page page = log.Since(1);
  EXPECT_EQ(page.lost, 1U);
  EXPECT_EQ(page.next, 5U);
  EXPECT_EQ(page.records.front().time.physical_ms, 2U);
  EXPECT_THAT(log.Since(5).records, testing::IsEmpty());
  EXPECT_THAT(log.Since(9).records, testing::SizeIs(3));
  EXPECT_EQ(log.Since(2, 1).next, 3U);
}

class event_record_test : public testing::Test {};

// Guards against values that break the line format, and against a page that
// does not survive serialization for the timeline command.
TEST_F(event_record_test, ToLine_SpecialValues_AreQuoted) {
  event_record record = RecordAt({7, 1}, "akl-m1");
  record.request = request_id{vm_id("akl-e1"), 2, 3};
  record.workspace = workspace_id("bar-1");
  record.fields = {{"model", "cue"}, {"detail", "a \"b\"\nc"}, {"none", ""}};
  EXPECT_EQ(ToLine(record),
            "time=7.1 vm=akl-m1 role=agent kind=order_sent request=akl-e1.2.3 "
            "workspace=bar-1 model=cue detail=\"a \\\"b\\\"\\nc\" none=\"\"");
  const event_page page{4, 1, {record, RecordAt({8, 0}, "x")}};
  EXPECT_EQ(ParseEventPage(ToJson(page)), result<event_page>(page));
  for (const char* text : {"", "[]", R"({"next":1,"lost":0})",
                           R"({"next":1,"lost":0,"records":[{"time":1}]})"}) {
    EXPECT_FALSE(IsOk(ParseEventPage(text))) << text;
  }
}

class timeline_test : public testing::Test {};

// Guards against records that are out of order and against an ignored filter.
TEST_F(timeline_test, Merge_TwoProcesses_OrdersAndFilters) {
  event_record wanted = RecordAt({2, 1}, "a");
  wanted.request = request_id{vm_id("e"), 1, 1};
  const std::vector<std::vector<event_record>> timelines = {
      {RecordAt({1, 0}, "a"), wanted},
      {RecordAt({1, 0}, "b"), RecordAt({2, 0}, "b")}};
  const auto merged = MergeTimelines(timelines);
  EXPECT_THAT(merged, testing::ElementsAre(timelines[0][0], timelines[1][0],
                                           timelines[1][1], wanted));
  EXPECT_THAT(MergeTimelines(timelines, {.request = wanted.request}),
              testing::ElementsAre(wanted));
  EXPECT_THAT(MergeTimelines(timelines, {.vm = vm_id("b")}),
              testing::SizeIs(2));
  EXPECT_THAT(MergeTimelines(timelines, {.workspace = workspace_id("w")}),
              testing::IsEmpty());
  EXPECT_THAT(MergeTimelines(timelines, {.kind = event_kind::kClaimWritten}),
              testing::IsEmpty());
}

}  // namespace
}  // namespace fireflyslip
