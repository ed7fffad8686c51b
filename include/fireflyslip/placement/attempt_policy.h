#ifndef FIREFLYSLIP_PLACEMENT_ATTEMPT_POLICY_H_
#define FIREFLYSLIP_PLACEMENT_ATTEMPT_POLICY_H_

#include "fireflyslip/catalog/route_table.h"

namespace fireflyslip {

/// \brief Whether an attempt without a complete response was executed.
enum class attempt_outcome {
  kNotSent,      ///< The gateway sent no byte of the request.
  kNotRun,       ///< The upstream stated that it did not run the request.
  kMayHaveRun,   ///< The response is lost, malformed or late.
  kRanAndFailed  ///< The upstream returned an error of its own.
};

/// \brief Attempts of one request so far.
struct attempt_history {
  int tried = 0;         ///< Upstreams that were selected.
  int may_have_run = 0;  ///< Those that ran the request, or may have.

  bool operator==(const attempt_history&) const = default;
};

enum class retry_decision {
  kRetryElsewhere,  ///< Send to another upstream.
  kRefuse,          ///< Tell the client that the request was not run.
  kReportUnknown,   ///< Tell the client that the request may have run.
  kForwardError,    ///< Forward the error of the upstream.
};

/// \brief Decides how to proceed after an attempt without a complete response.
///
/// The client is told that a request was not run only if this holds for all of
/// its attempts. An upstream that did not run the request does not count
/// towards the attempts that the route allows.
/// \param budget predicate that takes one retry from the retry budget and
/// returns false if it is exhausted; called only if the request was sent.
template <typename Budget>
retry_decision DecideRetry(const route& target,
                           const attempt_history& history,
                           attempt_outcome outcome,
                           Budget&& budget) {
  /// Bounds the attempts of one request when several upstreams are unreachable.
  constexpr int kMaxUpstreams = 5;
  const bool not_run = outcome == attempt_outcome::kNotSent ||
                       outcome == attempt_outcome::kNotRun;
  const bool repeatable =
      target.idempotency_class != request_idempotency::kNonIdempotent;
  const bool allowed =
      not_run ? history.may_have_run < target.max_attempts
              : repeatable && history.may_have_run < target.max_attempts;
  if (allowed && history.tried < kMaxUpstreams &&
      (outcome == attempt_outcome::kNotSent || budget())) {
    return retry_decision::kRetryElsewhere;
  }
  if (outcome == attempt_outcome::kRanAndFailed) {
    return retry_decision::kForwardError;
  }
  return history.may_have_run == 0 ? retry_decision::kRefuse
                                   : retry_decision::kReportUnknown;
}

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PLACEMENT_ATTEMPT_POLICY_H_
