#include "standins/platform_standin.h"

#include <gtest/gtest.h>

#include <future>

#include "standin_client.h"

namespace fireflyslip::standins {
namespace {

class platform_standin_test : public testing::Test {
 protected:
  unsigned Create(const std::string& body) {
    return client_.Status("PUT", kObject, body, {{"If-None-Match", "*"}});
  }
  unsigned Replace(const std::string& version, const std::string& body) {
    return client_.Status("PUT", kObject, body,
                          {{"If-Match", '"' + version + '"'}});
  }

  static constexpr const char* kObject = "/v1/objects/fence/a1";
  platform_standin platform_;
  standin_host host_{platform_};
  standin_client client_{host_.port()};
};

// Guards against lost updates: of two concurrent writers only one may succeed.
TEST_F(platform_standin_test, Put_StaleVersion_IsRefused) {
  EXPECT_EQ(Create("one"), 200);
  EXPECT_EQ(Create("other"), 412);
  EXPECT_EQ(Replace("1", "two"), 200);
  EXPECT_EQ(Replace("1", "three"), 412);
  EXPECT_EQ(client_.Status("PUT", kObject, "four"), 428);
  const auto read = client_.Send("GET", kObject);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->body(), "two");
  EXPECT_EQ((*read)["ETag"], "\"2\"");
}

// Guards against accepting a value above the size limit of the platform.
TEST_F(platform_standin_test, Put_ValueAboveLimit_IsRefused) {
  EXPECT_EQ(Create(std::string(1'000'001, 'x')), 413);
  EXPECT_EQ(Create(std::string(1'000'000, 'x')), 200);
}

// Guards against a watch that misses a write or returns without one.
TEST_F(platform_standin_test, Watch_LaterWrite_ReturnsNewVersion) {
  const std::string watch = std::string(kObject) + "?watch=1&since=1&wait_ms=";
  ASSERT_EQ(Create("one"), 200);
  EXPECT_EQ(client_.Status("GET", watch + "20"), 204);
  auto waiting = std::async(
      std::launch::async, [&] { return client_.Send("GET", watch + "20000"); });
  ASSERT_EQ(Replace("1", "two"), 200);
  const auto answer = waiting.get();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->body(), "two");
}

// Guards against dropping the write along with its response. A caller without a
// response must have to read the object back.
TEST_F(platform_standin_test, Put_LostAnswer_TakesEffect) {
  ASSERT_EQ(client_.Status("POST", "/control", R"({"lose_answers":1})"), 200);
  EXPECT_EQ(Create("one"), 0);
  EXPECT_EQ(client_.Send("GET", kObject)->body(), "one");
  EXPECT_EQ(Replace("1", "two"), 200);
}

// Guards against applying a write during an outage.
TEST_F(platform_standin_test, Put_Outage_HasNoEffect) {
  ASSERT_EQ(client_.Status("POST", "/control", R"({"outage":true})"), 200);
  EXPECT_EQ(Create("one"), 503);
  ASSERT_EQ(client_.Status("POST", "/control", R"({"outage":false})"), 200);
  EXPECT_EQ(client_.Status("GET", kObject), 404);
}

// Guards against a VM list that shows a change before the lag has elapsed, or
// never.
TEST_F(platform_standin_test, ListVms_Lag_ShowsChangeAfterLag) {
  const auto put_vm = [&](const std::string& lag) {
    EXPECT_EQ(client_.Status("POST", "/control", lag), 200);
    EXPECT_EQ(
        client_.Status("PUT", "/control/vms/a1", R"({"state":"leaving"})"),
        200);
  };
  put_vm(R"({"vm_list_lag_ms":1})");
  const auto later = client_.Send("GET", "/v1/vms?since=1&wait_ms=20000");
  ASSERT_TRUE(later);
  EXPECT_EQ(later->body(), R"([{"state":"leaving","vm":"a1"}])");
  put_vm(R"({"vm_list_lag_ms":3600000})");
  EXPECT_EQ(client_.Status("GET", "/v1/vms?since=2&wait_ms=20"), 204);
}

}  // namespace
}  // namespace fireflyslip::standins
