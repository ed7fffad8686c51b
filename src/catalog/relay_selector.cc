#include "fireflyslip/catalog/relay_selector.h"

#include <algorithm>

#include "fireflyslip/core/result.h"

namespace fireflyslip {

std::vector<relay_selector::action> relay_selector::Handle(const event& event,
                                                           time_point now) {
  std::visit(overloaded{
                 [](const tick&) {},
                 [&](const candidates_changed& change) {
                   SetCandidates(change.addresses, now);
                 },
                 [&](const polled& result) {
                   polling_ = false;
                   Record(result, now);
                 },
             },
             event);
  std::vector<action> actions;
  if (watching_store_ && IsServed(now)) {
    watching_store_ = false;
    actions.emplace_back(leave_store{});
  } else if (!watching_store_ && MustWatchStore(now)) {
    watching_store_ = true;
    actions.emplace_back(watch_store{});
  }
  const candidate* next = polling_ ? nullptr : FirstUnblocked(now);
  if (next != nullptr) {
    polling_ = true;
    const bool trial = !current_.empty() && next->address != current_;
    actions.emplace_back(
        poll{next->address, trial ? policy_.trial_hold : HoldTime(now)});
  }
  return actions;
}

std::optional<time_point> relay_selector::NextDeadline() const {
  std::optional<time_point> earliest;
  const auto add = [&](time_point deadline) {
    earliest = earliest ? std::min(*earliest, deadline) : deadline;
  };
  if (!watching_store_ && !last_fresh_ && first_candidates_) {
    add(*first_candidates_ + policy_.max_start);
  }
  if (!watching_store_ && last_fresh_) {
    constexpr duration kTick{1};
    add(*last_fresh_ + policy_.max_silence + kTick);
  }
  if (!polling_) {
    for (const candidate& relay : candidates_) {
      add(relay.blocked_until);
    }
  }
  return earliest;
}

relay_selector::candidate* relay_selector::Find(const std::string& address) {
  const auto found =
      std::find_if(candidates_.begin(), candidates_.end(),
                   [&](const candidate& c) { return c.address == address; });
  return found == candidates_.end() ? nullptr : &*found;
}

const relay_selector::candidate* relay_selector::FirstUnblocked(
    time_point now) const {
  const auto found =
      std::find_if(candidates_.begin(), candidates_.end(),
                   [&](const candidate& c) { return c.blocked_until <= now; });
  return found == candidates_.end() ? nullptr : &*found;
}

void relay_selector::SetCandidates(const std::vector<std::string>& addresses,
                                   time_point now) {
  if (!addresses.empty() && !first_candidates_) {
    first_candidates_ = now;
  }
  std::vector<candidate> changed;
  changed.reserve(addresses.size());
  for (const std::string& address : addresses) {
    const bool repeated = std::any_of(
        changed.begin(), changed.end(),
        [&](const candidate& other) { return other.address == address; });
    if (repeated) {
      continue;
    }
    const candidate* known = Find(address);
    changed.push_back(known != nullptr ? *known : candidate{address, {}, 0});
  }
  candidates_ = std::move(changed);
}

void relay_selector::Record(const polled& result, time_point now) {
  candidate* relay = Find(result.address);
  if (result.status == relay_poll_status::kFresh) {
    last_fresh_ = now;
    current_ = result.address;
    if (relay != nullptr) {
      relay->failures = 0;
    }
    return;
  }
  if (result.address == current_) {
    current_.clear();
  }
  if (relay != nullptr) {
    Block(*relay, result.status, now);
  }
}

void relay_selector::Block(candidate& relay,
                           relay_poll_status status,
                           time_point now) {
  duration delay = policy_.stale_delay;
  if (status == relay_poll_status::kFailed) {
    constexpr int kMaxDoublings = 10;
    delay = std::min(
        policy_.max_failure_delay,
        policy_.failure_delay * (1 << std::min(relay.failures, kMaxDoublings)));
    ++relay.failures;
  }
  constexpr double kMinFactor = 0.75;
  relay.blocked_until =
      now +
      FromSeconds(ToSeconds(delay) * (kMinFactor + random_.Fraction() / 2));
}

bool relay_selector::IsServed(time_point now) const {
  return last_fresh_ && !current_.empty() &&
         now - *last_fresh_ <= policy_.max_silence;
}

duration relay_selector::HoldTime(time_point now) const {
  if (!IsServed(now)) {
    return last_fresh_ ? policy_.trial_hold : policy_.hold;
  }
  // After a trial of another relay, the time without a response goes on.
  const duration left =
      *last_fresh_ + policy_.max_silence - policy_.response_time - now;
  return std::clamp(left, duration(0), policy_.hold);
}

bool relay_selector::MustWatchStore(time_point now) const {
  if (candidates_.empty()) {
    return true;
  }
  if (!last_fresh_) {
    return (!polling_ && FirstUnblocked(now) == nullptr) ||
           now - *first_candidates_ >= policy_.max_start;
  }
  return !IsServed(now);
}

}  // namespace fireflyslip
