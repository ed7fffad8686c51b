#ifndef FIREFLYSLIP_CORE_ERROR_H_
#define FIREFLYSLIP_CORE_ERROR_H_

#include <optional>
#include <string>
#include <string_view>

namespace fireflyslip {

/// \brief What a caller may conclude about the execution of its request.
enum class outcome {
  kNotRun,     ///< The request was not run and never will be.
  kUnknown,    ///< The request may have been run.
  kCompleted,  ///< The request was run and its answer is known.
};

/// \brief Closed list of all errors; `ErrorResponseFor()` maps each to its
/// answer.
enum class error_kind {
  kInvalidRequest,
  kUnauthorized,
  kNotFound,
  kConflict,
  kPayloadTooLarge,
  kHeaderTooLarge,
  kRateLimited,
  kIdempotencyKeyRequired,
  kRequestCrashesUpstream,
  kDeadlineExceeded,
  kNoUpstream,
  kUpstreamLeaving,
  kOverloaded,
  kPlatformUnavailable,
  kJournalFull,
  kOutcomeUnknown,
  kVersionChanged,
  kUpstreamFailed,
  kCorruptData,
  kProtocolError,
  kInternalError,
};

/// \brief The answer that a caller gets for an error kind.
struct error_response {
  error_kind kind;
  std::string_view name;   ///< Stable name for machines, in snake case.
  std::string_view title;  ///< One sentence for people.
  int http_status;
  outcome default_outcome;
  bool retry_after;  ///< Whether waiting and sending again can help.

  bool operator==(const error_response&) const = default;
};

/// \brief Looks up the answer for an error kind.
const error_response& ErrorResponseFor(error_kind kind);

/// \brief Parses the stable name of an error kind.
std::optional<error_kind> ParseErrorKind(std::string_view name);

/// \brief Stable name of an outcome: `not_run`, `unknown` or `completed`.
std::string_view ToString(outcome value);

/// \brief Parses the stable name of an outcome.
std::optional<outcome> ParseOutcome(std::string_view name);

/// \brief An error with a detail for people.
struct error {
  error_kind kind = error_kind::kInternalError;
  std::string detail;

  bool operator==(const error&) const = default;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CORE_ERROR_H_
