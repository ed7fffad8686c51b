#ifndef FIREFLYSLIP_PLACEMENT_ATTEMPT_POLICY_H_
#define FIREFLYSLIP_PLACEMENT_ATTEMPT_POLICY_H_

#include "fireflyslip/catalog/route_table.h"

namespace fireflyslip {

/// \brief What is known of the execution of one attempt that brought no whole
/// answer.
enum class attempt_outcome {
  kNotSent,      ///< No byte left the entry.
  kNotRun,       ///< The upstream stated that it did not run the request.
  kMayHaveRun,   ///< The answer is lost, broken or late.
  kRanAndFailed  ///< The upstream answered with a failure of its own.
};

/// \brief Attempts of one request so far.
struct attempt_history {
  int tried = 0;         ///< Upstreams that were chosen.
  int may_have_run = 0;  ///< Those that ran the request, or may have.

  bool operator==(const attempt_history&) const = default;
};

enum class retry_decision {
  kRetryElsewhere,  ///< Send to another upstream; needs budget if one was sent.
  kRefuse,          ///< Tell the caller that the request was not run.
  kReportUnknown,   ///< Tell the caller that the request may have run.
  kForwardError,    ///< Hand on the failure of the upstream.
};

/// \brief What to do after an attempt without a whole answer.
///
/// A statement that a request was not run must be true for all its attempts. An
/// upstream that did not run the request does not count as reached.
/// \param budget whether a further attempt is within the retry budget; asked
/// only if an upstream has received the request.
template <typename Budget>
retry_decision DecideRetry(const route& target,
                           const attempt_history& history,
                           attempt_outcome fate,
                           Budget&& budget) {
  /// Bounds the upstreams that are tried when several are out of reach.
  constexpr int kMaxTried = 5;
  const bool not_run =
      fate == attempt_outcome::kNotSent || fate == attempt_outcome::kNotRun;
  const bool repeatable =
      target.idempotency_class != request_idempotency::kNonIdempotent;
  const bool allowed =
      not_run ? history.may_have_run < target.max_attempts
              : repeatable && history.may_have_run < target.max_attempts;
  if (allowed && history.tried < kMaxTried &&
      (fate == attempt_outcome::kNotSent || budget())) {
    return retry_decision::kRetryElsewhere;
  }
  if (fate == attempt_outcome::kRanAndFailed) {
    return retry_decision::kForwardError;
  }
  return history.may_have_run == 0 ? retry_decision::kRefuse
                                   : retry_decision::kReportUnknown;
}

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PLACEMENT_ATTEMPT_POLICY_H_
