#include "fireflyslip/catalog/upstream_registry.h"

#include <algorithm>
#include <utility>

#include "fireflyslip/core/result.h"

namespace fireflyslip {

std::vector<upstream_registry::action> upstream_registry::Handle(
    const event& event,
    time_point now) {
  changed_ = false;
  std::visit(overloaded{
                 [&](const tick&) {
                   if (InGrace(now)) {
                     return;
                   }
                   for (const upstream_id& id : std::exchange(missing_, {})) {
                     Erase(id);
                   }
                 },
                 [&](const platform_responded& response) {
                   if (response.unreachable_for > outage_threshold_) {
                     grace_until_ =
                         std::max(grace_until_,
                                  now + grace_period_ - response.recovered_for);
                   }
                 },
                 [&](const store_restored&) {
                   grace_until_ = std::max(grace_until_, now + grace_period_);
                   for (auto& [id, left] : departed_) {
                     left.may_be_in_copy = true;
                   }
                 },
                 [&](const listed& list) {
                   std::set<upstream_id> present;
                   for (const upstream_entry& entry : list.entries) {
                     present.insert(entry.id);
                     Set(entry);
                   }
                   const upstream_map before = entries_;
                   for (const auto& [id, entry] : before) {
                     if (!present.contains(id)) {
                       Drop(id, now);
                     }
                   }
                 },
                 [&](const changed& change) { Set(change.entry); },
                 [&](const removed& removal) { Drop(removal.id, now); },
             },
             event);
  if (!changed_) {
    return {};
  }
  return {publish{std::make_shared<const upstream_map>(entries_)}};
}

std::optional<time_point> upstream_registry::NextDeadline() const {
  if (missing_.empty()) {
    return std::nullopt;
  }
  return grace_until_;
}

void upstream_registry::Set(upstream_entry entry) {
  const auto left = departed_.find(entry.id);
  if (left != departed_.end()) {
    if (left->second.started_ms == entry.started_ms) {
      if (left->second.may_be_in_copy &&
          entry.sequence <= left->second.sequence) {
        return;
      }
      entry.draining |= left->second.draining;
    }
    departed_.erase(left);
  }
  missing_.erase(entry.id);
  const auto [found, added] = entries_.try_emplace(entry.id, entry);
  if (added) {
    changed_ = true;
    return;
  }
  upstream_entry& known = found->second;
  if (entry.started_ms != 0 && entry.started_ms == known.started_ms) {
    entry.draining |= known.draining;
    entry.sequence = std::max(entry.sequence, known.sequence);
  }
  // A relay passes on that an upstream is cold again, but not how its cold time
  // passes, so the same time may be news.
  const bool may_be_cold_again =
      entry.cold_for > duration(0) && entry.sequence > known.sequence;
  changed_ |= may_be_cold_again || !IsSameState(known, entry);
  known = std::move(entry);
}

void upstream_registry::Drop(const upstream_id& id, time_point now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return;
  }
  // A draining upstream is removed on purpose, not by expiry.
  if (InGrace(now) && !found->second.draining) {
    missing_.insert(id);
    return;
  }
  missing_.erase(id);
  Erase(id);
}

void upstream_registry::Erase(const upstream_id& id) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return;
  }
  const upstream_entry& entry = found->second;
  if (entry.started_ms != 0) {
    departed_[id] = {entry.started_ms, entry.sequence, entry.draining, false,
                     ++departures_};
  }
  if (departed_.size() > max_departed_) {
    departed_.erase(std::min_element(departed_.begin(), departed_.end(),
                                     [](const auto& a, const auto& b) {
                                       return a.second.order < b.second.order;
                                     }));
  }
  entries_.erase(found);
  changed_ = true;
}

}  // namespace fireflyslip
