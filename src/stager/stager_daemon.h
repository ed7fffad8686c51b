#ifndef FIREFLYSLIP_STAGER_STAGER_DAEMON_H_
#define FIREFLYSLIP_STAGER_STAGER_DAEMON_H_

#include "node/node_settings.h"

namespace fireflyslip {

/// \brief Runs a stager until SIGTERM or SIGINT; returns the exit code.
int RunStager(const node_settings& settings);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_STAGER_STAGER_DAEMON_H_
