#include "fireflyslip/distribution/chunk_selection_policy.h"

#include <cassert>

namespace fireflyslip {

std::size_t rarest_first_policy::Select(
    std::span<const chunk_candidate> candidates,
    random_source& random) const {
  assert(!candidates.empty());
  std::size_t best = 0;
  std::size_t equals = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (candidates[i].holders < candidates[best].holders) {
      best = i;
      equals = 1;
    } else if (candidates[i].holders == candidates[best].holders &&
               random.Below(++equals) == 0) {
      best = i;
    }
  }
  return best;
}

std::size_t sequential_policy::Select(
    std::span<const chunk_candidate> candidates,
    random_source& /*random*/) const {
  assert(!candidates.empty());
  return 0;
}

}  // namespace fireflyslip
