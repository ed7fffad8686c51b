#include "program/fleet_snapshot.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <nlohmann/json.hpp>
#include <string>

namespace fireflyslip {
namespace {

class fleet_snapshot_test : public testing::Test {
 protected:
  static nlohmann::json Entry(const std::string& vm) {
    return {{"vm", vm},
            {"data_centre", "akl"},
            {"role", "agent"},
            {"link", "127.0.0.1:9080"},
            {"admin", "127.0.0.1:9180"},
            {"state", "leaving"}};
  }
};

// Guards against a malformed entry that makes the other VMs of the list
// unusable.
TEST_F(fleet_snapshot_test, ParseVmList_MalformedEntries_AreSkipped) {
  nlohmann::json list = {Entry("a1"), 7, nullptr, nlohmann::json::object()};
  for (const char* field : {"vm", "role", "link", "admin"}) {
    for (const nlohmann::json& value :
         {nlohmann::json(), nlohmann::json(5), nlohmann::json(""),
          nlohmann::json::array()}) {
      nlohmann::json entry = Entry("bad");
      entry[field] = value;
      list.push_back(entry);
    }
  }
  const result<fleet_members> parsed = ParseVmList(list.dump());
  ASSERT_TRUE(IsOk(parsed));
  ASSERT_EQ(ValueOf(parsed).size(), 1U);
  const fleet_member& member = ValueOf(parsed).at(vm_id("a1"));
  EXPECT_TRUE(member.leaving);
  EXPECT_EQ(member.link, (http_endpoint{"127.0.0.1", 9080}));
}

// Guards against a crash of the parser on a truncated or corrupted list.
RC_GTEST_FIXTURE_PROP(fleet_snapshot_test,
                      ParseVmList_DamagedText_IsParsedOrRefused,
                      ()) {
  std::string text = nlohmann::json({Entry("a1"), Entry("a2")}).dump();
  const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
  if (*rc::gen::arbitrary<bool>()) {
    text.resize(position);
  } else {
    text[position] = *rc::gen::arbitrary<char>();
  }
  const result<fleet_members> parsed = ParseVmList(text);
  const std::size_t members = IsOk(parsed) ? ValueOf(parsed).size() : 0;
  RC_ASSERT(members <= 2);
}

}  // namespace
}  // namespace fireflyslip
