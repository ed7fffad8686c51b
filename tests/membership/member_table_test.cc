#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "fireflyslip/membership.h"

namespace fireflyslip {
namespace {

using namespace member_event;  // NOLINT(google-build-using-namespace)
using enum member_state;
static_assert(decision_core<member_table>);

class member_table_test : public testing::Test {
 protected:
  std::vector<member_table::action> Send(const member_table::event& event) {
    return table_.Handle(event, now_);
  }

  void Connect(incarnation_number incarnation) {
    Send(connected{vm_, akl_, process_role::kAgent, incarnation});
  }

  void List(std::uint64_t revision, bool leaving) {
    Send(vm_list{revision,
                 {{vm_, akl_, process_role::kAgent, "l", "a", leaving}}});
  }

  member_state State() const { return table_.Find(vm_)->state; }
  bool Eligible() const { return table_.IsEligibleForNewWork(vm_, now_); }

  const vm_id vm_{"m1"};
  const data_centre_id akl_{"akl"};
  time_point now_{seconds(100)};
  member_table table_;
};

// Guards against assigning work to a member that is only listed, and against
// ignoring the list.
TEST_F(member_table_test, List_NewMember_JoinsUntilConnected) {
  List(1, false);
  EXPECT_EQ(State(), kJoining);
  EXPECT_FALSE(Eligible());
  Connect(1);
  EXPECT_EQ(State(), kLive);
  EXPECT_TRUE(Eligible());
  EXPECT_EQ(table_.Find(vm_)->link, "l");
  Send(vm_list{2, {}});
  EXPECT_EQ(State(), kLeaving);
  Send(link_lost{vm_, 1});
  EXPECT_EQ(State(), kGone);
  now_ += seconds(600);
  Send(tick{});
  EXPECT_EQ(table_.Find(vm_), nullptr);
}

// Guards against assigning work after a leaving notice because the list lags,
// and against assigning none to the process after its restart.
TEST_F(member_table_test, Notice_BeforeList_LeavesUntilRestart) {
  List(1, false);
  Connect(1);
  Send(leaving_notice{vm_, 1});
  List(2, false);
  EXPECT_EQ(State(), kLeaving);
  EXPECT_FALSE(Eligible());
  Connect(2);
  EXPECT_TRUE(Eligible());
  for (const member_table::event& stale :
       {member_table::event(leaving_notice{vm_, 1}),
        member_table::event(link_lost{vm_, 1}),
        member_table::event(
            connected{vm_, data_centre_id("x"), process_role::kEntry, 1})}) {
    EXPECT_THAT(Send(stale), testing::IsEmpty());
    EXPECT_TRUE(Eligible());
  }
}

// Guards against assigning work to a VM that is listed as leaving, also after a
// restart of its process, and against an outdated list that reverts the state.
TEST_F(member_table_test, List_BeforeNotice_LeavesUntilNewerList) {
  Connect(1);
  List(5, true);
  EXPECT_EQ(State(), kLeaving);
  Connect(2);
  List(4, false);
  EXPECT_FALSE(Eligible());
  List(6, false);
  EXPECT_TRUE(Eligible());
}

// Guards against keeping a silent link open, and against a late message of an
// old incarnation that refreshes its timeout.
TEST_F(member_table_test, Tick_SilentLink_IsClosed) {
  List(1, false);
  Connect(2);
  now_ += seconds(1);
  Send(heartbeat{vm_, 2});
  EXPECT_EQ(table_.NextDeadline(), now_ + seconds(3));
  now_ += seconds(2);
  Send(heartbeat{vm_, 1});
  EXPECT_THAT(Send(tick{}), testing::IsEmpty());
  now_ += seconds(1);
  EXPECT_FALSE(Eligible());
  EXPECT_THAT(
      Send(tick{}),
      testing::Contains(member_table::action(member_action::close_link{vm_})));
  EXPECT_EQ(State(), kSilent);
  EXPECT_EQ(table_.NextDeadline(), std::nullopt);
  Connect(2);
  EXPECT_TRUE(Eligible());
}

class pause_detector_test : public testing::Test {};

// Guards against a pause that is not detected or reported twice.
TEST_F(pause_detector_test, Observe_GapAboveBound_IsReportedOnce) {
  pause_detector detector(milliseconds(500));
  const time_point start{seconds(1)};
  EXPECT_EQ(detector.Observe(start), std::nullopt);
  EXPECT_EQ(detector.Observe(start + milliseconds(500)), std::nullopt);
  EXPECT_EQ(detector.Observe(start + seconds(2)), milliseconds(1500));
  EXPECT_EQ(detector.Observe(start + seconds(2)), std::nullopt);
}

}  // namespace
}  // namespace fireflyslip
