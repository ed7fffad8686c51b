#include "node/relay_message.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "node/compression.h"

namespace fireflyslip {
namespace {

class relay_message_test : public testing::Test {
 protected:
  static upstream_entry Entry(const std::string& id) {
    upstream_entry entry;
    entry.id = upstream_id(id);
    entry.service = service_name("singer");
    entry.address = "10.1.0.40:8000";
    entry.data_centre = data_centre_id("akl-a");
    entry.slots = 8;
    entry.has_engine = true;
    entry.started_ms = 1'764'000'000'000;
    entry.sequence = 70;
    entry.cold_for = milliseconds(2500);
    entry.model_versions[model_name("m")] = 3;
    return entry;
  }

  static relay_answer Answer() {
    relay_answer answer;
    answer.fresh = true;
    answer.held = milliseconds(800);
    answer.outage = {seconds(3), milliseconds(200)};
    answer.configuration = {{2, 17}, 5, milliseconds(900)};
    answer.upstreams = upstream_changes{
        {2, 20},
        false,
        {{upstream_id("a"), Entry("a")}, {upstream_id("b"), std::nullopt}}};
    answer.versions = {{1, 12},
                       milliseconds(700),
                       {{model_name("m"), {{2, seconds(9)}, {3, seconds(2)}}},
                        {model_name("other"), {{7, seconds(1)}}}}};
    answer.relays = {"10.1.0.40", "10.1.0.41"};
    answer.evacuations = {{2, 30}, {data_centre_id("akl")}};
    return answer;
  }
};

TEST_F(relay_message_test, Query_Formatted_ParsesEqual) {
  const relay_query query{store_position{2, 5},    std::nullopt,
                          store_position{},        milliseconds(800),
                          data_centre_id("a b&c"), true,
                          store_position{2, 9}};
  EXPECT_EQ(ParseRelayTarget(RelayTarget(query)), query);
}

// Guards against refusing the polls of older processes, which state no era.
TEST_F(relay_message_test, Query_WithoutEras_EraZero) {
  const auto query = ParseRelayTarget("/catalog?upstreams=7&hold_us=5");
  ASSERT_TRUE(query);
  EXPECT_EQ(query->upstreams, (store_position{0, 7}));
  EXPECT_FALSE(query->states_eras);
  EXPECT_EQ(ParseRelayTarget(RelayTarget(*query)), query);
}

// Guards against refusing the answers of older relays, which state no era.
TEST_F(relay_message_test, Answer_WithoutEras_EraZero) {
  const nlohmann::json message =
      nlohmann::json::array({true,
                             0,
                             nullptr,
                             {17, 5, 900},
                             {20, true, nlohmann::json::array()},
                             {12, 700, nlohmann::json::array()},
                             nlohmann::json::array()});
  std::string bytes;
  nlohmann::json::to_cbor(message, bytes);
  const auto answer = DecodeRelayAnswer(Compress(bytes));
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->configuration->position, (store_position{0, 17}));
  EXPECT_EQ(answer->upstreams->position, (store_position{0, 20}));
  EXPECT_EQ(answer->versions->position, (store_position{0, 12}));
  EXPECT_FALSE(answer->evacuations);
}

// Guards against an older process that takes an earlier version for the newest:
// it uses the last publication that is stated for a model.
TEST_F(relay_message_test, Answer_SeveralPublications_NewestLast) {
  const auto content = Decompress(EncodeRelayAnswer(Answer()), 1UL << 20);
  ASSERT_TRUE(content);
  const nlohmann::json message = nlohmann::json::from_cbor(*content);
  const nlohmann::json& versions = message[5][2];
  EXPECT_EQ(versions,
            nlohmann::json::array(
                {"m", 2, 9'000'000, "m", 3, 2'000'000, "other", 7, 1'000'000}));
}

// Guards against trust in a relay that has not noticed a restore.
TEST_F(relay_message_test, IsOfOlderEra_AnyKindOlder_True) {
  const relay_answer answer = Answer();
  relay_query query{store_position{2, 90}, store_position{2, 90},
                    store_position{1, 90}};
  EXPECT_FALSE(IsOfOlderEra(answer, query));
  query.versions = store_position{2, 1};
  EXPECT_TRUE(IsOfOlderEra(answer, query));
  query.versions = std::nullopt;
  EXPECT_FALSE(IsOfOlderEra(answer, query));
  query.upstreams = store_position{3, 1};
  EXPECT_TRUE(IsOfOlderEra(answer, query));
}

// Guards against accepting requests that are not polls.
TEST_F(relay_message_test, Query_Malformed_Nothing) {
  EXPECT_EQ(ParseRelayTarget("/other?upstreams=1"), std::nullopt);
  EXPECT_EQ(ParseRelayTarget("/catalog?upstreams=x"), std::nullopt);
  EXPECT_EQ(ParseRelayTarget("/catalog?upstreams=1&upstreams_era=x"),
            std::nullopt);
  EXPECT_EQ(ParseRelayTarget("/catalog?upstreams=99999999999999999999"),
            std::nullopt);
}

TEST_F(relay_message_test, Answer_Encoded_DecodesEqual) {
  EXPECT_EQ(DecodeRelayAnswer(EncodeRelayAnswer(Answer())), Answer());
  EXPECT_EQ(DecodeRelayAnswer(EncodeRelayAnswer({})), relay_answer{});
}

// Guards against an end of the process by bytes from a relay in trouble, and
// against taking a part of an answer for the whole.
TEST_F(relay_message_test, Answer_TruncatedOrCorrupt_NothingOrWhole) {
  const std::string bytes = EncodeRelayAnswer(Answer());
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    EXPECT_EQ(DecodeRelayAnswer(bytes.substr(0, size)), std::nullopt);
  }
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    std::string corrupt = bytes;
    corrupt[i] = static_cast<char>(corrupt[i] ^ 0x20);
    const auto decoded = DecodeRelayAnswer(corrupt);
    EXPECT_TRUE(!decoded || *decoded == Answer()) << i;
  }
}

