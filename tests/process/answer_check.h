#ifndef FIREFLYSLIP_TESTS_PROCESS_ANSWER_CHECK_H_
#define FIREFLYSLIP_TESTS_PROCESS_ANSWER_CHECK_H_

#include <string>

#include "process/blocking_client.h"

namespace fireflyslip::testing {

/// \brief Describes the fault of the answer to a prompt. Returns an empty
/// string if the answer is complete and all of its parts come from one version.
/// The answer may be a stream or JSON.
std::string FindFault(const http_answer& answer,
                      const std::string& prompt,
                      int tokens);

/// \brief Whether the answer is an explicit error: a problem response, or a
/// stream with an error event and without the `[DONE]` event.
bool IsClearError(const http_answer& answer);

/// \brief Version that produced the answer; empty if there is none.
std::string VersionOf(const http_answer& answer);

}  // namespace fireflyslip::testing

#endif  // FIREFLYSLIP_TESTS_PROCESS_ANSWER_CHECK_H_
