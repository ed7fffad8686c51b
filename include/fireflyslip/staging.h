#ifndef FIREFLYSLIP_STAGING_H_
#define FIREFLYSLIP_STAGING_H_

/// \brief Module staging: peer-to-peer distribution of published weights to the
/// replica of an agent.

#include "fireflyslip/staging/chunk_sources.h"
#include "fireflyslip/staging/link_pacer.h"
#include "fireflyslip/staging/peer_refresh.h"
#include "fireflyslip/staging/weight_stager.h"

#endif  // FIREFLYSLIP_STAGING_H_
