#include "fireflyslip/catalog/version_targets.h"

namespace fireflyslip {

void version_targets::Name(const model_name& model,
                           std::uint64_t version,
                           bool at_start,
                           time_point now) {
  std::vector<named>& versions = models_[model];
  if (!versions.empty() && versions.back().version >= version) {
    return;
  }
  // Versions that no longer matter: a newer one is past its rollout time.
  while (versions.size() > 1 && versions[1].since + rollout_ <= now) {
    versions.erase(versions.begin());
  }
  versions.push_back({version, at_start ? now - restart_credit_ : now});
}

std::uint64_t version_targets::Newest(const model_name& model) const {
  const auto found = models_.find(model);
  return found == models_.end() || found->second.empty()
             ? 0
             : found->second.back().version;
}

std::optional<time_point> version_targets::EndOf(const model_name& model,
                                                 std::uint64_t version) const {
  const auto found = models_.find(model);
  if (found == models_.end()) {
    return std::nullopt;
  }
  for (const named& entry : found->second) {
    if (entry.version > version) {
      return entry.since + rollout_;
    }
  }
  return std::nullopt;
}

std::uint64_t version_targets::Lowest(const model_name& model,
                                      time_point now) const {
  const auto found = models_.find(model);
  if (found == models_.end()) {
    return 0;
  }
  std::uint64_t lowest = 0;
  for (const named& entry : found->second) {
    if (entry.since + rollout_ <= now) {
      lowest = entry.version;
    }
  }
  return lowest;
}

}  // namespace fireflyslip
