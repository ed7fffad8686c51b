#ifndef FIREFLYSLIP_RETRY_H_
#define FIREFLYSLIP_RETRY_H_

/// \brief Module retry: decides at a gateway whether and when a failed attempt
/// is retried, and quarantines requests that crash their upstreams.

#include "fireflyslip/retry/crash_attribution.h"
#include "fireflyslip/retry/crash_registry.h"
#include "fireflyslip/retry/retry_budget.h"
#include "fireflyslip/retry/retry_controller.h"

#endif  // FIREFLYSLIP_RETRY_H_
