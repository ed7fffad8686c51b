#ifndef FIREFLYSLIP_CORE_DECISION_CORE_H_
#define FIREFLYSLIP_CORE_DECISION_CORE_H_

#include <compare>
#include <concepts>
#include <optional>
#include <vector>

#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Event that advances the time of a core without other input.
struct tick {
  auto operator<=>(const tick&) const = default;
};

/// \brief Deterministic state machine that makes one kind of decision.
///
/// `Handle()` takes an event and the current time and returns actions. A core
/// does no I/O and has no thread, clock or global random number generator, so
/// that daemons, simulations in virtual time and other programs run the same
/// code. `event` and `action` are variants of small value types; `event`
/// contains `tick`. The owner sends a `tick` no earlier than `NextDeadline()`.
/// Times passed to a core never decrease.
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
