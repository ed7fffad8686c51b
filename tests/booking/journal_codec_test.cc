#include "fireflyslip/booking/journal_codec.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

#include <string>
#include <vector>

#include "fireflyslip/booking/journal_owner.h"

namespace fireflyslip {
namespace {

class journal_codec_test : public testing::Test {};

// Guards against bodies with bytes that JSON cannot represent, and against
// base64 padding errors.
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

// Guards against returning an answer from a corrupted object.
TEST_F(journal_codec_test, Decode_ChangedBody_IsRefused) {
  journal_document document{7, "7-ab", {}};
  document.records[idempotency_key("w/a")] = {
      claim_state::kAnswered, digest::Of("r"),
      stored_answer{200, "text/plain", "one", digest::Of("two")}};
  EXPECT_FALSE(IsOk(DecodeJournal(EncodeJournal(document))));
}

// Guards against a second owner of a journal when the declared replicas are
// reordered.
TEST_F(journal_codec_test, JournalOwner_OtherOrder_IsTheSame) {
  const service_name service("bookings");
  const upstream_id a("b1");
  const upstream_id b("b2");
  const upstream_id c("b3");
  for (journal_slot slot = 0; slot < kJournalSlots; ++slot) {
    EXPECT_EQ(JournalOwner(slot, service, {a, b, c}),
              JournalOwner(slot, service, {c, a, b}));
    EXPECT_FALSE(JournalOwner(slot, service, {}));
  }
}

// Guards against a skewed distribution of keys over journals, and against an
// index out of range.
TEST_F(journal_codec_test, JournalSlot_ManyKeys_SpreadsOverAllSlots) {
  std::set<journal_slot> used;
  for (int i = 0; i < 1000; ++i) {
    const journal_slot slot =
        JournalSlot(idempotency_key("w/" + std::to_string(i)));
    ASSERT_LT(slot, kJournalSlots);
    used.insert(slot);
  }
  EXPECT_EQ(used.size(), kJournalSlots);
}

}  // namespace
}  // namespace fireflyslip
