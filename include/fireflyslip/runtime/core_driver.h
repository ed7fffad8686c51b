#ifndef FIREFLYSLIP_RUNTIME_CORE_DRIVER_H_
#define FIREFLYSLIP_RUNTIME_CORE_DRIVER_H_

#include <deque>
#include <functional>
#include <utility>

#include "fireflyslip/core/decision_core.h"
#include "fireflyslip/runtime/process_clock.h"
#include "fireflyslip/runtime/timer_service.h"

namespace fireflyslip {

/// \brief Runs a decision core on one thread: passes events with the current
/// time, executes the resulting actions and sends ticks at the core's
/// deadlines. The timer service must outlive the driver. An action must not
/// destroy the driver.
template <decision_core Core>
class core_driver {
 public:
  using event = typename Core::event;
  using action = typename Core::action;
  using apply_function = std::function<void(const action&)>;

  core_driver(Core core, timer_service& timers, apply_function apply)
      : core_(std::move(core)), timers_(timers), apply_(std::move(apply)) {
    subscription_ = timers_.Subscribe([this] { return core_.NextDeadline(); },
                                      [this] { Handle(tick{}); });
  }
  ~core_driver() { timers_.Unsubscribe(subscription_); }
  core_driver(const core_driver&) = delete;
  core_driver& operator=(const core_driver&) = delete;

  const Core& core() const { return core_; }

  /// \brief Handles an event. Events raised by actions are queued and handled
  /// after all actions of the current event.
  void Handle(event raised) {
    pending_.push_back(std::move(raised));
    if (handling_) {
      return;
    }
    handling_ = true;
    while (!pending_.empty()) {
      const event next = std::move(pending_.front());
      pending_.pop_front();
      for (const action& next_action : core_.Handle(next, MonotonicNow())) {
        apply_(next_action);
      }
    }
    handling_ = false;
    timers_.Refresh();
  }

 private:
  Core core_;
  timer_service& timers_;
  apply_function apply_;
  std::deque<event> pending_;
  bool handling_ = false;
  timer_service::subscription_id subscription_ = 0;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_RUNTIME_CORE_DRIVER_H_
