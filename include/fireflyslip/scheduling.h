#ifndef FIREFLYSLIP_SCHEDULING_H_
#define FIREFLYSLIP_SCHEDULING_H_

/// \brief Module scheduling: the queue of an agent and the order in which its
/// upstream runs the attempts of all gateways.

#include "fireflyslip/scheduling/request_scheduler.h"
#include "fireflyslip/scheduling/token_window.h"

#endif  // FIREFLYSLIP_SCHEDULING_H_
