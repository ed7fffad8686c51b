#include "fireflyslip/catalog/upstream_history.h"

#include <algorithm>
#include <cassert>
#include <set>

namespace fireflyslip {

void upstream_history::Replace(const std::vector<upstream_entry>& entries,
                               const store_position& position) {
  if (position < position_) {
    return;
  }
  std::set<upstream_id> present;
  for (const upstream_entry& entry : entries) {
    present.insert(entry.id);
    Set(entry.id, entry, position);
  }
  for (auto& [id, known] : records_) {
    if (!present.contains(id) && known.entry) {
      known = {std::nullopt, position, false};
      last_change_ = position;
    }
  }
  if (position_.revision == 0 || position.era > position_.era) {
    complete_since_ = position;
  }
  position_ = position;
  ForgetOldRemovals();
}

void upstream_history::Apply(const std::vector<upstream_change>& changes,
                             const store_position& position) {
  assert(changes.empty() || position.era == position_.era);
  if (position < position_) {
    return;
  }
  for (const upstream_change& change : changes) {
    Set(change.id, change.entry, position);
  }
  position_ = position;
  ForgetOldRemovals();
}

std::map<upstream_id, upstream_entry> upstream_history::Present() const {
  std::map<upstream_id, upstream_entry> present;
  for (const auto& [id, known] : records_) {
    if (known.entry) {
      present.emplace(id, *known.entry);
    }
  }
  return present;
}

upstream_changes upstream_history::Since(const store_position& position) const {
  upstream_changes answer;
  answer.position = position_;
  answer.complete = position < complete_since_;
  for (const auto& [id, known] : records_) {
    if (answer.complete ? known.entry.has_value() : known.position > position) {
      answer.changes.push_back({id, known.entry});
    }
  }
  return answer;
}

void upstream_history::Set(const upstream_id& id,
                           const std::optional<upstream_entry>& entry,
                           const store_position& position) {
  const auto found = records_.find(id);
  if (found == records_.end() && !entry) {
    return;
  }
  record& known = records_[id];
  if (known.entry && entry && IsSameState(*known.entry, *entry)) {
    const bool is_alive =
        known.returned && entry->sequence > known.entry->sequence;
    known.entry->sequence = entry->sequence;
    known.entry->cold_for = entry->cold_for;
    if (!is_alive) {
      return;
    }
  } else if (found != records_.end() && !known.entry && !entry) {
    return;
  }
  const bool returned = found != records_.end() && !known.entry &&
                        position.era > known.position.era;
  known = {entry, position, returned};
  last_change_ = position;
}

void upstream_history::ForgetOldRemovals() {
  std::vector<std::pair<store_position, upstream_id>> removed;
  for (const auto& [id, known] : records_) {
    if (!known.entry) {
      removed.emplace_back(known.position, id);
    }
  }
  if (removed.size() <= max_removed_) {
    return;
  }
  std::sort(removed.begin(), removed.end());
  removed.resize(removed.size() - max_removed_);
  for (const auto& [position, id] : removed) {
    complete_since_ = std::max(complete_since_, position);
    records_.erase(id);
  }
}

}  // namespace fireflyslip
