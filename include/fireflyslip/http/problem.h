#ifndef FIREFLYSLIP_HTTP_PROBLEM_H_
#define FIREFLYSLIP_HTTP_PROBLEM_H_

#include <optional>

#include "fireflyslip/core/error.h"
#include "fireflyslip/core/time.h"
#include "fireflyslip/http/http_message.h"

namespace fireflyslip {

/// \brief Header that tells a caller what it may conclude about the execution.
inline constexpr char kOutcomeHeader[] = "X-Outcome";

/// \brief Response `application/problem+json` for an error.
///
/// `retry_after` is rounded up to whole seconds and sent only for kinds for
/// which waiting helps. `actual` replaces the outcome of the error table when
/// more is known about this request.
http_response ProblemResponse(const error& problem,
                              std::optional<duration> retry_after = {},
                              std::optional<outcome> actual = {});

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_HTTP_PROBLEM_H_