// Guards against values of another type in a well-formed message.
TEST_F(relay_message_test, Answer_OtherTypes_Nothing) {
  const std::string cbor("\x81\x01", 2);  // [1]
  EXPECT_EQ(DecodeRelayAnswer(Compress(cbor)), std::nullopt);
  EXPECT_EQ(DecodeRelayAnswer(Compress("text")), std::nullopt);
}

// Guards against an end of the process, or of the coroutine that polls, by an
// answer that exhausts the stack or declares more elements than can exist.
TEST_F(relay_message_test, Answer_NestedOrDeclaredExcessively_Nothing) {
  constexpr std::size_t kLevels = 1'000'000;
  EXPECT_EQ(DecodeRelayAnswer(Compress(std::string(kLevels, '\x81'))),
            std::nullopt);
  EXPECT_EQ(DecodeRelayAnswer(Compress(std::string(kLevels, '\x9f'))),
            std::nullopt);
  std::string maps;
  for (std::size_t i = 0; i < kLevels; ++i) {
    maps += "\xa1\x60";  // a map with an empty name
  }
  EXPECT_EQ(DecodeRelayAnswer(Compress(maps)), std::nullopt);
  for (const char type : {'\x9b', '\xbb', '\x5b', '\x7b'}) {
    const std::string length(8, '\x7f');
    EXPECT_EQ(DecodeRelayAnswer(Compress(type + length)), std::nullopt);
    EXPECT_EQ(DecodeRelayAnswer(Compress("\x81" + (type + length))),
              std::nullopt);
  }
}

// Guards against an answer that fills the link of a replica's VM: at the start
// it goes to each process of the data centre.
TEST_F(relay_message_test, Answer_AllUpstreamsOfLargeFleet_Small) {
  relay_answer answer;
  answer.upstreams = upstream_changes{{1, 1}, true, {}};
  constexpr int kUpstreams = 350;
  constexpr std::size_t kMaxBytesPerUpstream = 40;
  for (int i = 0; i < kUpstreams; ++i) {
    upstream_entry entry = Entry("i-" + std::to_string(i * 7919));
    entry.address = "10.1.0." + std::to_string(i) + ":8000";
    entry.started_ms += static_cast<std::uint64_t>(i) * 13;
    answer.upstreams->changes.push_back({entry.id, entry});
  }
  EXPECT_LE(EncodeRelayAnswer(answer).size(),
            kUpstreams * kMaxBytesPerUpstream);
}

// Guards against a process that runs out of memory for bytes that expand
// without end.
TEST_F(relay_message_test, Decompress_MoreThanLimit_Nothing) {
  const std::string bytes(1UL << 20, 'a');
  const std::string compressed = Compress(bytes);
  EXPECT_EQ(Decompress(compressed, bytes.size()), bytes);
  EXPECT_EQ(Decompress(compressed, bytes.size() - 1), std::nullopt);
  EXPECT_EQ(Decompress(compressed + "x", bytes.size()), std::nullopt);
}

}  // namespace
}  // namespace fireflyslip
