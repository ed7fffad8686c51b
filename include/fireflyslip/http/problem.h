#ifndef FIREFLYSLIP_HTTP_PROBLEM_H_
#define FIREFLYSLIP_HTTP_PROBLEM_H_

#include <optional>

#include "fireflyslip/core/error.h"
#include "fireflyslip/core/time.h"
#include "fireflyslip/http/http_message.h"

namespace fireflyslip {

/// \brief Header field that states whether the request was executed.
inline constexpr char kOutcomeHeader[] = "X-Outcome";

/// \brief Response `application/problem+json` (RFC 7807) for an error.
///
/// `retry_after` is rounded up to whole seconds and sent only for retryable
/// error kinds. `known_outcome` overrides the default outcome of the error
/// kind.
http_response ProblemResponse(const error& problem,
                              std::optional<duration> retry_after = {},
                              std::optional<outcome> known_outcome = {});

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_HTTP_PROBLEM_H_
