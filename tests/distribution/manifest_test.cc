#include "fireflyslip/distribution/manifest.h"

#include <gtest/gtest.h>

#include <string>

#include "fireflyslip/distribution/chunk_bitmap.h"

namespace fireflyslip {
namespace {

class manifest_test : public testing::Test {
 protected:
  static std::string Json(const std::string& chunks, int size) {
    return R"({"model":"cue","version":"v1","size":)" + std::to_string(size) +
           R"(,"chunks":[)" + chunks + "]}";
  }
  static std::string Chunk(const std::string& bytes, int size) {
    return R"({"digest":")" + digest::Of(bytes).ToHex() + R"(","size":)" +
           std::to_string(size) + "}";
  }
  static result<manifest> Parse(const std::string& text,
                                const manifest_limits& limits = {}) {
    return ParseManifest(text, digest::Of(text), limits);
  }
};

// Guards against a wrong chunk order, and against two bitmap indices for a
// repeated chunk.
TEST_F(manifest_test, Parse_ValidText_KeepsOrderAndMergesRepetitions) {
  const auto parsed = Parse(
      Json(Chunk("b", 3) + "," + Chunk("a", 4) + "," + Chunk("b", 3), 10));
  ASSERT_TRUE(IsOk(parsed));
  EXPECT_EQ(ValueOf(parsed).chunks.size(), 3U);
  const auto distinct = DistinctChunks(ValueOf(parsed));
  ASSERT_EQ(distinct.size(), 2U);
  EXPECT_EQ(distinct[0], (chunk_entry{digest::Of("b"), 3}));
}

// Guards against accepting a manifest other than the declared one.
TEST_F(manifest_test, Parse_OtherDigest_IsCorruptData) {
  const auto parsed = ParseManifest(Json(Chunk("a", 4), 4), digest::Of("x"));
  ASSERT_FALSE(IsOk(parsed));
  EXPECT_EQ(ErrorOf(parsed).kind, error_kind::kCorruptData);
}

// Guards against crashes and unbounded memory use on hostile input.
TEST_F(manifest_test, Parse_MalformedOrTooLarge_IsTypedError) {
  for (const std::string& text :
       {std::string(), std::string("[]"), std::string("{"), Json("", 0),
        Json(Chunk("a", 4), 5), Json(Chunk("a", 0), 0), Json("1", 1),
        Json(R"({"digest":"zz","size":1})", 1),
        std::string(R"({"model":1,"version":"v","size":0,"chunks":[]})")}) {
    const auto parsed = Parse(text);
    ASSERT_FALSE(IsOk(parsed)) << text;
    EXPECT_EQ(ErrorOf(parsed).kind, error_kind::kProtocolError) << text;
  }
  const std::string two = Json(Chunk("a", 4) + "," + Chunk("b", 4), 8);
  for (const manifest_limits& limits :
       {manifest_limits{.max_bytes = 20}, manifest_limits{.max_chunks = 1},
        manifest_limits{.max_chunk_size = 3}}) {
    const auto parsed = Parse(two, limits);
    ASSERT_FALSE(IsOk(parsed));
    EXPECT_EQ(ErrorOf(parsed).kind, error_kind::kPayloadTooLarge);
  }
}

class chunk_bitmap_test : public testing::Test {};

// Guards against lost or spurious bits in the wire encoding, also at word
// boundaries.
TEST_F(chunk_bitmap_test, FromBytes_AnySize_RoundTrips) {
  for (const std::size_t size : {0U, 1U, 8U, 63U, 64U, 65U, 130U}) {
    chunk_bitmap bitmap(size);
    for (std::size_t i = 0; i < size; i += 3) {
      bitmap.Set(i);
    }
    EXPECT_EQ(chunk_bitmap::FromBytes(bitmap.ToBytes(), size), bitmap) << size;
    EXPECT_EQ(chunk_bitmap::FromBytes(bitmap.ToBytes() + "x", size),
              std::nullopt);
  }
  EXPECT_EQ(chunk_bitmap::FromBytes("\xff", 7), std::nullopt);
}

}  // namespace
}  // namespace fireflyslip
