#ifndef FIREFLYSLIP_PLACEMENT_ATTEMPT_POLICY_H_
#define FIREFLYSLIP_PLACEMENT_ATTEMPT_POLICY_H_

#include "fireflyslip/catalog/route_table.h"

namespace fireflyslip {

/// \brief What is known of the execution of one attempt that brought no whole
/// answer.
enum class attempt_fate {
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

enum class attempt_step {
  kTryAnother,     ///< Send to another upstream; needs budget if one was sent.
  kRefuse,         ///< Tell the caller that the request was not run.
  kAnswerUnknown,  ///< Tell the caller that the request may have run.
  kForward,        ///< Hand on the failure of the upstream.
};

/// \brief What to do after an attempt without a whole answer.
///
/// A statement that a request was not run must be true for all its attempts. An
/// upstream that did not run the request does not count as reached.
/// \param budget whether a further attempt is within the retry budget; asked
/// only if an upstream has received the request.
template <typename Budget>
attempt_step NextStep(const route& target,
                      const attempt_history& history,
                      attempt_fate fate,
                      Budget&& budget) {
  /// Bounds the upstreams that are tried when several are out of reach.
  constexpr int kMaxTried = 5;
  const bool not_run =
      fate == attempt_fate::kNotSent || fate == attempt_fate::kNotRun;
  const bool repeatable = target.repeat != repeat_rule::kNonIdempotent;
  const bool allowed =
      not_run ? history.may_have_run < target.max_attempts
              : repeatable && history.may_have_run < target.max_attempts;
  if (allowed && history.tried < kMaxTried &&
      (fate == attempt_fate::kNotSent || budget())) {
    return attempt_step::kTryAnother;
  }
  if (fate == attempt_fate::kRanAndFailed) {
    return attempt_step::kForward;
  }
  return history.may_have_run == 0 ? attempt_step::kRefuse
                                   : attempt_step::kAnswerUnknown;
}

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PLACEMENT_ATTEMPT_POLICY_H_
