#ifndef FIREFLYSLIP_STAGING_H_
#define FIREFLYSLIP_STAGING_H_

/// \brief Module staging: how an agent brings named weights to its replica.

#include "fireflyslip/staging/chunk_sources.h"
#include "fireflyslip/staging/link_pacer.h"
#include "fireflyslip/staging/weight_stager.h"

#endif  // FIREFLYSLIP_STAGING_H_
