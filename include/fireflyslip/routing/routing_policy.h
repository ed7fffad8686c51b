#ifndef FIREFLYSLIP_ROUTING_ROUTING_POLICY_H_
#define FIREFLYSLIP_ROUTING_ROUTING_POLICY_H_

#include <concepts>
#include <cstddef>
#include <span>

#include "fireflyslip/core/ids.h"
#include "fireflyslip/core/random_source.h"

namespace fireflyslip {

/// \brief An upstream that can serve a request.
struct routing_candidate {
  upstream_id upstream;
  double expected_wait = 0;  ///< Seconds until the request would complete.

  bool operator==(const routing_candidate&) const = default;
};

/// \brief Selects the index of one candidate; the list is not empty.
template <typename Policy>
concept routing_policy = std::default_initializable<Policy> &&
    requires(Policy policy,
             std::span<const routing_candidate> candidates,
             random_source& random) {
  { policy.Select(candidates, random) } -> std::same_as<std::size_t>;
};

/// \brief Power of two choices: selects the candidate with the lower expected
/// wait of two distinct random ones.
///
/// Load reports lag, so comparing all candidates would make all entries select
/// the same one at the same time (herding).
class two_choices_policy {
 public:
  std::size_t Select(std::span<const routing_candidate> candidates,
                     random_source& random) {
    const std::size_t first = random.Below(candidates.size());
    if (candidates.size() == 1) {
      return first;
    }
    std::size_t second = random.Below(candidates.size() - 1);
    second += second >= first ? 1 : 0;
    return candidates[second].expected_wait < candidates[first].expected_wait
               ? second
               : first;
  }
};

class random_policy {
 public:
  std::size_t Select(std::span<const routing_candidate> candidates,
                     random_source& random) {
    return random.Below(candidates.size());
  }
};

class round_robin_policy {
 public:
  std::size_t Select(std::span<const routing_candidate> candidates,
                     random_source& /*random*/) {
    return next_++ % candidates.size();
  }

 private:
  std::size_t next_ = 0;
};

static_assert(routing_policy<two_choices_policy>);
static_assert(routing_policy<random_policy>);
static_assert(routing_policy<round_robin_policy>);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_ROUTING_ROUTING_POLICY_H_
