#ifndef FIREFLYSLIP_CONFIGURATION_H_
#define FIREFLYSLIP_CONFIGURATION_H_

/// \brief Module configuration: distributes the accepted configuration to all
/// processes.

#include "fireflyslip/configuration/configuration_relay.h"
#include "fireflyslip/configuration/relay_messages.h"

#endif  // FIREFLYSLIP_CONFIGURATION_H_
