#include "fireflyslip/retry/crash_registry.h"

#include <algorithm>
#include <cassert>

#include "fireflyslip/core/result.h"

namespace fireflyslip {
namespace {

constexpr std::uint32_t kBlockingCount = 2;

}  // namespace

crash_registry::crash_registry(std::size_t bound, duration lifetime)
    : bound_(bound), lifetime_(lifetime) {
  assert(bound > 0);
}

std::vector<crash_registry::action> crash_registry::Handle(const event& event,
                                                           time_point now) {
  for (auto* order : {&suspects_, &blocked_}) {
    while (!order->empty() && order->begin()->first <= now) {
      Remove(order->begin()->second);
    }
  }
  std::vector<action> actions;
  std::visit(
      overloaded{
          [](const tick& /*value*/) {},
          [&](const upstream_crashed& value) {
            // Several copies of a request in one crash count once.
            const std::set<request_fingerprint> distinct(
                value.in_progress.begin(), value.in_progress.end());
            for (const request_fingerprint fingerprint : distinct) {
              // Only a request that ran alone is known to have caused a crash.
              // Otherwise two crashes would block requests that merely ran
              // concurrently with the cause.
              const std::uint32_t count = CountOf(fingerprint);
              const std::uint32_t next =
                  distinct.size() == 1 ? count + 1
                                       : std::max(count, kBlockingCount - 1);
              Set(fingerprint, next, now);
              actions.emplace_back(broadcast_crash_count{fingerprint, next});
            }
          },
          [&](const peer_crash_count& value) {
            const std::uint32_t count = CountOf(value.fingerprint);
            if (value.count == 0 && count < kBlockingCount) {
              Remove(value.fingerprint);
            } else if (value.count > count) {
              Set(value.fingerprint, value.count, now);
            }
          },
          [&](const completed& value) {
            if (IsSuspect(value.fingerprint)) {
              Remove(value.fingerprint);
              actions.emplace_back(broadcast_crash_count{value.fingerprint, 0});
            }
          }},
      event);
  return actions;
}

std::optional<time_point> crash_registry::NextDeadline() const {
  std::optional<time_point> next;
  for (const auto* order : {&suspects_, &blocked_}) {
    if (!order->empty()) {
      const time_point expiry = order->begin()->first;
      next = std::min(next.value_or(expiry), expiry);
    }
  }
  return next;
}

bool crash_registry::IsSuspect(request_fingerprint fingerprint) const {
  const std::uint32_t count = CountOf(fingerprint);
  return count > 0 && count < kBlockingCount;
}

bool crash_registry::IsBlocked(request_fingerprint fingerprint) const {
  return CountOf(fingerprint) >= kBlockingCount;
}

void crash_registry::Set(request_fingerprint fingerprint,
                         std::uint32_t count,
                         time_point now) {
  Remove(fingerprint);
  if (entries_.size() >= bound_) {
    Remove((suspects_.empty() ? blocked_ : suspects_).begin()->second);
  }
  const time_point expiry = now + lifetime_;
  entries_[fingerprint] = {count, expiry};
  (count >= kBlockingCount ? blocked_ : suspects_).emplace(expiry, fingerprint);
}

void crash_registry::Remove(request_fingerprint fingerprint) {
  const auto found = entries_.find(fingerprint);
  if (found == entries_.end()) {
    return;
  }
  suspects_.erase({found->second.expiry, fingerprint});
  blocked_.erase({found->second.expiry, fingerprint});
  entries_.erase(found);
}

std::uint32_t crash_registry::CountOf(request_fingerprint fingerprint) const {
  const auto found = entries_.find(fingerprint);
  return found == entries_.end() ? 0 : found->second.count;
}

}  // namespace fireflyslip
