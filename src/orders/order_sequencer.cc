#include "fireflyslip/orders/order_sequencer.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fireflyslip {

static_assert(decision_core<order_sequencer>);

order_sequencer::order_sequencer(order_sequencer_settings settings)
    : settings_(settings) {}

std::vector<order_sequencer::action> order_sequencer::Handle(const event& event,
                                                             time_point now) {
  assert(now >= now_);
  now_ = now;
  fence_verified_ = false;
  std::visit([this](const auto& e) { On(e); }, event);
  if (engine_ == engine_call::kOrder && order_expiry_ <= now_) {
    OrderUnknown();
  }
  CallEngine();
  CallPlatform();
  return std::exchange(actions_, {});
}

std::optional<time_point> order_sequencer::NextDeadline() const {
  std::optional<time_point> next;
  const auto add = [&](time_point when) {
    next = next ? std::min(*next, when) : when;
  };
  if (phase_ == phase::kNotStarted || phase_ == phase::kSuperseded) {
    return next;
  }
  if (engine_ == engine_call::kOrder) {
    add(order_expiry_);
  }
  const bool needs_platform = phase_ == phase::kAcquiring || must_verify_fence_;
  if (needs_platform) {
    if (platform_ == platform_call::kNone) {
      add(platform_not_before_);
    }
  } else if (engine_ == engine_call::kNone) {
    if (!state_fresh_) {
      add(engine_not_before_);
    } else if (WantsOrder() && platform_ == platform_call::kNone) {
      add(std::max({order_allowed_, engine_not_before_,
                    settings_.checks_fencing ? now_ : platform_not_before_}));
      add(next_check_);
    } else {
      add(next_check_);
    }
  }
  return next;
}

void order_sequencer::On(const tick& /*event*/) {}

void order_sequencer::On(const orders::started& event) {
  assert(phase_ == phase::kNotStarted);
  incarnation_ = event.incarnation;
  phase_ = phase::kAcquiring;
}

void order_sequencer::On(const orders::fence_read& event) {
  if (!EndRead()) {
    return;
  }
  if (event.value.incarnation > incarnation_) {
    phase_ = phase::kSuperseded;
  } else if (event.value == fence_ && !must_raise_token_) {
    // Already owned, or an update whose response was lost took effect.
    if (phase_ == phase::kAcquiring) {
      BecomeOwner();
    }
    must_verify_fence_ = false;
    fence_verified_ = true;
  } else {
    RaiseFence(event.version, std::max(event.value.token, fence_.token) + 1);
  }
}

void order_sequencer::On(const orders::fence_missing& /*event*/) {
  if (EndRead()) {
    RaiseFence(std::nullopt, fence_.token + 1);
  }
}

void order_sequencer::On(const orders::fence_written& /*event*/) {
  assert(platform_ == platform_call::kWrite);
  platform_ = platform_call::kNone;
  BecomeOwner();
}

void order_sequencer::On(const orders::fence_conflict& /*event*/) {
  assert(platform_ == platform_call::kWrite);
  platform_ = platform_call::kNone;
  platform_not_before_ = now_;
}

void order_sequencer::On(const orders::fence_failed& /*event*/) {
  assert(platform_ != platform_call::kNone);
  // The owner continues during an outage, unless it was paused.
  fence_verified_ = platform_ == platform_call::kRead && !discard_read_ &&
                    phase_ == phase::kOwner && !must_verify_fence_;
  platform_ = platform_call::kNone;
  discard_read_ = false;
  platform_not_before_ = now_ + settings_.retry_delay;
}

void order_sequencer::On(const orders::fence_write_unknown& /*event*/) {
  assert(platform_ == platform_call::kWrite);
  platform_ = platform_call::kNone;
  platform_not_before_ = now_;
}

void order_sequencer::On(const orders::desired_changed& event) {
  if (desired_ != event.content) {
    desired_ = event.content;
    load_failed_ = false;
    reported_.reset();
    ReportServing();
  }
}

void order_sequencer::On(const orders::engine_state& event) {
  assert(engine_ == engine_call::kState);
  engine_ = engine_call::kNone;
  state_ = event.reported;
  state_fresh_ = event.reported.has_value();
  if (state_fresh_) {
    next_check_ = now_ + settings_.check_interval;
    ReportServing();
  } else {
    engine_not_before_ = now_ + settings_.retry_delay;
  }
}

