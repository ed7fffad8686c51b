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
                     changed_ |= entries_.erase(id) > 0;
                   }
                 },
                 [&](const platform_responded& response) {
                   if (response.unreachable_for > outage_threshold_) {
                     grace_until_ =
                         std::max(grace_until_,
                                  now + grace_period_ - response.recovered_for);
                   }
                 },
                 [&](const listed& list) {
                   std::set<upstream_id> present;
                   for (const upstream_entry& entry : list.entries) {
                     present.insert(entry.id);
                     missing_.erase(entry.id);
                     upstream_entry& known = entries_[entry.id];
                     changed_ |= known != entry;
                     known = entry;
                   }
                   const upstream_map before = entries_;
                   for (const auto& [id, entry] : before) {
                     if (!present.contains(id)) {
                       Drop(id, now);
                     }
                   }
                 },
                 [&](const changed& change) {
                   missing_.erase(change.entry.id);
                   upstream_entry& known = entries_[change.entry.id];
                   changed_ |= known != change.entry;
                   known = change.entry;
                 },
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
  entries_.erase(found);
  changed_ = true;
}

}  // namespace fireflyslip
