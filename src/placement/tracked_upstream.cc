#include "fireflyslip/placement/tracked_upstream.h"

#include <algorithm>
#include <utility>

namespace fireflyslip {
namespace {

/// Requests sent within this time before a report arrived may be missing in
/// it.
constexpr duration kReportLag = milliseconds(5);

}  // namespace

void tracked_upstream::Update(const upstream_entry& entry, time_point now) {
  const bool is_new =
      entry_.started_ms != entry.started_ms || entry_.address != entry.address;
  if (is_new) {
    *this = {};
  }
  if ((is_new || entry.sequence != entry_.sequence) &&
      entry.cold_for > duration(0)) {
    SetCold(now + entry.cold_for);
  }
  entry_ = entry;
}

void tracked_upstream::Send(dispatch_id id,
                            duration prefill_time,
                            time_point now) {
  in_flight_.emplace(id, sent_request{now, prefill_time});
  pending_prefill_ += prefill_time;
}

void tracked_upstream::MarkResponseBegun(dispatch_id id) {
  const auto found = in_flight_.find(id);
  if (found != in_flight_.end()) {
    pending_prefill_ -= std::exchange(found->second.prefill_time, duration(0));
    found->second.begun = true;
  }
}

double tracked_upstream::Slowness(duration usual, time_point now) const {
  /// Smaller differences are not told from those of single requests.
  constexpr double kNoticeable = 1.25;
  const double pace = pace_.factor(now);
  double slowness = pace < kNoticeable ? 1 : pace;
  if (usual <= duration(0)) {
    return slowness;
  }
  for (const auto& [id, request] : in_flight_) {
    if (!request.begun) {
      slowness =
          std::max(slowness, ToSeconds(now - request.sent) / ToSeconds(usual));
    }
  }
  return slowness;
}

void tracked_upstream::Complete(dispatch_id id,
                                attempt_status status,
                                time_point now) {
  const auto found = in_flight_.find(id);
  if (found == in_flight_.end()) {
    return;  // sent to an earlier incarnation of the upstream
  }
  if (found->second.sent + kReportLag < load_at_) {
    ended_since_load_ += 1;
  }
  pending_prefill_ -= found->second.prefill_time;
  in_flight_.erase(found);
  switch (status) {
    case attempt_status::kSucceeded:
      health_.CountSuccess();
      break;
    case attempt_status::kFailed:
      health_.CountFailure(now);
      break;
    case attempt_status::kUnreachable:
      health_.CountUnreachable(now);
      break;
    case attempt_status::kRefused:
    case attempt_status::kAbandoned:
      break;
  }
}

void tracked_upstream::Report(const upstream_load& load, time_point now) {
  load_ = load;
  load_at_ = now;
  ended_since_load_ = 0;
  gateways_.Add(load.gateways, now);
}

bool tracked_upstream::HasFreshLoad(const placement_policy& policy,
                                    time_point now) const {
  return load_ && load_at_ + policy.report_lifetime > now;
}

double tracked_upstream::ExpectedLoad(const placement_policy& policy,
                                      time_point now) const {
  const auto own = static_cast<double>(in_flight_.size());
  if (!HasFreshLoad(policy, now)) {
    return load_ ? own * policy.unreported_load_factor : own;
  }
  double load = load_->active + load_->queued;
  for (const auto& [id, request] : in_flight_) {
    load += request.sent + kReportLag >= load_at_ ? 1 : 0;
  }
  return std::max(own, load - ended_since_load_);
}

duration tracked_upstream::ExpectedWait(const placement_policy& policy,
                                        time_point now) const {
  const double load = ExpectedLoad(policy, now);
  const auto slots = static_cast<double>(entry_.slots);
  const double active = std::min(load, slots);
  const double queued = std::max(0.0, load + 1 - slots);
  const double wait =
      active * static_cast<double>(policy.wait_per_active.count()) +
      queued * static_cast<double>(policy.wait_per_queued.count());
  return pending_prefill_ + duration(static_cast<duration::rep>(wait));
}

std::uint64_t tracked_upstream::VersionOf(const model_name& model,
                                          const placement_policy& policy,
                                          time_point now) const {
  const auto& versions =
      HasFreshLoad(policy, now) ? load_->model_versions : entry_.model_versions;
  const auto found = versions.find(model);
  return found == versions.end() ? 0 : found->second;
}

}  // namespace fireflyslip
