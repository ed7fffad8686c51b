#ifndef FIREFLYSLIP_DISTRIBUTION_H_
#define FIREFLYSLIP_DISTRIBUTION_H_

/// \brief Distribution of model weights among agents, chunk by chunk.
///
/// `manifest` lists the chunks of a model version, `chunk_bitmap` tells which
/// of them an agent has, `chunk_fetcher` decides what to fetch from where.

#include "fireflyslip/distribution/chunk_bitmap.h"   // IWYU pragma: export
#include "fireflyslip/distribution/chunk_fetcher.h"  // IWYU pragma: export
#include "fireflyslip/distribution/chunk_selection_policy.h"  // IWYU pragma: export
#include "fireflyslip/distribution/manifest.h"         // IWYU pragma: export
#include "fireflyslip/distribution/transfer_limits.h"  // IWYU pragma: export

#endif  // FIREFLYSLIP_DISTRIBUTION_H_
