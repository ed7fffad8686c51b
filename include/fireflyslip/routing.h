#ifndef FIREFLYSLIP_ROUTING_H_
#define FIREFLYSLIP_ROUTING_H_

/// \brief Module routing: selects the upstream of each request at an entry and
/// the agents to which an entry links.

#include "fireflyslip/routing/neighbour_selection.h"
#include "fireflyslip/routing/request_router.h"
#include "fireflyslip/routing/routing_policy.h"
#include "fireflyslip/routing/upstream_table.h"

#endif  // FIREFLYSLIP_ROUTING_H_
