#include "fireflyslip/catalog/version_targets.h"

namespace fireflyslip {

void version_targets::Publish(const model_name& model,
                              std::uint64_t version,
                              time_point published_at,
                              time_point now) {
  version_history& history = models_[model];
  history.RemoveSupersededBy(now - rollout_);
  history.Add({version, published_at});
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
  return found == models_.end() ? 0 : found->second.newest();
}

std::optional<time_point> version_targets::SupersededAt(const model_name& model,
                                                        std::uint64_t version,
                                                        time_point now) const {
  const auto found = models_.find(model);
  if (found == models_.end() || IsOutage(now)) {
    return std::nullopt;
  }
  const std::optional<time_point> superseded =
      found->second.SupersededNotBefore(version);
  if (!superseded) {
    return std::nullopt;
  }
  return *superseded + rollout_;
}

}  // namespace fireflyslip
