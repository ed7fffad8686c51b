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
  EXPECT_FALSE(history_.HasChangesAfter(0));
  EXPECT_EQ(history_.revision(), 0U);
}

TEST_F(upstream_history_test, Since_UnknownRevision_CompleteList) {
  history_.Replace({Entry("a"), Entry("b")}, 10);
  const upstream_changes changes = history_.Since(0);
  EXPECT_TRUE(changes.complete);
  EXPECT_EQ(changes.changes.size(), 2U);
  EXPECT_EQ(changes.revision, 10U);
}

// Guards against sending the whole list where a difference does.
TEST_F(upstream_history_test, Since_KnownRevision_OnlyLaterChanges) {
  history_.Replace({Entry("a"), Entry("b")}, 10);
  history_.Apply({Change("a", true), Removal("b")}, 12);
  history_.Apply({Change("c")}, 15);
  EXPECT_EQ(history_.Since(10).changes.size(), 3U);
  const upstream_changes last = history_.Since(12);
  EXPECT_FALSE(last.complete);
  EXPECT_EQ(last.changes, std::vector<upstream_change>{Change("c")});
  EXPECT_FALSE(history_.HasChangesAfter(15));
}

// Guards against waking all processes for heartbeats, which change fields that
// nobody uses.
TEST_F(upstream_history_test, Apply_EqualEntry_NoChanges) {
  history_.Replace({Entry("a")}, 10);
  history_.Apply({Change("a")}, 11);
  EXPECT_FALSE(history_.HasChangesAfter(10));
  EXPECT_EQ(history_.revision(), 11U);
}

// Guards against an upstream that stays in the list after the store has
// compacted its removal and the kind is listed again.
TEST_F(upstream_history_test, Replace_EntryMissing_ReportedAsRemoved) {
  history_.Replace({Entry("a"), Entry("b")}, 10);
  history_.Replace({Entry("a")}, 20);
  EXPECT_EQ(history_.Since(10).changes,
            std::vector<upstream_change>{Removal("b")});
}

// Guards against going back to an older list, which a stale read may return.
TEST_F(upstream_history_test, Replace_OlderRevision_Ignored) {
  history_.Replace({Entry("a")}, 20);
  history_.Replace({}, 10);
  EXPECT_EQ(history_.Present().size(), 1U);
}

// Guards against unbounded memory, and against forgetting a removal that a
// process has not heard of.
TEST_F(upstream_history_test, Removals_MoreThanRemembered_CompleteListInstead) {
  upstream_history history(2);
  history.Replace({Entry("a"), Entry("b"), Entry("c"), Entry("d")}, 10);
  history.Apply({Removal("a")}, 11);
  history.Apply({Removal("b")}, 12);
  history.Apply({Removal("c")}, 13);
  EXPECT_TRUE(history.Since(10).complete);
  EXPECT_EQ(history.Since(10).changes,
            std::vector<upstream_change>{Change("d")});
  EXPECT_FALSE(history.Since(11).complete);
}

}  // namespace
}  // namespace fireflyslip
