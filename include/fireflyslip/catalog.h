#ifndef FIREFLYSLIP_CATALOG_H_
#define FIREFLYSLIP_CATALOG_H_

/// \brief Module catalog: what an entry knows of routes, workspaces, upstreams
/// and named model versions, and how old that knowledge is.

#include "fireflyslip/catalog/deployment.h"
#include "fireflyslip/catalog/route_table.h"
#include "fireflyslip/catalog/upstream_entry.h"
#include "fireflyslip/catalog/upstream_registry.h"
#include "fireflyslip/catalog/version_targets.h"
#include "fireflyslip/catalog/watch_freshness.h"

#endif  // FIREFLYSLIP_CATALOG_H_
