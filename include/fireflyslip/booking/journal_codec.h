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

/// \brief Answer of a call as stored in the journal.
struct stored_answer {
  int status = 0;  ///< HTTP status.
  std::string content_type;
  /// Absent if the body exceeds the size limit for stored answers.
  std::optional<std::string> body;
  digest body_digest;

  auto operator<=>(const stored_answer&) const = default;
};

/// \brief State of a key in the journal object.
enum class claim_state {
  kClaimed,   ///< The call may be running; no answer is stored.
  kAnswered,  ///< The call ran; its answer is stored.
  kUnknown,   ///< The call may have run; it never runs again.
};

/// \brief Record of the journal object for one key.
struct journal_record {
  claim_state state = claim_state::kClaimed;
  digest request;                       ///< Digest of the request.
  std::optional<stored_answer> answer;  ///< Only with `kAnswered`.

  auto operator<=>(const journal_record&) const = default;
};

/// \brief Contents of a journal object.
struct journal_document {
  incarnation_number incarnation = 0;  ///< Incarnation of the writer.
  std::string update_id;               ///< Unique for each update.
  std::map<idempotency_key, journal_record> records;

  bool operator==(const journal_document&) const = default;
};

/// \brief Whether the text consists of 1 to `max_size` printable ASCII
/// characters.
///
/// Keys and content types in the journal must satisfy this condition, so that
/// records have a bounded size and can be represented in JSON.
bool IsPrintable(std::string_view text, std::size_t max_size);

/// \brief Encodes one record. The key must be printable.
std::string EncodeRecord(const idempotency_key& key,
                         const journal_record& record);

/// \brief Wraps encoded records, separated by commas, in a document.
std::string EncodeJournal(incarnation_number incarnation,
                          std::string_view update_id,
                          std::string_view joined_records);

std::string EncodeJournal(const journal_document& document);

/// \brief Decodes a journal object.
///
/// Fails with `kCorruptData` for malformed JSON, an unknown format version,
/// missing or mistyped fields, duplicate keys, or a body whose digest does not
/// match.
result<journal_document> DecodeJournal(std::string_view body);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_BOOKING_JOURNAL_CODEC_H_
