#ifndef FIREFLYSLIP_PROGRAM_DAEMON_H_
#define FIREFLYSLIP_PROGRAM_DAEMON_H_

#include "fireflyslip/contract.h"

namespace fireflyslip {

/// \brief Runs an entry until SIGTERM or SIGINT; returns the exit code.
int RunEntry(process_settings settings);

/// \brief Runs an agent until SIGTERM or SIGINT; returns the exit code.
int RunAgent(process_settings settings);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_DAEMON_H_
