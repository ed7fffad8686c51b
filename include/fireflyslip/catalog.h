#ifndef FIREFLYSLIP_CATALOG_H_
#define FIREFLYSLIP_CATALOG_H_

/// \brief Module catalog: a gateway's view of routes, workspaces, upstreams and
/// published model versions, the age of that view and where it comes from.

#include "fireflyslip/catalog/change_age.h"
#include "fireflyslip/catalog/content_history.h"
#include "fireflyslip/catalog/deployment.h"
#include "fireflyslip/catalog/evacuation_registry.h"
#include "fireflyslip/catalog/pending_confirmations.h"
#include "fireflyslip/catalog/read_backoff.h"
#include "fireflyslip/catalog/region_restriction.h"
#include "fireflyslip/catalog/relay_selector.h"
#include "fireflyslip/catalog/route_table.h"
#include "fireflyslip/catalog/store_position.h"
#include "fireflyslip/catalog/text_delta.h"
#include "fireflyslip/catalog/upstream_entry.h"
#include "fireflyslip/catalog/upstream_history.h"
#include "fireflyslip/catalog/upstream_registry.h"
#include "fireflyslip/catalog/version_history.h"
#include "fireflyslip/catalog/version_targets.h"
#include "fireflyslip/catalog/watch_freshness.h"

#endif  // FIREFLYSLIP_CATALOG_H_
