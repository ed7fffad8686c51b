#ifndef FIREFLYSLIP_DISTRIBUTION_H_
#define FIREFLYSLIP_DISTRIBUTION_H_

/// \brief Distribution of model weights among agents, chunk by chunk.
///
/// `manifest` lists the chunks of a model version, `chunk_bitmap` tells which
/// of them an agent has, `chunk_fetcher` decides what to fetch from where.

#include "fireflyslip/distribution/chunk_bitmap.h"
#include "fireflyslip/distribution/chunk_fetcher.h"
#include "fireflyslip/distribution/chunk_selection_policy.h"
#include "fireflyslip/distribution/manifest.h"
#include "fireflyslip/distribution/transfer_limits.h"

#endif  // FIREFLYSLIP_DISTRIBUTION_H_
