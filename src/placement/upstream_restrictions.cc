#include "fireflyslip/placement/upstream_restrictions.h"

#include <algorithm>

namespace fireflyslip {

bool upstream_restrictions::Record(const upstream_entry& upstream,
                                   const upstream_advice& stated,
                                   time_point now) {
  const incarnation key = KeyOf(upstream);
  auto found = restrictions_.find(key);
  if (found == restrictions_.end()) {
    if (!stated.rate_limit && !stated.leaving && !stated.retry_after) {
      return false;
    }
    if (restrictions_.size() == kMaxIncarnations) {
      DropOldest();
    }
    found = restrictions_.emplace(key, restriction{}).first;
  }
  restriction& known = found->second;
  upstream_advice advice = stated;
  advice.leaving |= known.advice.leaving;
  advice.retry_after.reset();
  advice.cold_for.reset();
  if (advice.rate_limit && !known.advice.rate_limit) {
    known.used_slot = now;
    known.phase = random_.Fraction();
  }
  if (stated.retry_after) {
    known.paused_until =
        std::max(known.paused_until, now + *stated.retry_after);
  }
  const bool changed = stated.retry_after || known.advice != advice;
  known.advice = advice;
  known.recorded_at = now;
  return changed;
}

bool upstream_restrictions::IsLeaving(const upstream_entry& upstream) const {
  const auto found = restrictions_.find(KeyOf(upstream));
  return found != restrictions_.end() && found->second.advice.leaving;
}

time_point upstream_restrictions::OpenAt(const upstream_entry& upstream,
                                         double gateways,
                                         time_point now) const {
  const auto found = restrictions_.find(KeyOf(upstream));
  if (found == restrictions_.end()) {
    return now;
  }
  const restriction& known = found->second;
  const time_point slot =
      known.advice.rate_limit ? NextSlot(known, gateways, now) : now;
  return std::max(slot, known.paused_until);
}

void upstream_restrictions::CountRequest(const upstream_entry& upstream,
                                         double gateways,
                                         time_point now) {
  const auto found = restrictions_.find(KeyOf(upstream));
  if (found == restrictions_.end() || !found->second.advice.rate_limit) {
    return;
  }
  restriction& known = found->second;
  known.used_slot = NextSlot(known, gateways, now);
  known.phase = 0;
}

duration upstream_restrictions::Period(double rate_limit, double gateways) {
  const double period_s = gateways / std::max(rate_limit, kMinRate);
  return FromSeconds(period_s <= ToSeconds(kDenseSlotTime)
                         ? period_s
                         : period_s / kSparseSlotFraction);
}

time_point upstream_restrictions::NextSlot(const restriction& known,
                                           double gateways,
                                           time_point now) {
  const duration period = Period(*known.advice.rate_limit, gateways);
  const duration shift = FromSeconds(ToSeconds(period) * known.phase);
  const time_point slot = known.used_slot + period - shift;
  const time_point oldest = now - kSlotLifetime;
  if (slot >= oldest || period <= duration(0)) {
    return slot;
  }
  const auto lapsed = (oldest - slot + period - duration(1)) / period;
  return slot + period * lapsed;
}

void upstream_restrictions::DropOldest() {
  restrictions_.erase(
      std::min_element(restrictions_.begin(), restrictions_.end(),
                       [](const auto& a, const auto& b) {
                         return a.second.recorded_at < b.second.recorded_at;
                       }));
}

}  // namespace fireflyslip
