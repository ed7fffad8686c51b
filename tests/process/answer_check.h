#ifndef FIREFLYSLIP_TESTS_PROCESS_ANSWER_CHECK_H_
#define FIREFLYSLIP_TESTS_PROCESS_ANSWER_CHECK_H_

#include <string>

#include "process/blocking_client.h"

namespace fireflyslip::testing {

/// \brief What is wrong with the answer to a prompt; empty if it is whole and
/// all of its parts come from one version. Accepts a stream and JSON.
std::string FaultOf(const http_answer& answer,
                    const std::string& prompt,
                    int tokens);

/// \brief True if the answer says clearly that it failed: a problem response,
/// or an error event at the end of a stream that has no end mark.
bool IsClearError(const http_answer& answer);

/// \brief Version that made the answer; "" if there is none.
std::string VersionOf(const http_answer& answer);

}  // namespace fireflyslip::testing

#endif  // FIREFLYSLIP_TESTS_PROCESS_ANSWER_CHECK_H_
