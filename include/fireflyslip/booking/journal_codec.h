#ifndef FIREFLYSLIP_BOOKING_JOURNAL_CODEC_H_
#define FIREFLYSLIP_BOOKING_JOURNAL_CODEC_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "fireflyslip/core/digest.h"
#include "fireflyslip/core/ids.h"
#include "fireflyslip/core/result.h"

namespace fireflyslip {

/// \brief Answer of a call as the journal keeps it.
struct stored_answer {
  int status = 0;  ///< HTTP status.
  std::string content_type;
  /// Absent when the body is larger than the journal keeps for one answer.
  std::optional<std::string> body;
  digest body_digest;

  auto operator<=>(const stored_answer&) const = default;
};

/// \brief What the journal object says about one key.
enum class claim_state {
  kClaimed,   ///< May be running; no answer is stored.
  kAnswered,  ///< Was run; the answer is stored.
  kUnknown,   ///< May have been run; never runs again.
};

/// \brief Entry of the journal object for one key.
struct journal_record {
  claim_state state = claim_state::kClaimed;
  digest request;                       ///< Digest of the request.
  std::optional<stored_answer> answer;  ///< Only with `kAnswered`.

  auto operator<=>(const journal_record&) const = default;
};

/// \brief Contents of a journal object.
struct journal_document {
  incarnation_number incarnation = 0;  ///< Agent that wrote it.
  std::string update_id;               ///< Unique for each update.
  std::map<idempotency_key, journal_record> records;

  bool operator==(const journal_document&) const = default;
};

/// \brief Whether the text is printable ASCII of 1 to `max_size` bytes.
///
/// Only such keys and content types enter the journal, so that the size of an
/// entry is bounded and JSON can represent it.
bool IsPrintable(std::string_view text, std::size_t max_size);

/// \brief Encodes one entry. The key must be printable.
std::string EncodeRecord(const idempotency_key& key,
                         const journal_record& record);

/// \brief Puts encoded entries, joined by commas, into a document.
std::string EncodeJournal(incarnation_number incarnation,
                          std::string_view update_id,
                          std::string_view joined_records);

std::string EncodeJournal(const journal_document& document);

/// \brief Decodes a journal object.
///
/// Fails with `corrupt_data` for malformed JSON, an unknown format number,
/// missing or mistyped fields, repeated keys, or a body whose digest differs.
result<journal_document> DecodeJournal(std::string_view body);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_BOOKING_JOURNAL_CODEC_H_
