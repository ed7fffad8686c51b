#include <gtest/gtest.h>

#include "fireflyslip/catalog.h"

namespace fireflyslip {
namespace {

class route_table_test : public testing::Test {
 protected:
  static route Route(const std::string& name,
                     const std::string& host,
                     const std::string& prefix) {
    route entry;
    entry.name = name;
    entry.host = host;
    entry.path_prefix = prefix;
    entry.services = {{service_name("s"), 1}};
    return entry;
  }

  const route_table table_{std::vector<route>{
      Route("short", "a.example", "/x/"), Route("long", "a.example", "/x/y/"),
      Route("other", "b.example", "/x/")}};
};

// Guards against a short prefix that hides a longer one.
TEST_F(route_table_test, Find_TwoPrefixes_LongestWins) {
  EXPECT_EQ(table_.Find("a.example", "/x/y/1")->name, "long");
  EXPECT_EQ(table_.Find("a.example", "/x/z")->name, "short");
}

// Guards against hosts that differ in case or carry a port.
TEST_F(route_table_test, Find_HostWithPortAndCase_Matches) {
  EXPECT_EQ(table_.Find("B.Example:8080", "/x/1")->name, "other");
}

// Guards against a match of a path that shares only part of a path segment.
TEST_F(route_table_test, Find_NoPrefix_Null) {
  EXPECT_EQ(table_.Find("a.example", "/xy/"), nullptr);
  EXPECT_EQ(table_.Find("c.example", "/x/"), nullptr);
}

}  // namespace
}  // namespace fireflyslip
