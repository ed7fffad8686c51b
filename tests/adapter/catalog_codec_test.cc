#include "platform/catalog_codec.h"

#include <gtest/gtest.h>

#include "core/thread_cpu_time.h"
#include "node/odd_entries.h"
#include "platform/json_access.h"

namespace fireflyslip::platform {
namespace {

using nlohmann::json;

class catalog_codec_test : public testing::Test {
 protected:
  const json configuration_ = json::parse(R"({
    "version": 7,
    "routes": [
      {"name": "chat", "host": "a.example", "pathPrefix": "/c/",
       "routeType": "streaming", "timeoutMs": 6000, "targetLatencyMs": 400,
       "targetGapMs": 400, "priority": 1, "maxAttempts": 2,
       "streamResume": true,
       "trafficSplit": [{"service": "m1", "weight": 90},
                        {"service": "m2", "weight": 10}]},
      {"name": "book", "host": "a.example", "pathPrefix": "/b/",
       "routeType": "non_idempotent", "service": "plain", "public": true}],
    "services": [
      {"name": "m1", "maxConnections": 364,
       "engineType": {"modelList": [{"name": "mod"}], "step_ms": 9.2,
                      "read_per_s": 20700, "chunkCount": 48,
                      "chunkBytes": 49152}},
      {"name": "o", "origin": "10.0.0.9:80", "zone": "z"}],
    "limits": {"maxHeaderBytes": 100, "maxBodyBytes": 200,
               "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    "tenants": [{"name": "t", "apiKeys": ["k1", "k2"], "priority": 2}]})");

  static std::optional<upstream_entry> Decode(const json& entry) {
    return DecodeUpstream("i-1", entry.dump());
  }

  const json entry_ = json::parse(R"({
    "service": "m1", "address": "10.0.0.1:80", "zone": "z", "version": "v1",
    "slots": 16, "state": "ready", "coldRemainingMs": 0, "sequence": 4,
    "born": 1700000000000, "modelList": [{"name": "mod", "version": 3}]})");
};

TEST_F(catalog_codec_test, Deployment_Complete_AllFields) {
  const auto decoded = DecodeDeployment(configuration_);
  ASSERT_TRUE(IsOk(decoded));
  const deployment& catalog = ValueOf(decoded);
  EXPECT_EQ(catalog.version, 7U);
  const route* chat = catalog.routes.Find("a.example", "/c/1");
  ASSERT_NE(chat, nullptr);
  EXPECT_EQ(chat->idempotency_class, request_idempotency::kResumableStream);
  EXPECT_EQ(chat->services.size(), 2U);
  EXPECT_EQ(chat->timeout, seconds(6));
  const route* book = catalog.routes.Find("a.example", "/b/1");
  EXPECT_EQ(book->idempotency_class, request_idempotency::kNonIdempotent);
  EXPECT_TRUE(book->public_access);
  EXPECT_EQ(catalog.FindKey("k2")->priority, 2);
  EXPECT_EQ(catalog.FindKey("k3"), nullptr);
  EXPECT_EQ(catalog.FindService(service_name("m1"))->engine->chunk_count, 48U);
  EXPECT_EQ(catalog.FindService(service_name("o"))->origin->address,
            "10.0.0.9:80");
}

// Guards against applying a configuration partially.
TEST_F(catalog_codec_test, Deployment_RouteWithoutService_Rejected) {
  json broken = configuration_;
  broken["routes"][1].erase("service");
  EXPECT_FALSE(IsOk(DecodeDeployment(broken)));
}

// Guards against a restriction that is not applied because its list is empty,
// unknown or malformed.
TEST_F(catalog_codec_test, Deployment_Regions_RestrictOnlyIfListed) {
  json content = configuration_;
  content["routes"][0]["allowedRegions"] = {"north", "nowhere"};
  content["routes"][1]["allowedRegions"] = json::array();
  content["tenants"][0]["allowedRegions"] = {"north"};
  const auto decoded = DecodeDeployment(content);
  ASSERT_TRUE(IsOk(decoded));
  const route_table& routes = ValueOf(decoded).routes;
  const region_restriction& chat = routes.Find("a.example", "/c/1")->regions;
  EXPECT_TRUE(chat.Allows(region_id("north")));
  EXPECT_FALSE(chat.Allows(region_id("south")));
  EXPECT_FALSE(routes.Find("a.example", "/b/1")->regions.restricts());
  const region_restriction& key = ValueOf(decoded).FindKey("k1")->regions;
  EXPECT_EQ(key.Intersect(chat), region_restriction({region_id("north")}));
  for (const json& malformed :
       {json("north"), json::array({1}), json::object()}) {
    for (const char* list : {"routes", "tenants"}) {
      json broken = configuration_;
      broken[list][0]["allowedRegions"] = malformed;
      EXPECT_FALSE(IsOk(DecodeDeployment(broken))) << malformed;
    }
  }
}

TEST_F(catalog_codec_test, Upstream_Complete_AllFields) {
  const auto entry = Decode(entry_);
  ASSERT_TRUE(entry);
  EXPECT_EQ(entry->slots, 16U);
  EXPECT_EQ(entry->model_versions.at(model_name("mod")), 3U);
  EXPECT_FALSE(entry->draining);
}

// Guards against treating objects of other writers as upstreams.
TEST_F(catalog_codec_test, Upstream_ForeignEntry_Nothing) {
  for (const char* field :
       {"service", "address", "zone", "slots", "state", "version"}) {
    json missing = entry_;
    missing.erase(field);
    EXPECT_FALSE(Decode(missing)) << field;
    json mistyped = entry_;
    mistyped[field] = json::array();
    EXPECT_FALSE(Decode(mistyped)) << field;
  }
  json unknown = entry_;
  unknown["state"] = "resting";
  EXPECT_FALSE(Decode(unknown));
  EXPECT_FALSE(Decode("text"));
}

// Guards against requests for an upstream whose address no replica can have,
// and against a relay that is looked for there.
TEST_F(catalog_codec_test, Upstream_UnusableAddress_Nothing) {
  const std::string long_text(500'000, '1');
  for (const std::string& address :
       std::vector<std::string>{"10.0.0.1:65536",
                                "10.0.0.1:99999",
                                "10.0.0.1:4294967376",
                                "10.0.0.1:0",
                                "10.0.0.1:-80",
                                "10.0.0.1:+80",
                                "10.0.0.1: 80",
                                "10.0.0.1:80 ",
                                "10.0.0.1:",
                                "10.0.0.1:80x",
                                "10.0.0.1:8.0",
                                "10.0.0.1",
                                ":80",
                                "80",
                                "",
                                "[::1]:80",
                                "10.0.0.256:80",
                                "10.0.0:80",
                                "host.example:80",
                                "10.0.0.1:80:80",
                                "0.0.0.0:80",
                                "[::]:80",
                                "224.0.0.1:80",
                                "255.255.255.255:80",
                                "http://10.0.0.1:80",
                                std::string("10.0.0.1\0:80", 12),
                                "10.0.0.1:" + long_text,
                                long_text + ":80"}) {
    json odd = entry_;
    odd["address"] = address;
    EXPECT_FALSE(Decode(odd)) << address.substr(0, 40);
  }
  for (const char* address : {"10.0.0.1:1", "10.0.0.1:65535"}) {
    json sound = entry_;
    sound["address"] = address;
    EXPECT_TRUE(Decode(sound)) << address;
  }
}

// Guards against an upstream of another writer that takes all requests because
// of its slots, and against numbers that are read as other ones.
TEST_F(catalog_codec_test, Upstream_NumberOutOfRange_Nothing) {
  for (const char* field : {"slots", "sequence", "born"}) {
    for (const char* number :
         {"-1", "1.5", "1e3", "1e300", "18446744073709551616",
          "99999999999999999999999", "-9223372036854775808"}) {
      json odd = entry_;
      odd[field] = json::parse(number);
      EXPECT_FALSE(Decode(odd)) << field << " " << number;
    }
  }
  for (const char* slots : {"0", "4294967296", "18446744073709551615"}) {
    json odd = entry_;
    odd["slots"] = json::parse(slots);
    EXPECT_FALSE(Decode(odd)) << slots;
  }
  json without_start = entry_;
  without_start.erase("born");
  EXPECT_TRUE(Decode(without_start));
}

// Guards against losing a whole list because one string is not valid UTF-8.
TEST_F(catalog_codec_test, ParseJson_InvalidUtf8_OtherValuesRead) {
  const json value = ParseJson("{\"a\": \"\xff\xfe\", \"b\": 1}");
  EXPECT_EQ(FindUnsigned(value, "b"), 1U);
}

// Guards against values over which recursion exhausts the stack.
TEST_F(catalog_codec_test, ParseJson_NestedTooDeeply_Discarded) {
  const auto nested = [](std::size_t levels) {
    return std::string(levels, '[') + std::string(levels, ']');
  };
  EXPECT_FALSE(ParseJson(nested(kMaxNestingDepth)).is_discarded());
  EXPECT_TRUE(ParseJson(nested(kMaxNestingDepth + 1)).is_discarded());
  constexpr std::size_t kLevels = 400'000;
  EXPECT_TRUE(ParseJson(nested(kLevels)).is_discarded());
  EXPECT_TRUE(ParseJson(std::string(kLevels, '[')).is_discarded());
  const std::string object = R"({"b":)" + nested(kLevels) + R"(,"a":1})";
  EXPECT_TRUE(ParseJson(object).is_discarded());
}

// Guards against time that grows with the square of the rows, so that one value
// of another writer stops the thread that reads it. Eight times as many rows
// would take 64 times as long.
TEST_F(catalog_codec_test, ParseJson_MoreRows_TimeInProportion) {
  constexpr std::size_t kBytes = 25'000;
  const std::string few = R"({"table":)" + TableRows(kBytes) + "}";
  const std::string many = R"({"table":)" + TableRows(8 * kBytes) + "}";
  EXPECT_FALSE(ParseJson(many).is_discarded());
  EXPECT_LT(CpuTimeOf([&] { ParseJson(many); }),
            24 * CpuTimeOf([&] { ParseJson(few); }));
}

// Guards against members of another writer that are built although nobody needs
// them, and against a part of a value that is taken for the whole.
TEST_F(catalog_codec_test, SelectMembers_Some_OthersPassedOver) {
  constexpr std::string_view kNames[] = {"a", "b"};
  EXPECT_EQ(SelectMembers(R"({"a": 1, "c": [1e400], "b": [{}]})", kNames),
            json::parse(R"({"a": 1, "b": [{}]})"));
  EXPECT_EQ(SelectMembers(R"({"c": 1})", kNames), json::object());
  EXPECT_EQ(SelectMembers(R"({"a": 1, "a": 2})", kNames)["a"], 2);
  EXPECT_TRUE(SelectMembers(R"({"a": 1, "b": 1e400})", kNames).is_discarded());
  EXPECT_TRUE(SelectMembers(R"(["a", 1])", kNames).is_discarded());
  EXPECT_TRUE(SelectMembers(R"({"a": 1)", kNames).is_discarded());
  const std::string longest(kMaxSelectedBytes - 2, 'x');
  EXPECT_FALSE(
      SelectMembers(R"({"a": ")" + longest + "\"}", kNames).is_discarded());
  EXPECT_TRUE(
      SelectMembers(R"({"a": "x)" + longest + "\"}", kNames).is_discarded());
}

// Guards against losing members and elements beside one that cannot be read.
TEST_F(catalog_codec_test, Split_UnreadablePart_OthersWhole) {
  const auto members = SplitObject(
      R"({"a": 1e400, "b": "\ud800", "c": [1, {}], "d": "\u0041"})");
  ASSERT_TRUE(members);
  EXPECT_EQ(members->size(), 4U);
  EXPECT_TRUE(ParseJson(members->at("a")).is_discarded());
  EXPECT_TRUE(ParseJson(members->at("b")).is_discarded());
  EXPECT_EQ(ParseJson(members->at("c")), json::parse("[1, {}]"));
  EXPECT_EQ(ParseJson(members->at("d")), "A");
  const auto elements = SplitArray("[1e400, \"\xff\", {\"a\": \"é\"}, []]");
  ASSERT_TRUE(elements);
  EXPECT_EQ(elements->size(), 4U);
  EXPECT_EQ(ParseJson(elements->at(2)), json::parse(R"({"a": "é"})"));
  EXPECT_EQ(SplitArray("[]")->size(), 0U);
  EXPECT_EQ(SplitObject("{}")->size(), 0U);
}

// Guards against taking a part of a response for the whole.
TEST_F(catalog_codec_test, Split_MalformedText_Nothing) {
  for (const char* text :
       {"", "1", "\x80{{{]", "{", "{\"a\":[1}", "nonsense"}) {
    EXPECT_FALSE(SplitObject(text)) << text;
  }
  for (const char* text : {"", "1", "{}", "[1", "[[1]", "[1 2]"}) {
    EXPECT_FALSE(SplitArray(text)) << text;
  }
}

}  // namespace
}  // namespace fireflyslip::platform
