#include "fireflyslip/booking/journal_codec.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "fireflyslip/booking/home_upstream.h"

namespace fireflyslip {
namespace {

class journal_codec_test : public testing::Test {};

// Guards against bodies with bytes that JSON can't hold, and against padding
// errors of base64.
TEST_F(journal_codec_test, Decode_EncodedDocument_RoundTrips) {
  journal_document document{7, "7-ab", {}};
  for (int size = 0; size < 5; ++size) {
    std::string body(static_cast<std::size_t>(size), '\xff');
    document.records[idempotency_key("w/\"k\\" + std::to_string(size))] = {
        claim_state::kAnswered, digest::Of("r"),
        stored_answer{200, "text/plain", body, digest::Of(body)}};
  }
  document.records[idempotency_key("w/u")] = {claim_state::kUnknown,
                                              digest::Of("r"), std::nullopt};
  const auto decoded = DecodeJournal(EncodeJournal(document));
  ASSERT_TRUE(IsOk(decoded));
  EXPECT_EQ(ValueOf(decoded), document);
}

// Guards against an answer from a corrupted object.
TEST_F(journal_codec_test, Decode_ChangedBody_IsRefused) {
  journal_document document{7, "7-ab", {}};
  document.records[idempotency_key("w/a")] = {
      claim_state::kAnswered, digest::Of("r"),
      stored_answer{200, "text/plain", "one", digest::Of("two")}};
  EXPECT_FALSE(IsOk(DecodeJournal(EncodeJournal(document))));
}

// Guards against a second home for a key when the declaration is reordered.
TEST_F(journal_codec_test, HomeUpstream_OtherOrder_IsTheSame) {
  const idempotency_key key("w/a");
  const service_name service("bookings");
  const auto home = HomeUpstream(
      key, service, {upstream_id("b1"), upstream_id("b2"), upstream_id("b3")});
  EXPECT_EQ(home, HomeUpstream(key, service,
                               {upstream_id("b3"), upstream_id("b1"),
                                upstream_id("b2")}));
  EXPECT_FALSE(HomeUpstream(key, service, {}));
}

}  // namespace
}  // namespace fireflyslip
