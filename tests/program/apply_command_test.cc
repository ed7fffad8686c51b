#include "program/apply_command.h"

#include <gtest/gtest.h>

#include <string>

#include "standins/platform_standin.h"
#include "standins/standin_client.h"

namespace fireflyslip {
namespace {

class apply_command_test : public testing::Test {
 protected:
  static std::string Body(const std::string& change_id) {
    return R"({"change_id":")" + change_id + R"("})";
  }

  void Control(const std::string& settings) {
    EXPECT_EQ(control_.Status("POST", "/control", settings), 200U);
  }

  result<std::uint64_t> Write(
      const std::string& change_id,
      std::optional<std::uint64_t> expected = std::nullopt) {
    return WriteUpdate(client_, Body(change_id), change_id, expected);
  }

  standins::platform_standin platform_;
  standins::standin_host host_{platform_};
  standins::standin_client control_{host_.port()};
  operator_client client_{{"127.0.0.1", host_.port()}};
};

// Guards against an accepted update that is reported as failed or written twice
// after its response was lost.
TEST_F(apply_command_test, WriteUpdate_LostAnswer_IsReadBack) {
  ASSERT_TRUE(IsOk(Write("first")));
  Control(R"({"lose_answers":1})");
  const auto written = Write("second");
  ASSERT_TRUE(IsOk(written)) << ErrorOf(written).detail;
  EXPECT_EQ(ValueOf(written), 2U);
  const auto read = client_.ReadConfiguration();
  ASSERT_TRUE(IsOk(read) && ValueOf(read));
  EXPECT_EQ(ValueOf(read)->body, Body("second"));
  EXPECT_EQ(ValueOf(read)->version, 2U);
}

// Guards against an update that overwrites the update of another operator.
TEST_F(apply_command_test, WriteUpdate_OtherRevision_IsConflict) {
  ASSERT_TRUE(IsOk(Write("first", 0)));
  ASSERT_TRUE(IsOk(Write("second", 1)));
  const auto written = Write("third", 1);
  ASSERT_FALSE(IsOk(written));
  EXPECT_EQ(ErrorOf(written).kind, error_kind::kConflict);
  EXPECT_EQ(ReportFailure(ErrorOf(written)), kExitConflict);
}

// Guards against an outage that is reported as an unknown outcome.
TEST_F(apply_command_test, WriteUpdate_Outage_IsPlatformUnavailable) {
  Control(R"({"outage":true})");
  const auto written = Write("first");
  ASSERT_FALSE(IsOk(written));
  EXPECT_EQ(ErrorOf(written).kind, error_kind::kPlatformUnavailable);
  EXPECT_EQ(ReportFailure(ErrorOf(written)), kExitUnreachable);
}

}  // namespace
}  // namespace fireflyslip
