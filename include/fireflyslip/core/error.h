#ifndef FIREFLYSLIP_CORE_ERROR_H_
#define FIREFLYSLIP_CORE_ERROR_H_

#include <optional>
#include <string>
#include <string_view>

namespace fireflyslip {

/// \brief Whether a request was executed, as far as the caller can be told.
enum class outcome {
  kNotRun,     ///< The request was not executed and will not be.
  kUnknown,    ///< The request may have been executed.
  kCompleted,  ///< The request was executed; its response is known.
};

/// \brief All kinds of errors; `ErrorResponseFor()` maps each to a response.
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
  kResponseTooLarge,
  kCorruptData,
  kProtocolError,
  kInternalError,
};

/// \brief Response that is returned to a caller for an error kind.
struct error_response {
  error_kind kind;
  std::string_view name;   ///< Stable machine-readable name, in snake case.
  std::string_view title;  ///< Human-readable sentence.
  int http_status;
  outcome default_outcome;
  bool retry_after;  ///< Whether a later retry can succeed.

  bool operator==(const error_response&) const = default;
};

/// \brief Returns the response for an error kind.
const error_response& ErrorResponseFor(error_kind kind);

/// \brief Parses the stable name of an error kind.
std::optional<error_kind> ParseErrorKind(std::string_view name);

/// \brief Stable name of an outcome: `not_run`, `unknown` or `completed`.
std::string_view ToString(outcome value);

/// \brief Parses the stable name of an outcome.
std::optional<outcome> ParseOutcome(std::string_view name);

/// \brief An error with a human-readable detail.
struct error {
  error_kind kind = error_kind::kInternalError;
  std::string detail;

  bool operator==(const error&) const = default;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CORE_ERROR_H_
