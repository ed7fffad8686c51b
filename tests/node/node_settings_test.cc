#include "node/node_settings.h"

#include <gtest/gtest.h>

#include "fireflyslip/catalog.h"

namespace fireflyslip {
namespace {

class node_settings_test : public testing::Test {
 protected:
  static std::string Text(const std::string& more) {
    return R"({"vm": "e1", "address": "10.0.0.1", "data_centre": "akl-a",
      "region": "akl", "regions": {"akl-a": "akl"},
      "internal_ports": [7700, 7715], "platform": "10.0.0.9:80")" +
           more + "}";
  }

  result<node_settings> Parse(const std::string& text, node_role role) {
    return ParseNodeSettings(text, role, findings_);
  }

  std::vector<finding> findings_;
};

TEST_F(node_settings_test, Parse_Gateway_AllFields) {
  const auto settings =
      Parse(Text(R"(, "callers": "10.0.0.1:1", "ready": "10.0.0.1:2",
                     "key_revocation_ms": 5000, "upstream_drain_ms": 4000,
                     "link_mbps": 9.4, "memory_mb": 260)"),
            node_role::kGateway);
  ASSERT_TRUE(IsOk(settings)) << ErrorOf(settings).detail;
  EXPECT_EQ(ValueOf(settings).client_endpoint->port, 1);
  EXPECT_EQ(ValueOf(settings).ChunkEndpoint().port, 7701);
  EXPECT_EQ(ValueOf(settings).RelayPort(), 7703);
  EXPECT_EQ(ValueOf(settings).upstream_drain_timeout, milliseconds(4000));
  EXPECT_EQ(ValueOf(settings).RegionOf(data_centre_id("akl-a")),
            region_id("akl"));
  EXPECT_EQ(ValueOf(settings).RegionOf(data_centre_id("x")), region_id("x"));
}

// Guards against starting a daemon without a mandatory address.
TEST_F(node_settings_test, Parse_AddressMissing_Reported) {
  EXPECT_FALSE(IsOk(Parse(Text(""), node_role::kGateway)));
  ASSERT_EQ(findings_.size(), 2U);
  EXPECT_EQ(findings_[0].path, "$.callers");
}

TEST_F(node_settings_test, Parse_UnknownField_Reported) {
  EXPECT_FALSE(IsOk(
      Parse(Text(R"(, "engine": "10.0.0.1:3", "x": 1)"), node_role::kStager)));
  ASSERT_EQ(findings_.size(), 1U);
  EXPECT_EQ(findings_[0].path, "$.x");
}

// Guards against a gateway that uses superseded weights for a fixed part of the
// rollout timeout after its start, whatever grace the platform allows.
TEST_F(node_settings_test, Versions_FoundAtStart_OldOnesEndWithinGrace) {
  for (const int grace_ms : {500, 1000, 3000, 5000}) {
    const auto settings =
        Parse(Text(R"(, "engine": "10.0.0.1:3", "rollout_ms": 8000,
                "startup_grace_ms": )" +
                   std::to_string(grace_ms)),
              node_role::kStager);
    ASSERT_TRUE(IsOk(settings)) << ErrorOf(settings).detail;
    const time_point start(seconds(100));
    version_targets targets(ValueOf(settings).SupersededAfter());
    change_age age(start, ValueOf(settings).InitialVersionAge());
    targets.Publish(model_name("m"), 2, age.EarliestChange(start), start);
    // The reserve for notification and latency is kept.
    EXPECT_LE(*targets.SupersededAt(model_name("m"), 1, start),
              start + milliseconds(grace_ms) - milliseconds(400));
  }
}

TEST_F(node_settings_test, Parse_PortsMalformed_Reported) {
  std::string text = Text(R"(, "engine": "10.0.0.1:3")");
  text.replace(text.find("[7700, 7715]"), 12, "[0]");
  EXPECT_FALSE(IsOk(Parse(text, node_role::kStager)));
}

}  // namespace
}  // namespace fireflyslip
