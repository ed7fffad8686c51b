#ifndef FIREFLYSLIP_CORE_DECISION_CORE_H_
#define FIREFLYSLIP_CORE_DECISION_CORE_H_

#include <compare>
#include <concepts>
#include <optional>
#include <vector>

#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Event that only tells a core that time has passed.
struct tick {
  auto operator<=>(const tick&) const = default;
};

/// \brief Deterministic state machine that makes one kind of decision.
///
/// An event and the present time go in, actions come out. A core has no socket,
/// thread, clock or global random number generator, so that daemons, tests in
/// virtual time and other programs drive the same code. `event` and `action`
/// are variants of small value types; `event` contains `tick`. The owner sends
/// a `tick` no earlier than `NextDeadline()`. Times never decrease.
template <typename Core>
concept decision_core = requires(Core core,
                                 const Core& view,
                                 const typename Core::event& event,
                                 time_point now) {
  {
    core.Handle(event, now)
    } -> std::same_as<std::vector<typename Core::action>>;
  { view.NextDeadline() } -> std::same_as<std::optional<time_point>>;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CORE_DECISION_CORE_H_
