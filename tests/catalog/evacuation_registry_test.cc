#include "fireflyslip/catalog/evacuation_registry.h"

#include <gtest/gtest.h>

#include <optional>

namespace fireflyslip {
namespace {

class evacuation_registry_test : public testing::Test {
 protected:
  void Handle(const evacuation_registry::event& event) {
    for (const auto& action : core_.Handle(event, now_)) {
      known_ = std::get<evacuation_registry::publish>(action).data_centres;
    }
  }

  const data_centre_id akl_{"akl"};
  const data_centre_id wlg_{"wlg"};
  time_point now_ = time_point(seconds(100));
  evacuation_registry core_{seconds(30)};
  std::optional<evacuated_set> known_;
};

// Guards against taking the set for empty before it has been read.
TEST_F(evacuation_registry_test, Change_BeforeFirstList_NotPublished) {
  Handle(evacuation_registry::changed{akl_, true});
  Handle(tick{});
  EXPECT_FALSE(known_);
  Handle(evacuation_registry::listed{});
  EXPECT_EQ(known_, evacuated_set{});
  Handle(evacuation_registry::changed{akl_, true});
  EXPECT_EQ(known_, evacuated_set{akl_});
  Handle(evacuation_registry::changed{akl_, false});
  EXPECT_EQ(known_, evacuated_set{});
}

// Guards against requests to an evacuated data centre because the store has
// come back from a copy without the evacuation, and against an evacuation that
// is never over because of that.
TEST_F(evacuation_registry_test, Restore_MissingInCopy_KeptForGrace) {
  Handle(evacuation_registry::listed{{akl_, wlg_}});
  Handle(evacuation_registry::listed{{wlg_}, /*restored=*/true});
  Handle(evacuation_registry::listed{{wlg_}});
  EXPECT_EQ(known_, (evacuated_set{akl_, wlg_}));
  now_ = core_.NextDeadline().value();
  EXPECT_EQ(now_, time_point(seconds(130)));
  Handle(tick{});
  EXPECT_EQ(known_, evacuated_set{wlg_});
}

// Guards against keeping an evacuation that was written again after a restore
// and then ended.
TEST_F(evacuation_registry_test, Restore_WrittenAgainAndEnded_Ended) {
  Handle(evacuation_registry::listed{{akl_, wlg_}});
  Handle(evacuation_registry::listed{{}, /*restored=*/true});
  Handle(evacuation_registry::listed{{akl_}});
  Handle(evacuation_registry::listed{{}});
  EXPECT_EQ(known_, evacuated_set{wlg_});
  Handle(evacuation_registry::changed{wlg_, false});
  EXPECT_EQ(known_, evacuated_set{});
  EXPECT_FALSE(core_.NextDeadline());
}

}  // namespace
}  // namespace fireflyslip
