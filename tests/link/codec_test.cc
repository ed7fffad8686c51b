#include "fireflyslip/link/codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace fireflyslip {
namespace {

link_envelope AttemptEnvelope() {
  attempt_message attempt;
  attempt.attempt = {{vm_id("akl-e1"), 7, 41}, 2};
  attempt.workspace = workspace_id("bar-1");
  attempt.weight = 1.5;
  attempt.rank = request_rank::kUrgent;
  attempt.deadline_ms = 2000;
  attempt.model = model_name("cue");
  attempt.body = std::string("\x00\xff{}", 4);
  attempt.non_idempotent = true;
  return {12, 3, attempt};
}

class codec_test : public testing::Test {};

// Guards against a field that is encoded but not decoded, or vice versa.
TEST_F(codec_test, Decode_EncodedAttempt_RestoresAllFields) {
  const auto decoded = DecodeEnvelope(EncodeEnvelope(AttemptEnvelope()));
  ASSERT_TRUE(IsOk(decoded));
  EXPECT_EQ(ValueOf(decoded), AttemptEnvelope());
}

// Guards against a relayed configuration without its digest, which every
// receiver would reject.
TEST_F(codec_test, Decode_EncodedConfiguration_RestoresDigest) {
  const link_envelope sent{1, 2, configuration_message{7, "{}", "ab12"}};
  const auto decoded = DecodeEnvelope(EncodeEnvelope(sent));
  ASSERT_TRUE(IsOk(decoded));
  EXPECT_EQ(ValueOf(decoded), sent);
}

// Guards against an out-of-range enumerator from a peer of another version.
TEST_F(codec_test, Decode_EnumeratorOutOfRange_FailsWithProtocolError) {
  fate_message fate;
  fate.fate = static_cast<attempt_fate>(99);
  const auto decoded = DecodeEnvelope(EncodeEnvelope({1, 1, fate}));
  ASSERT_FALSE(IsOk(decoded));
  EXPECT_EQ(ErrorOf(decoded).kind, error_kind::kProtocolError);
}

// Guards against a crash on corrupt input from a faulty peer or link.
RC_GTEST_PROP(codec_property_test, Decode_MutatedBytes_NeverThrows, ()) {
  std::string bytes = EncodeEnvelope(AttemptEnvelope());
  const auto changes = *rc::gen::inRange(1, 6);
  for (int i = 0; i < changes; ++i) {
    const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
    bytes[position] = static_cast<char>(*rc::gen::arbitrary<char>());
  }
  bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
  const auto decoded = DecodeEnvelope(bytes);
  if (!IsOk(decoded)) {
    RC_ASSERT(ErrorOf(decoded).kind == error_kind::kProtocolError);
  }
}

}  // namespace
}  // namespace fireflyslip
