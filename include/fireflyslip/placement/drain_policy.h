#ifndef FIREFLYSLIP_PLACEMENT_DRAIN_POLICY_H_
#define FIREFLYSLIP_PLACEMENT_DRAIN_POLICY_H_

#include <optional>

#include "fireflyslip/catalog/route_table.h"
#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief What a gateway that is stopping does with a new request.
enum class drain_decision {
  kAccept,         ///< Its own deadline is early enough.
  kLimitDeadline,  ///< Accept it with the end of the gateway as its deadline.
  kRefuse,         ///< Tell the client at once that it was not run.
};

/// \brief Request that arrives while the gateway is stopping.
struct draining_arrival {
  request_idempotency idempotency = request_idempotency::kNonIdempotent;
  duration time_left{0};  ///< Until the deadline of the client and the route.
  /// Usual time until the response is complete, if known.
  std::optional<duration> expected_duration;
};

/// \brief Decides whether a request is accepted while the gateway is stopping.
///
/// A request that the gateway cannot finish loses the time that it has spent
/// there, and one that must run at most once is lost entirely, whereas a
/// refused request is sent to another gateway. \param remaining time until the
/// gateway must have answered.
inline drain_decision DecideWhileDraining(const draining_arrival& arrival,
                                          duration remaining) {
  /// Multiples of the expected duration that must remain.
  constexpr int kRepeatableFactor = 2;
  constexpr int kNonIdempotentFactor = 4;
  if (arrival.time_left <= remaining) {
    return drain_decision::kAccept;
  }
  const int factor = arrival.idempotency == request_idempotency::kNonIdempotent
                         ? kNonIdempotentFactor
                         : kRepeatableFactor;
  return arrival.expected_duration &&
                 *arrival.expected_duration * factor <= remaining
             ? drain_decision::kLimitDeadline
             : drain_decision::kRefuse;
}

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PLACEMENT_DRAIN_POLICY_H_
