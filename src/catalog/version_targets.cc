#include "fireflyslip/catalog/version_targets.h"

namespace fireflyslip {

void version_targets::Publish(const model_name& model,
                              std::uint64_t version,
                              time_point published_at,
                              time_point now) {
  std::vector<published_version>& versions = models_[model];
  if (!versions.empty() && versions.back().version >= version) {
    return;
  }
  // Removes versions that are superseded by one that is past its rollout time.
  while (versions.size() > 1 && versions[1].since + rollout_ <= now) {
    versions.erase(versions.begin());
  }
  versions.push_back({version, published_at});
}

void version_targets::Observe(time_point now) {
  if (last_response_ && last_observed_ &&
      now - *last_observed_ > kMaxObservationGap) {
    *last_response_ += now - *last_observed_;
  }
  last_observed_ = now;
}

void version_targets::RecordPlatformResponse(time_point now) {
  if (last_response_ && now - *last_response_ > kOutage) {
    grace_until_ = now + kOutageGrace;
  }
  last_response_ = now;
}

std::uint64_t version_targets::Newest(const model_name& model) const {
  const auto found = models_.find(model);
  return found == models_.end() || found->second.empty()
             ? 0
             : found->second.back().version;
}

std::optional<time_point> version_targets::SupersededAt(const model_name& model,
                                                        std::uint64_t version,
                                                        time_point now) const {
  const auto found = models_.find(model);
  if (found == models_.end() || IsOutage(now)) {
    return std::nullopt;
  }
  for (const published_version& entry : found->second) {
    if (entry.version > version) {
      return entry.since + rollout_;
    }
  }
  return std::nullopt;
}

}  // namespace fireflyslip
