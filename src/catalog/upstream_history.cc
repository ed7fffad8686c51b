#include "fireflyslip/catalog/upstream_history.h"

#include <algorithm>
#include <set>

namespace fireflyslip {

void upstream_history::Replace(const std::vector<upstream_entry>& entries,
                               std::uint64_t revision) {
  if (revision < revision_) {
    return;
  }
  std::set<upstream_id> present;
  for (const upstream_entry& entry : entries) {
    present.insert(entry.id);
    Set(entry.id, entry, revision);
  }
  for (auto& [id, known] : records_) {
    if (!present.contains(id) && known.entry) {
      known = {std::nullopt, revision};
      last_change_ = revision;
    }
  }
  if (revision_ == 0) {
    complete_since_ = revision;
  }
  revision_ = revision;
  ForgetOldRemovals();
}

void upstream_history::Apply(const std::vector<upstream_change>& changes,
                             std::uint64_t revision) {
  if (revision < revision_) {
    return;
  }
  for (const upstream_change& change : changes) {
    Set(change.id, change.entry, revision);
  }
  revision_ = revision;
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

upstream_changes upstream_history::Since(std::uint64_t revision) const {
  upstream_changes answer;
  answer.revision = revision_;
  answer.complete = revision < complete_since_;
  for (const auto& [id, known] : records_) {
    if (answer.complete ? known.entry.has_value() : known.revision > revision) {
      answer.changes.push_back({id, known.entry});
    }
  }
  return answer;
}

void upstream_history::Set(const upstream_id& id,
                           const std::optional<upstream_entry>& entry,
                           std::uint64_t revision) {
  const auto found = records_.find(id);
  const bool unchanged = found == records_.end() ? !entry.has_value()
                                                 : found->second.entry == entry;
  if (unchanged) {
    return;
  }
  records_[id] = {entry, revision};
  last_change_ = revision;
}

void upstream_history::ForgetOldRemovals() {
  std::vector<std::pair<std::uint64_t, upstream_id>> removed;
  for (const auto& [id, known] : records_) {
    if (!known.entry) {
      removed.emplace_back(known.revision, id);
    }
  }
  if (removed.size() <= max_removed_) {
    return;
  }
  std::sort(removed.begin(), removed.end());
  removed.resize(removed.size() - max_removed_);
  for (const auto& [revision, id] : removed) {
    complete_since_ = std::max(complete_since_, revision);
    records_.erase(id);
  }
}

}  // namespace fireflyslip
