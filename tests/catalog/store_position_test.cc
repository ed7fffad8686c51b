#include <gtest/gtest.h>

#include "fireflyslip/catalog.h"

namespace fireflyslip {
namespace {

class watch_position_test : public testing::Test {
 protected:
  using outcome = watch_position::outcome;

  outcome List(const store_position& at) {
    return position_.ReceiveList(position_.era(), at);
  }
  outcome Changes(const store_position& at) {
    return position_.ReceiveChanges(position_.known(), at);
  }

  watch_position position_;
};

// Guards against taking the higher revision of an older copy for the newer
// state.
TEST_F(watch_position_test, Positions_Compared_ByEraThenRevision) {
  EXPECT_LT((store_position{1, 100}), (store_position{2, 5}));
  EXPECT_LT((store_position{1, 5}), (store_position{1, 100}));
}

TEST_F(watch_position_test, Nothing_Known_MustList) {
  EXPECT_TRUE(position_.MustList());
  EXPECT_EQ(List({1, 10}), outcome::kApplied);
  EXPECT_FALSE(position_.MustList());
}

// Guards against changes after a revision that the store has given out again.
TEST_F(watch_position_test, Changes_OfNewerEra_NotAppliedAndListed) {
  List({1, 10});
  EXPECT_EQ(Changes({2, 12}), outcome::kSuperseded);
  EXPECT_TRUE(position_.MustList());
  EXPECT_EQ(List({2, 8}), outcome::kApplied);
  EXPECT_EQ(position_.known(), (store_position{2, 8}));
  EXPECT_FALSE(position_.MustList());
  EXPECT_EQ(Changes({2, 9}), outcome::kApplied);
}

// Guards against the same if a list was read while the watch was in progress.
TEST_F(watch_position_test, Changes_SentInOlderEraThanListed_NotApplied) {
  List({1, 10});
  const store_position sent = position_.known();
  List({2, 8});
  EXPECT_EQ(position_.ReceiveChanges(sent, {2, 12}), outcome::kSuperseded);
  EXPECT_EQ(position_.known(), (store_position{2, 8}));
  EXPECT_FALSE(position_.MustList());
}

// Guards against going back to the state before a restore.
TEST_F(watch_position_test, Response_OfOlderEra_NotApplied) {
  List({2, 8});
  EXPECT_EQ(List({1, 100}), outcome::kOutdated);
  EXPECT_EQ(Changes({1, 100}), outcome::kOutdated);
  EXPECT_EQ(position_.ReceiveChanges({1, 50}, {1, 100}), outcome::kSuperseded);
  EXPECT_EQ(position_.ReceiveList(1, {1, 100}), outcome::kSuperseded);
  EXPECT_EQ(position_.known(), (store_position{2, 8}));
}

// Guards against a restore that is noticed only when the store works again.
TEST_F(watch_position_test, Failure_OfNewerEra_Listed) {
  List({1, 10});
  position_.ObserveEra(2);
  EXPECT_TRUE(position_.MustList());
}

// Guards against older changes after those known from a relay.
TEST_F(watch_position_test, Response_OlderThanAdvanced_NotApplied) {
  List({1, 10});
  const store_position sent = position_.known();
  position_.Advance({1, 20});
  EXPECT_EQ(position_.ReceiveChanges(sent, {1, 15}), outcome::kSuperseded);
  EXPECT_EQ(position_.ReceiveChanges(sent, {1, 25}), outcome::kApplied);
}

// Guards against a list where a relay has provided the state after a restore.
TEST_F(watch_position_test, Advance_ToNewerEra_NoList) {
  List({1, 10});
  position_.ObserveEra(2);
  position_.Advance({2, 5});
  EXPECT_FALSE(position_.MustList());
  position_.Advance({1, 500});
  EXPECT_EQ(position_.known(), (store_position{2, 5}));
}

// Guards against a list that is not accepted after the history is gone, and
// against losing a position that a relay has provided meanwhile.
TEST_F(watch_position_test, Compacted_ListedUnlessAdvanced) {
  List({1, 10});
  position_.RecordCompacted({1, 10});
  EXPECT_TRUE(position_.MustList());
  EXPECT_EQ(List({1, 4}), outcome::kApplied);
  position_.Advance({1, 20});
  position_.RecordCompacted({1, 4});
  EXPECT_FALSE(position_.MustList());
}

}  // namespace
}  // namespace fireflyslip
