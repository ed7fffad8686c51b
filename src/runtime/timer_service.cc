#include "fireflyslip/runtime/timer_service.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "fireflyslip/runtime/process_clock.h"

namespace fireflyslip {
namespace {

/// Minimum timer delay; prevents busy looping on deadlines in the past.
constexpr duration kMinDelay = milliseconds(1);

}  // namespace

timer_service::timer_service(boost::asio::io_context& context)
    : timer_(context) {}

timer_service::subscription_id timer_service::Subscribe(
    deadline_function next_deadline,
    due_function on_due) {
  const subscription_id id = next_id_++;
  subscriptions_.push_back({id, std::move(next_deadline), std::move(on_due)});
  Refresh();
  return id;
}

void timer_service::Unsubscribe(subscription_id id) {
  const auto found = std::find_if(
      subscriptions_.begin(), subscriptions_.end(),
      [id](const subscription& subscriber) { return subscriber.id == id; });
  if (found == subscriptions_.end()) {
    return;
  }
  if (expiring_) {
    // `Expire()` iterates by index and erases ended entries when it returns.
    *found = {};
  } else {
    subscriptions_.erase(found);
  }
}

void timer_service::SubscribePeriodic(duration period, due_function on_due) {
  const auto next = std::make_shared<time_point>(MonotonicNow() + period);
  Subscribe([next] { return *next; },
            [next, period, on_due = std::move(on_due)] {
              *next = std::max(*next + period, MonotonicNow());
              on_due();
            });
}

void timer_service::Refresh() {
  if (!expiring_ && !stopped_) {
    Arm();
  }
}

void timer_service::Stop() {
  stopped_ = true;
  timer_.cancel();
}

void timer_service::Arm() {
  std::optional<time_point> earliest;
  for (const subscription& subscriber : subscriptions_) {
    const std::optional<time_point> deadline = subscriber.next_deadline();
    if (deadline && (!earliest || *deadline < *earliest)) {
      earliest = deadline;
    }
  }
  if (earliest == armed_for_) {
    return;
  }
  armed_for_ = earliest;
  if (!earliest) {
    timer_.cancel();
    return;
  }
  timer_.expires_after(std::max(*earliest - MonotonicNow(), kMinDelay));
  timer_.async_wait([this](const boost::system::error_code& code) {
    if (!code && !stopped_) {
      Expire();
    }
  });
}

void timer_service::Expire() {
  expiring_ = true;
  // Iterates by index: callbacks may add subscriptions, which would invalidate
  // iterators.
  for (std::size_t i = 0; i < subscriptions_.size(); ++i) {
    if (subscriptions_[i].id == 0) {
      continue;
    }
    const std::optional<time_point> deadline =
        subscriptions_[i].next_deadline();
    if (deadline && *deadline <= MonotonicNow()) {
      const due_function on_due = subscriptions_[i].on_due;
      on_due();
    }
  }
  expiring_ = false;
  std::erase_if(subscriptions_, [](const subscription& subscriber) {
    return subscriber.id == 0;
  });
  armed_for_.reset();
  Refresh();
}

}  // namespace fireflyslip
