#include "fireflyslip/catalog/content_history.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace fireflyslip {
namespace {

constexpr std::size_t kMaxBytes = 1UL << 20;

class content_history_test : public testing::Test {
 protected:
  /// JSON with some members; `changed` differs between versions.
  static std::string Text(int members, int changed) {
    std::string text = "[";
    for (int i = 0; i < members; ++i) {
      text += R"({"name":"r-)" + std::to_string(i) + R"(","service":")" +
              std::to_string(i == members / 2 ? changed : 0) + "\"},";
    }
    return text + "{}]";
  }
  static std::size_t Inserted(const std::vector<content_change>& changes) {
    std::size_t bytes = 0;
    for (const content_change& change : changes) {
      for (const text_edit& edit : change.delta) {
        bytes += edit.inserted.size();
      }
    }
    return bytes;
  }
};

// Guards against a delta that does not yield the target.
RC_GTEST_PROP(text_delta_test,
              AnyTexts_DeltaApplied_Target,
              (const std::vector<std::uint8_t>& from,
               const std::vector<std::uint8_t>& to)) {
  const auto text = [](const std::vector<std::uint8_t>& picks) {
    std::string joined;
    for (const std::uint8_t pick : picks) {
      constexpr std::string_view kParts[] = {"a}", "b}", "c", "}", "{d}"};
      joined += kParts[pick % std::size(kParts)];
    }
    return joined;
  };
  const std::string base = text(from);
  const std::string target = text(to);
  const auto applied =
      ApplyTextDelta(base, MakeTextDelta(base, target), kMaxBytes);
  RC_ASSERT(applied == target);
}

// Guards against edits that read outside of the base or exhaust the memory.
TEST_F(content_history_test, Delta_OutsideOfBaseOrTooLong_Refused) {
  constexpr std::size_t kHuge = static_cast<std::size_t>(-1);
  EXPECT_FALSE(ApplyTextDelta("base", {{1, 4, ""}}, kMaxBytes));
  EXPECT_FALSE(ApplyTextDelta("base", {{5, 0, ""}}, kMaxBytes));
  EXPECT_FALSE(ApplyTextDelta("base", {{2, kHuge, ""}}, kMaxBytes));
  EXPECT_FALSE(ApplyTextDelta("base", {{0, 4, "more"}}, 7));
}

// Guards against changes of one member that cost as much as the whole content.
TEST_F(content_history_test, OneMember_Changed_CostsItsSize) {
  content_history history;
  history.Set(1, Text(1500, 0));
  const content_id known = history.newest().id;
  history.Set(2, Text(1500, 7));
  ASSERT_TRUE(history.HasChangesSince(known));
  EXPECT_LT(Inserted(history.Since(known)), 100U);
}

TEST_F(content_history_test, KnownVersion_SeveralBehind_BecomesNewest) {
  content_history history;
  history.Set(3, Text(50, 0));
  const versioned_content known = history.newest();
  for (int version = 4; version < 9; ++version) {
    history.Set(version, Text(50 + version, version));
  }
  const auto changed = ApplyChanges(known, history.Since(known.id), kMaxBytes);
  ASSERT_TRUE(changed);
  EXPECT_EQ(*changed, history.newest());
}

// Guards against a process that stays on its version because the relay does not
// know it: one that has just started, or that knows a forgotten or odd version.
TEST_F(content_history_test, UnknownVersion_Since_WholeContent) {
  content_history history(2);
  history.Set(1, Text(50, 1));
  const versioned_content forgotten = history.newest();
  for (int version = 2; version < 5; ++version) {
    history.Set(version, Text(50, version));
  }
  const versioned_content odd{{3, digest::Of("odd")}, "odd"};
  for (const versioned_content& known : {versioned_content{}, forgotten, odd}) {
    EXPECT_FALSE(history.HasChangesSince(known.id));
    const auto changed =
        ApplyChanges(known, history.Since(known.id), kMaxBytes);
    ASSERT_TRUE(changed);
    EXPECT_EQ(*changed, history.newest());
  }
}

// Guards against a mixed configuration: changes of another content are refused.
TEST_F(content_history_test, Changes_OfOtherContent_Refused) {
  content_history history;
  history.Set(1, Text(50, 0));
  const content_id from = history.newest().id;
  history.Set(2, Text(50, 1));
  std::vector<content_change> changes = history.Since(from);
  EXPECT_FALSE(ApplyChanges({from, Text(51, 0)}, changes, kMaxBytes));
  const versioned_content other{{1, digest::Of("other")}, "other"};
  EXPECT_FALSE(ApplyChanges(other, changes, kMaxBytes));
}

}  // namespace
}  // namespace fireflyslip
