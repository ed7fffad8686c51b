#ifndef FIREFLYSLIP_DISTRIBUTION_CHUNK_SELECTION_POLICY_H_
#define FIREFLYSLIP_DISTRIBUTION_CHUNK_SELECTION_POLICY_H_

#include <concepts>
#include <cstddef>
#include <span>

#include "fireflyslip/core/random_source.h"

namespace fireflyslip {

/// \brief A missing chunk that at least one eligible peer has.
struct chunk_candidate {
  std::size_t index = 0;
  std::size_t holders = 0;  ///< Number of known peers that have the chunk.
};

/// \brief Selects the next chunk to fetch from a peer.
///
/// `Select` returns a position in `candidates`, which is not empty and is
/// sorted by chunk index.
template <typename Policy>
concept chunk_selection_policy =
    requires(const Policy& policy,
             std::span<const chunk_candidate> candidates,
             random_source& random) {
  { policy.Select(candidates, random) } -> std::same_as<std::size_t>;
};

/// \brief Selects the chunk with the fewest holders. Ties are broken at random,
/// so that neighbours fetch different chunks.
class rarest_first_policy {
 public:
  std::size_t Select(std::span<const chunk_candidate> candidates,
                     random_source& random) const;
};

/// \brief Selects the lowest index. Baseline for measurements.
class sequential_policy {
 public:
  std::size_t Select(std::span<const chunk_candidate> candidates,
                     random_source& random) const;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_DISTRIBUTION_CHUNK_SELECTION_POLICY_H_
