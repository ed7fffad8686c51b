#ifndef FIREFLYSLIP_DISTRIBUTION_H_
#define FIREFLYSLIP_DISTRIBUTION_H_

/// \brief Module distribution: peer-to-peer distribution of model weights in
/// content-addressed chunks.
///
/// `manifest` lists the chunks of a model version, `chunk_bitmap` records which
/// of them an agent has, and `chunk_fetcher` selects the next chunk and its
/// source.

#include "fireflyslip/distribution/chunk_bitmap.h"
#include "fireflyslip/distribution/chunk_fetcher.h"
#include "fireflyslip/distribution/chunk_selection_policy.h"
#include "fireflyslip/distribution/manifest.h"
#include "fireflyslip/distribution/transfer_limits.h"

#endif  // FIREFLYSLIP_DISTRIBUTION_H_