void order_sequencer::On(const orders::order_answered& event) {
  if (engine_ != engine_call::kOrder || event.order != order_) {
    return;
  }
  switch (event.result) {
    case orders::order_result::kOk:
      engine_ = engine_call::kNone;
      state_fresh_ = false;
      engine_not_before_ = now_;
      break;
    case orders::order_result::kStaleFence:
      engine_ = engine_call::kNone;
      state_fresh_ = false;
      phase_ = phase::kAcquiring;
      must_raise_token_ = true;
      break;
    case orders::order_result::kCannotLoad:
      engine_ = engine_call::kNone;
      state_fresh_ = false;
      if (desired_ == ordered_) {
        load_failed_ = true;
        actions_.emplace_back(
            orders::report_load_result{ordered_, false, event.reason});
      }
      break;
    case orders::order_result::kUnknown:
      OrderUnknown();
      break;
  }
}

void order_sequencer::On(const orders::resumed_after_pause& /*event*/) {
  must_verify_fence_ = true;
  discard_read_ = platform_ == platform_call::kRead;
  state_fresh_ = false;
  platform_not_before_ = now_;
}

/// \brief Ends the read in progress and returns whether its result is valid.
bool order_sequencer::EndRead() {
  assert(platform_ == platform_call::kRead);
  platform_ = platform_call::kNone;
  return !std::exchange(discard_read_, false);
}

void order_sequencer::RaiseFence(std::optional<std::uint64_t> expected,
                                 std::uint64_t token) {
  phase_ = phase::kAcquiring;
  must_raise_token_ = false;
  fence_ = {token, incarnation_};
  platform_ = platform_call::kWrite;
  actions_.emplace_back(orders::write_fence{expected, fence_});
}

void order_sequencer::BecomeOwner() {
  phase_ = phase::kOwner;
  state_fresh_ = false;
  if (!settings_.checks_fencing) {
    // The previous incarnation read the fence before this update, so its last
    // order expires within this time.
    order_allowed_ = std::max(order_allowed_, now_ + settings_.order_expiry);
  }
}

void order_sequencer::OrderUnknown() {
  engine_ = engine_call::kNone;
  state_fresh_ = false;
  engine_not_before_ = now_;
  // The order may still take effect, and could then overtake a second one.
  order_allowed_ = std::max(order_allowed_, order_expiry_);
}

bool order_sequencer::WantsOrder() const {
  return phase_ == phase::kOwner && !must_verify_fence_ && state_fresh_ &&
         desired_ && state_ != desired_ && !load_failed_;
}

void order_sequencer::CallPlatform() {
  if (platform_ != platform_call::kNone || now_ < platform_not_before_ ||
      phase_ == phase::kNotStarted || phase_ == phase::kSuperseded) {
    return;
  }
  const bool before_order = !settings_.checks_fencing && WantsOrder() &&
                            engine_ == engine_call::kNone &&
                            order_allowed_ <= now_ &&
                            engine_not_before_ <= now_;
  if (phase_ == phase::kAcquiring || must_verify_fence_ || before_order) {
    platform_ = platform_call::kRead;
    read_started_ = now_;
    actions_.emplace_back(orders::read_fence{});
  }
}

void order_sequencer::CallEngine() {
  if (engine_ != engine_call::kNone || phase_ != phase::kOwner ||
      must_verify_fence_ || now_ < engine_not_before_) {
    return;
  }
  if (!state_fresh_ || next_check_ <= now_) {
    engine_ = engine_call::kState;
    actions_.emplace_back(orders::read_engine_state{});
  } else if (WantsOrder() && order_allowed_ <= now_ &&
             (settings_.checks_fencing || fence_verified_)) {
    SendOrder();
  }
}

void order_sequencer::SendOrder() {
  const time_point from = settings_.checks_fencing ? now_ : read_started_;
  order_expiry_ = from + settings_.order_expiry;
  if (order_expiry_ <= now_) {
    return;  // The read took longer than the lifetime of an order.
  }
  engine_ = engine_call::kOrder;
  ordered_ = *desired_;
  // Delays the next order, in case it is for the same version.
  engine_not_before_ = now_ + settings_.retry_delay;
  actions_.emplace_back(orders::send_order{++order_, orders::order_kind::kLoad,
                                           ordered_, fence_.token,
                                           order_expiry_});
}

void order_sequencer::ReportServing() {
  if (state_fresh_ && state_ == desired_ && reported_ != desired_) {
    reported_ = desired_;
    actions_.emplace_back(orders::report_load_result{*desired_, true, {}});
  } else if (state_fresh_ && state_ != desired_) {
    reported_.reset();
  }
}

}  // namespace fireflyslip
