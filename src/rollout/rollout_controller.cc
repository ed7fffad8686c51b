#include "fireflyslip/rollout/rollout_controller.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "fireflyslip/core/rendezvous.h"

namespace fireflyslip {

rollout_controller::rollout_controller(rollout_settings settings)
    : settings_(std::move(settings)) {}

std::size_t rollout_controller::MaxUnavailable(std::size_t live,
                                               double serving_share) {
  // The margin compensates for rounding, so that (1 - 0.75) * 4 gives 1.
  constexpr double kMargin = 1e-9;
  const double allowed =
      std::floor(((1 - serving_share) * static_cast<double>(live)) + kMargin);
  return std::max<std::size_t>(
      1, static_cast<std::size_t>(std::max(0.0, allowed)));
}

std::vector<rollout_controller::action> rollout_controller::Handle(
    const event& event,
    time_point now) {
  actions_.clear();
  std::visit([&](const auto& e) { On(e, now); }, event);
  if (declared_) {
    Decide(now);
    Report(now);
  }
  return std::move(actions_);
}

std::optional<time_point> rollout_controller::NextDeadline() const {
  std::optional<time_point> next = next_report_;
  if (declared_ && last_report_ && state_ == replica_state::kServing &&
      !last_report_->settled) {
    const time_point settled = serving_since_ + settings_.settling_period;
    next = next ? std::min(*next, settled) : settled;
  }
  return next;
}

void rollout_controller::On(const rollout_declared& e, time_point now) {
  if (declared_ && e.revision <= declared_->revision) {
    return;
  }
  if (!declared_ || e.version != declared_->version) {
    version_revision_ = e.revision;
    declared_at_ = now;
    stopped_ = state_ == replica_state::kFailed && version_ == e.version;
    last_reason_.reset();
  }
  declared_ = e;
  // All replicas of the list are in one data centre, and the lists of other
  // data centres have other replicas, so the model alone is sufficient as the
  // key.
  order_ = RendezvousOrder(e.model.value(), e.replicas);
  for (const auto& [vm, peer] : peers_) {
    RecordFailure(peer.report);
  }
}

void rollout_controller::RecordFailure(const replica_report& report) {
  if (report.revision < version_revision_) {
    return;
  }
  const bool failed = report.state == replica_state::kFailed &&
                      report.version == declared_->version;
  if (failed || (report.stopped && report.revision == declared_->revision)) {
    stopped_ = true;
  }
}

void rollout_controller::On(const peer_report_received& e, time_point now) {
  if (e.report.vm == settings_.self) {
    return;
  }
  peer_state& peer = peers_[e.report.vm];
  if (e.report.revision < peer.report.revision) {
    return;  // Reordered message.
  }
  peer = {e.report, now};
  if (declared_) {
    RecordFailure(e.report);
  }
}

void rollout_controller::On(const version_staged& e, time_point /*now*/) {
  staged_.insert(e.version);
}

void rollout_controller::On(const engine_serving& e, time_point now) {
  if (state_ != replica_state::kServing || version_ != e.version) {
    serving_since_ = now;
  }
  state_ = replica_state::kServing;
  version_ = e.version;
}

void rollout_controller::On(const engine_load_failed& e, time_point /*now*/) {
  MarkFailed(e.version, /*counts_against_version=*/true);
}

void rollout_controller::On(const engine_crashed& e, time_point now) {
  const bool counts_against_version =
      state_ == replica_state::kLoading ||
      now - serving_since_ < settings_.probation_period;
  staged_.clear();  // The engine's staging memory is lost.
  MarkFailed(e.version, counts_against_version);
}

void rollout_controller::On(const rollout_members_changed& e,
                            time_point /*now*/) {
  live_ = std::set<vm_id>(e.live.begin(), e.live.end());
  live_.insert(settings_.self);
  std::erase_if(peers_, [this](const auto& entry) {
    return !live_.contains(entry.first);
  });
}

void rollout_controller::On(const tick& /*e*/, time_point /*now*/) {}

void rollout_controller::MarkFailed(const model_version& version,
                                    bool counts_against_version) {
  // A crash of a version that was served before the declaration, or a crash
  // long after the load, is not attributed to the version.
  state_ =
      counts_against_version ? replica_state::kFailed : replica_state::kStopped;
  version_ = version;
  if (counts_against_version && declared_ && version == declared_->version) {
    stopped_ = true;
  }
}

bool rollout_controller::IsReportOverdue(const vm_id& vm,
                                         time_point now) const {
  const auto it = peers_.find(vm);
  const time_point received_at =
      it == peers_.end() ? declared_at_
                         : std::max(it->second.received_at, declared_at_);
  return now - received_at >= settings_.report_timeout;
}

bool rollout_controller::HasLoaded(const replica_report& report) const {
  return report.revision >= version_revision_ &&
         report.version == declared_->version &&
         report.state == replica_state::kServing;
}

bool rollout_controller::IsSettled(time_point now) const {
  return state_ == replica_state::kServing && !version_.empty() &&
         now - serving_since_ >= settings_.settling_period;
}

void rollout_controller::Decide(time_point now) {
  const bool is_declared_replica =
      std::find(order_.begin(), order_.end(), settings_.self) != order_.end();
  if (live_.empty() || !is_declared_replica ||
      state_ == replica_state::kLoading ||
      (state_ == replica_state::kServing && version_ == declared_->version)) {
    return;
  }
  const std::optional<load_deferral_reason> reason = LoadDeferralReason(now);
  if (reason) {
    if (reason != last_reason_) {
      actions_.emplace_back(load_deferred{*reason});
    }
    last_reason_ = reason;
    return;
  }
  last_reason_.reset();
  state_ = replica_state::kLoading;
  version_ = declared_->version;
  actions_.emplace_back(start_drain{version_});
  actions_.emplace_back(load_version{version_});
}

std::optional<load_deferral_reason> rollout_controller::LoadDeferralReason(
    time_point now) const {
  if (stopped_) {
    return load_deferral_reason::kVersionFailed;
  }
  if (!staged_.contains(declared_->version)) {
    return load_deferral_reason::kChunksMissing;
  }
  const bool acknowledgement_timed_out =
      now - declared_at_ >= settings_.report_timeout;
  std::size_t reachable = 1;
  std::size_t pending_before = 0;  // Before this replica, version not loaded.
  std::size_t unavailable = 0;     // After this replica, not serving.
  bool settled = false;
  bool all_acknowledged = true;
  bool after_self = false;
  for (const vm_id& vm : order_) {
    if (vm == settings_.self) {
      after_self = true;
      continue;
    }
    if (!live_.contains(vm) || IsReportOverdue(vm, now)) {
      continue;
    }
    ++reachable;
    const auto it = peers_.find(vm);
    if (it == peers_.end() || it->second.report.revision < version_revision_) {
      // The peer may still start a load for the superseded declaration.
      all_acknowledged = all_acknowledged && acknowledgement_timed_out;
      unavailable += it != peers_.end() &&
                             it->second.report.state != replica_state::kServing
                         ? 1
                         : 0;
      continue;
    }
    const replica_report& report = it->second.report;
    if (HasLoaded(report)) {
      settled = settled || report.settled;
    } else if (!after_self) {
      ++pending_before;
    } else if (report.state != replica_state::kServing) {
      ++unavailable;
    }
  }
  if (!all_acknowledged) {
    return load_deferral_reason::kEarlierReplica;
  }
  // The canary is the only replica that loads until it has settled.
  const bool is_canary = pending_before == 0 && !settled;
  if (!settled && !is_canary) {
    return load_deferral_reason::kEarlierReplica;
  }
  if (is_canary && HasSettlingPeer(now)) {
    return load_deferral_reason::kEarlierReplica;
  }
  // Loading on a replica that does not serve does not reduce capacity.
  if (state_ != replica_state::kServing) {
    return std::nullopt;
  }
  const std::size_t allowed =
      MaxUnavailable(reachable, declared_->serving_share);
  if (pending_before >= allowed) {
    return load_deferral_reason::kEarlierReplica;
  }
  if (pending_before + unavailable >= allowed) {
    return load_deferral_reason::kServingShare;
  }
  return std::nullopt;
}

// Whether a peer is loading the version, or serves it but has not settled.
bool rollout_controller::HasSettlingPeer(time_point now) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const replica_report& report = entry.second.report;
    return live_.contains(entry.first) && !IsReportOverdue(entry.first, now) &&
           report.revision >= version_revision_ &&
           report.version == declared_->version &&
           report.state != replica_state::kFailed && !report.settled;
  });
}

replica_report rollout_controller::OwnReport(time_point now) const {
  return {settings_.self, declared_->revision, version_,
          state_,         IsSettled(now),      stopped_};
}

bool rollout_controller::IsInProgress(time_point now) const {
  if (!IsSettled(now) || version_ != declared_->version) {
    return true;
  }
  return std::any_of(order_.begin(), order_.end(), [this](const vm_id& vm) {
    if (vm == settings_.self || !live_.contains(vm)) {
      return false;
    }
    const auto it = peers_.find(vm);
    return it == peers_.end() || !HasLoaded(it->second.report) ||
           !it->second.report.settled;
  });
}

void rollout_controller::Report(time_point now) {
  const replica_report report = OwnReport(now);
  if (report != last_report_ || (next_report_ && now >= *next_report_)) {
    last_report_ = report;
    actions_.emplace_back(send_report{report});
    next_report_.reset();
  }
  if (!IsInProgress(now)) {
    next_report_.reset();
  } else if (!next_report_) {
    next_report_ = now + settings_.report_interval;
  }
}

}  // namespace fireflyslip
