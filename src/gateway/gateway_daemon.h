#ifndef FIREFLYSLIP_GATEWAY_GATEWAY_DAEMON_H_
#define FIREFLYSLIP_GATEWAY_GATEWAY_DAEMON_H_

#include "node/node_settings.h"

namespace fireflyslip {

/// \brief Runs a gateway until SIGTERM or SIGINT; returns the exit code.
int RunGateway(const node_settings& settings);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_GATEWAY_GATEWAY_DAEMON_H_
