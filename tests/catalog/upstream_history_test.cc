#include <gtest/gtest.h>

#include "fireflyslip/catalog.h"

namespace fireflyslip {
namespace {

class upstream_history_test : public testing::Test {
 protected:
  static upstream_entry Entry(const std::string& id, bool draining = false) {
    upstream_entry entry;
    entry.id = upstream_id(id);
    entry.draining = draining;
    return entry;
  }
  static upstream_change Change(const std::string& id, bool draining = false) {
    return {upstream_id(id), Entry(id, draining)};
  }
  static upstream_change Removal(const std::string& id) {
    return {upstream_id(id), std::nullopt};
  }

  upstream_history history_;
};

// Guards against presenting the empty view of a relay that has just started.
TEST_F(upstream_history_test, NothingListed_AnyRevision_NoChanges) {
  EXPECT_FALSE(history_.HasChangesAfter({}));
  EXPECT_EQ(history_.position(), store_position{});
}

TEST_F(upstream_history_test, Since_UnknownRevision_CompleteList) {
  history_.Replace({Entry("a"), Entry("b")}, {1, 10});
  const upstream_changes changes = history_.Since({});
  EXPECT_TRUE(changes.complete);
  EXPECT_EQ(changes.changes.size(), 2U);
  EXPECT_EQ(changes.position, (store_position{1, 10}));
}

// Guards against sending the whole list where a difference does.
TEST_F(upstream_history_test, Since_KnownRevision_OnlyLaterChanges) {
  history_.Replace({Entry("a"), Entry("b")}, {1, 10});
  history_.Apply({Change("a", true), Removal("b")}, {1, 12});
  history_.Apply({Change("c")}, {1, 15});
  EXPECT_EQ(history_.Since({1, 10}).changes.size(), 3U);
  const upstream_changes last = history_.Since({1, 12});
  EXPECT_FALSE(last.complete);
  EXPECT_EQ(last.changes, std::vector<upstream_change>{Change("c")});
  EXPECT_FALSE(history_.HasChangesAfter({1, 15}));
}

// Guards against waking all processes for heartbeats, which change fields that
// nobody uses.
TEST_F(upstream_history_test, Apply_EqualEntry_NoChanges) {
  history_.Replace({Entry("a")}, {1, 10});
  history_.Apply({Change("a")}, {1, 11});
  EXPECT_FALSE(history_.HasChangesAfter({1, 10}));
  EXPECT_EQ(history_.position(), (store_position{1, 11}));
}

// Guards against an upstream that stays in the list after the store has
// compacted its removal and the kind is listed again.
TEST_F(upstream_history_test, Replace_EntryMissing_ReportedAsRemoved) {
  history_.Replace({Entry("a"), Entry("b")}, {1, 10});
  history_.Replace({Entry("a")}, {1, 20});
  EXPECT_EQ(history_.Since({1, 10}).changes,
            std::vector<upstream_change>{Removal("b")});
}

// Guards against going back to an older list, which a stale read may return.
TEST_F(upstream_history_test, Replace_OlderRevision_Ignored) {
  history_.Replace({Entry("a")}, {1, 20});
  history_.Replace({}, {1, 10});
  EXPECT_EQ(history_.Present().size(), 1U);
}

// Guards against unbounded memory, and against forgetting a removal that a
// process has not heard of.
TEST_F(upstream_history_test, Removals_MoreThanRemembered_CompleteListInstead) {
  upstream_history history(2);
  history.Replace({Entry("a"), Entry("b"), Entry("c"), Entry("d")}, {1, 10});
  history.Apply({Removal("a")}, {1, 11});
  history.Apply({Removal("b")}, {1, 12});
  history.Apply({Removal("c")}, {1, 13});
  EXPECT_TRUE(history.Since({1, 10}).complete);
  EXPECT_EQ(history.Since({1, 10}).changes,
            std::vector<upstream_change>{Change("d")});
  EXPECT_FALSE(history.Since({1, 11}).complete);
}

// Guards against a restored list that is taken for an old one, and against
// changes since a revision that the store has given out again.
TEST_F(upstream_history_test, Replace_NewerEra_CompleteForOlderPositions) {
  history_.Replace({Entry("a"), Entry("b")}, {1, 10});
  history_.Apply({Change("c")}, {1, 20});
  history_.Replace({Entry("a")}, {2, 8});
  EXPECT_TRUE(history_.HasChangesAfter({1, 20}));
  EXPECT_TRUE(history_.HasChangesAfter({1, 500}));
  const upstream_changes changes = history_.Since({1, 20});
  EXPECT_TRUE(changes.complete);
  EXPECT_EQ(changes.position, (store_position{2, 8}));
  EXPECT_EQ(changes.changes, std::vector<upstream_change>{Change("a")});
}

// Guards against sending the whole list for each change after a restore.
TEST_F(upstream_history_test, Apply_InNewerEra_OnlyLaterChanges) {
  history_.Replace({Entry("a"), Entry("b")}, {1, 10});
  history_.Replace({Entry("a"), Entry("b")}, {2, 8});
  EXPECT_FALSE(history_.HasChangesAfter({2, 8}));
  history_.Apply({Change("b", true)}, {2, 9});
  EXPECT_FALSE(history_.Since({2, 8}).complete);
  EXPECT_EQ(history_.Since({2, 8}).changes,
            std::vector<upstream_change>{Change("b", true)});
}

// Guards against a gateway that never learns that an upstream is alive which it
// does not take back from the copy.
TEST_F(upstream_history_test, Apply_HeartbeatOfReturnedEntry_OneChange) {
  upstream_change heartbeat = Change("a");
  history_.Replace({Entry("a"), Entry("b")}, {1, 10});
  history_.Apply({Removal("a")}, {1, 11});
  history_.Replace({Entry("a"), Entry("b")}, {2, 5});
  heartbeat.entry->sequence = 1;
  history_.Apply({heartbeat}, {2, 6});
  EXPECT_EQ(history_.Since({2, 5}).changes,
            std::vector<upstream_change>{heartbeat});
  heartbeat.entry->sequence = 2;
  history_.Apply({heartbeat}, {2, 7});
  EXPECT_FALSE(history_.HasChangesAfter({2, 6}));
}

// Guards against going back to the state before a restore.
TEST_F(upstream_history_test, Replace_OlderEra_Ignored) {
  history_.Replace({Entry("a")}, {2, 8});
  history_.Replace({}, {1, 100});
  EXPECT_EQ(history_.Present().size(), 1U);
  EXPECT_EQ(history_.position(), (store_position{2, 8}));
}

}  // namespace
}  // namespace fireflyslip
