#include "fireflyslip/contract.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <nlohmann/json.hpp>
#include <string>

#include "core/thread_cpu_time.h"

namespace fireflyslip {
namespace {

using nlohmann::json;
using testing::AllOf;
using testing::Contains;
using testing::Field;
using testing::SizeIs;

json ValidConfiguration() {
  const std::string hex(64, 'a');
  return json::parse(R"({
    "change_id": "1", "entries": {"akl": 2, "wlg": 1},
    "workspaces": {"bar-1": {
      "key_digest": ")" +
                     hex + R"(", "weight": 2,
      "requests_per_second": 20, "tokens_per_second": 4000,
      "burst_seconds": 2, "ranks": {
        "urgent": {"target_ms": 360, "deadline_ms": 2000, "floor_share": 0.7},
        "standard": {"target_ms": 9, "deadline_ms": 9, "floor_share": 0.2},
        "background": {"target_ms": 1, "deadline_ms": 60, "floor_share": 0.1}
      }}},
    "models": {"cue": {"version": "v2", "manifest_digest": ")" +
                     hex + R"(",
                       "serving_share": 0.5}},
    "services": {"bookings": {"non_idempotent": ["POST /bookings"]}},
    "upstreams": {
      "akl-m2": {"data_centre": "akl", "model": "cue", "checks_fencing": true},
      "akl-m1": {"data_centre": "akl", "model": "cue"},
      "akl-b1": {"data_centre": "akl", "service": "bookings"}}})");
}

json ValidSettings() {
  const json address = {{"address", "127.0.0.1"}, {"port", 8080}};
  return {{"vm", "akl-e1"},          {"data_centre", "akl"},
          {"region", "north"},       {"listen", address},
          {"link", address},         {"admin", address},
          {"platform", address},     {"shared_key", "secret"},
          {"tls", {{"mode", "off"}}}};
}

auto IsFinding(finding_kind kind, const std::string& path) {
  return AllOf(Field(&finding::kind, kind), Field(&finding::path, path));
}

class configuration_test : public testing::Test {
 protected:
  static std::vector<finding> CheckChanged(const std::string& pointer,
                                           const json& value) {
    json document = ValidConfiguration();
    document[json::json_pointer(pointer)] = value;
    return CheckConfiguration(document.dump());
  }
};

// Guards against a check whose time grows with the square of the rows of a
// document. Eight times as many would take 64 times as long.
TEST_F(configuration_test, Check_MoreRows_TimeInProportion) {
  const auto check = [](std::size_t rows) {
    const std::string text = json{{"rows", json(rows, json::object())}}.dump();
    return CpuTimeOf([&] { CheckConfiguration(text); });
  };
  constexpr std::size_t kRows = 10'000;
  EXPECT_LT(check(8 * kRows), 24 * check(kRows));
}

// Guards against a serialized configuration that parses to a different one.
TEST_F(configuration_test, ToJson_ValidConfiguration_RoundTrips) {
  const auto parsed = ParseConfiguration(ValidConfiguration().dump());
  ASSERT_TRUE(IsOk(parsed)) << ErrorOf(parsed).detail;
  const configuration& value = ValueOf(parsed);
  EXPECT_EQ(value.EntryCount(), 3U);
  EXPECT_EQ(value.Find(workspace_id("bar-1"))
                ->ObjectivesOf(request_rank::kUrgent)
                .target,
            milliseconds(360));
  EXPECT_EQ(ParseConfiguration(ToJson(value)), parsed);
}

// Guards against an error that is accepted or reported at the wrong path.
TEST_F(configuration_test, Check_OneFault_ReportsKindAndPath) {
  using enum finding_kind;
  const std::string bar = "/workspaces/bar-1";
  const struct {
    std::string pointer;
    json value;
    finding_kind kind;
    std::string path;
  } cases[] = {
      {"/extra", 1, kUnknownField, "$.extra"},
      {bar + "/ranks/urgent/target_s", 1, kUnknownField,
       "$.workspaces.bar-1.ranks.urgent.target_s"},
      {bar + "/requests_per_second", 0, kInvalidValue,
       "$.workspaces.bar-1.requests_per_second"},
      {bar + "/weight", -1, kInvalidValue, "$.workspaces.bar-1.weight"},
      {bar + "/tokens_per_second", "20/s", kWrongType,
       "$.workspaces.bar-1.tokens_per_second"},
      {bar + "/ranks/urgent/floor_share", 0.75, kInconsistency,
       "$.workspaces.bar-1.ranks"},
      {bar + "/ranks/urgent/deadline_ms", 359, kInconsistency,
       "$.workspaces.bar-1.ranks.urgent.deadline_ms"},
      {bar + "/ranks/urgent/deadline_ms", 2000.5, kWrongType,
       "$.workspaces.bar-1.ranks.urgent.deadline_ms"},
      {bar + "/key_digest", "aa", kInvalidValue,
       "$.workspaces.bar-1.key_digest"},
      {"/workspaces/bar-2", ValidConfiguration()["workspaces"]["bar-1"],
       kInconsistency, "$.workspaces"},
      {"/workspaces/a~1b", ValidConfiguration()["workspaces"]["bar-1"],
       kInvalidValue, "$.workspaces[\"a/b\"]"},
      {"/entries/akl", -1, kInvalidValue, "$.entries.akl"},
      {"/entries/akl", 4294967298, kInvalidValue, "$.entries.akl"},
      {"/models/cue/serving_share", 1, kInvalidValue,
       "$.models.cue.serving_share"},
      {"/services/bookings/non_idempotent/0", "post /a", kInvalidValue,
       "$.services.bookings.non_idempotent"},
      {"/upstreams/akl-m1/service", "bookings", kInconsistency,
       "$.upstreams.akl-m1"},
      {"/upstreams/x",
       {{"data_centre", "akl"}},
       kInconsistency,
       "$.upstreams.x"},
      {"/upstreams/akl-m1/model", "other", kInconsistency,
       "$.upstreams.akl-m1.model"},
      {"/upstreams/akl-b1/service", "other", kInconsistency,
       "$.upstreams.akl-b1.service"},
      {"/upstreams/x", json::object(), kMissingField,
       "$.upstreams.x.data_centre"},
  };
  for (const auto& c : cases) {
    EXPECT_THAT(CheckChanged(c.pointer, c.value),
                Contains(IsFinding(c.kind, c.path)))
        << c.pointer << " " << c.value;
  }
}

// Guards against a check that stops at the first error.
TEST_F(configuration_test, Check_TwoFaults_ReportsBoth) {
  json document = ValidConfiguration();
  document["extra"] = 1;
  document["models"]["cue"]["version"] = 2;
  EXPECT_THAT(CheckConfiguration(document.dump()), SizeIs(2));
}

// Guards against silently dropping one value of a duplicate field and against
// deep nesting that exhausts the stack.
TEST_F(configuration_test, Check_HostileSyntax_ReportsSyntax) {
  std::string text = ValidConfiguration().dump();
  text.insert(text.find("\"akl\":2"), "\"akl\":1,");
  EXPECT_THAT(CheckConfiguration(text),
              Contains(IsFinding(finding_kind::kSyntax, "$")));
  for (const std::string& hostile :
       {std::string(500000, '['), std::string("{\"a\":1e999}"), std::string(),
        std::string("{\"a\":\"\xff\"}"), std::string(2U << 20, ' ')}) {
    EXPECT_THAT(CheckConfiguration(hostile),
                Contains(IsFinding(finding_kind::kSyntax, "$")));
  }
}

// Guards against lookups in the request path that miss a declaration.
TEST_F(configuration_test, Lookups_ValidConfiguration_FindDeclarations) {
  const configuration value =
      ValueOf(ParseConfiguration(ValidConfiguration().dump()));
  EXPECT_EQ(*value.FindWorkspace(*digest::FromHex(std::string(64, 'a'))),
            workspace_id("bar-1"));
  EXPECT_EQ(value.FindWorkspace(digest::Of("other")), nullptr);
  EXPECT_THAT(
      value.UpstreamsOf(model_name("cue")),
      testing::ElementsAre(upstream_id("akl-m1"), upstream_id("akl-m2")));
  EXPECT_THAT(value.UpstreamsOf(service_name("bookings")), SizeIs(1));
  EXPECT_THAT(value.UpstreamsOf(service_name("other")), SizeIs(0));
}

class call_pattern_test : public testing::Test {};

// Guards against an equivalent spelling of a non-idempotent call that bypasses
// the pattern and is then retried.
TEST_F(call_pattern_test, Matches_Spellings_ComparesWholeSegments) {
  const call_pattern pattern = *ParseCallPattern("POST /a/bookings");
  for (const char* target :
       {"/a/bookings", "/a/bookings/", "/a/bookings/1?x=/b", "//a//bookings",
        "/a/./x/../bookings", "/a/bookin%67s", "/a%2Fbookings?y"}) {
    EXPECT_TRUE(pattern.Matches("POST", target)) << target;
  }
  EXPECT_TRUE(pattern.Matches("post", "/a/bookings"));
  EXPECT_FALSE(pattern.Matches("GET", "/a/bookings"));
  EXPECT_FALSE(pattern.Matches("POST", "/a/bookingsx"));
  EXPECT_FALSE(pattern.Matches("POST", "/x?/a/bookings"));
  EXPECT_TRUE(ParseCallPattern("PUT /")->Matches("PUT", "/any"));
}

class process_settings_test : public testing::Test {};

// Guards against accepting settings of the wrong role and against missing
// defaults.
TEST_F(process_settings_test, Parse_Role_DecidesFields) {
  json document = ValidSettings();
  const auto parsed = ParseSettings(document.dump());
  ASSERT_TRUE(IsOk(parsed)) << ErrorOf(parsed).detail;
  EXPECT_EQ(ValueOf(parsed).drain_timeout, milliseconds(60000));
  EXPECT_EQ(ValueOf(parsed).upstream_slots, 8);
  document["upstream_slots"] = 0;
  EXPECT_THAT(
      CheckSettings(document.dump(), process_role::kAgent),
      AllOf(Contains(IsFinding(finding_kind::kMissingField, "$.upstream")),
            Contains(IsFinding(finding_kind::kInconsistency, "$.listen")),
            Contains(
                IsFinding(finding_kind::kInvalidValue, "$.upstream_slots"))));
  EXPECT_THAT(
      CheckSettings(document.dump(), process_role::kEntry),
      Contains(IsFinding(finding_kind::kInconsistency, "$.upstream_slots")));
  document.erase("upstream_slots");
  document["drain_timeout_ms"] = 5;
  document["tls"] = {{"mode", "on"}, {"key_file", "k"}};
  document["link"]["address"] = "host.example";
  document["admin"]["port"] = 65536;
  EXPECT_THAT(
      CheckSettings(document.dump()),
      testing::UnorderedElementsAre(
          IsFinding(finding_kind::kMissingField, "$.tls.certificate_file"),
          IsFinding(finding_kind::kMissingField, "$.tls.authority_file"),
          IsFinding(finding_kind::kInvalidValue, "$.link.address"),
          IsFinding(finding_kind::kInvalidValue, "$.admin.port")));
}

// Guards against seed peers with unusable addresses and against treating a
// malformed list as an empty one.
TEST_F(process_settings_test, Parse_Peers_ReportsFaultyPeers) {
  json document = ValidSettings();
  const json peer = {{"vm", "akl-a1"},
                     {"role", "agent"},
                     {"data_centre", "akl"},
                     {"link", "127.0.0.1:9081"},
                     {"admin", "127.0.0.1:9181"}};
  document["peers"] = {peer};
  const auto parsed = ParseSettings(document.dump());
  ASSERT_TRUE(IsOk(parsed)) << ErrorOf(parsed).detail;
  EXPECT_EQ(ValueOf(parsed).peers[0].role, process_role::kAgent);
  EXPECT_EQ(ValueOf(parsed).peers[0].link, (endpoint{"127.0.0.1", 9081}));
  for (const char* link : {"", "9081", "host:1", "127.0.0.1:", "127.0.0.1:0",
                           "127.0.0.1:65536", "127.0.0.1:1x"}) {
    document["peers"][0]["link"] = link;
    EXPECT_THAT(
        CheckSettings(document.dump()),
        Contains(IsFinding(finding_kind::kInvalidValue, "$.peers[0].link")))
        << link;
  }
  document["peers"] = {7};
  EXPECT_THAT(CheckSettings(document.dump()),
              Contains(IsFinding(finding_kind::kWrongType, "$.peers[0]")));
  document["peers"] = "akl-a1";
  EXPECT_THAT(CheckSettings(document.dump()),
              Contains(IsFinding(finding_kind::kWrongType, "$.peers")));
}

// Guards against exceptions and crashes on malformed documents. Mutates a valid
// document by changing, removing or duplicating bytes or replacing a value.
RC_GTEST_FIXTURE_PROP(process_settings_test,
                      Parse_MutatedDocument_GivesValueOrFindings,
                      ()) {
  json document = *rc::gen::element(ValidConfiguration(), ValidSettings());
  json flat = document.flatten();
  const auto index = *rc::gen::inRange<std::size_t>(0, flat.size());
  auto item = flat.begin();
  std::advance(item, index);
  if (*rc::gen::arbitrary<bool>()) {
    document[json::json_pointer(item.key())] = *rc::gen::element<json>(
        nullptr, -1, 1e300, -0.5, true, "", "\n", json::array(), json::object(),
        json::array({nullptr}), 18446744073709551615ULL);
  }
  std::string text = document.dump();
  for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    const int kind = *rc::gen::inRange(0, 3);
    if (kind == 0) {
      text[at] = *rc::gen::arbitrary<char>();
    } else if (kind == 1) {
      text.erase(at, 1);
    } else {
      text.insert(at, text.substr(at / 2, 16));
    }
  }
  const auto parsed = ParseConfiguration(text);
  RC_ASSERT(IsOk(parsed) == CheckConfiguration(text).empty());
  if (IsOk(parsed)) {
    RC_ASSERT(ParseConfiguration(ToJson(ValueOf(parsed))) == parsed);
  }
  RC_ASSERT(IsOk(ParseSettings(text)) == CheckSettings(text).empty());
}

}  // namespace
}  // namespace fireflyslip
