#ifndef FIREFLYSLIP_PLACEMENT_H_
#define FIREFLYSLIP_PLACEMENT_H_

/// \brief Module placement: load balancing and queueing at a gateway. It
/// selects the upstream of each request, or queues or refuses the request.

#include "fireflyslip/placement/attempt_policy.h"
#include "fireflyslip/placement/decaying_rate.h"
#include "fireflyslip/placement/dispatcher.h"
#include "fireflyslip/placement/drain_policy.h"
#include "fireflyslip/placement/held_maximum.h"
#include "fireflyslip/placement/monitored_upstreams.h"
#include "fireflyslip/placement/permit_pool.h"
#include "fireflyslip/placement/placement_policy.h"
#include "fireflyslip/placement/response_pace.h"
#include "fireflyslip/placement/retry_window.h"
#include "fireflyslip/placement/tracked_upstream.h"
#include "fireflyslip/placement/upstream_advice.h"
#include "fireflyslip/placement/upstream_health.h"
#include "fireflyslip/placement/upstream_load.h"
#include "fireflyslip/placement/upstream_restrictions.h"

#endif  // FIREFLYSLIP_PLACEMENT_H_
