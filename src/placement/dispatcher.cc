#include "fireflyslip/placement/dispatcher.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>
#include <utility>

#include "fireflyslip/core/result.h"

namespace fireflyslip {
namespace {

/// Lowest rate, in starts per second, from which a wait is predicted. A lower
/// one rests on too few samples.
constexpr double kMinRate = 1;

}  // namespace

dispatcher::dispatcher(placement_policy policy,
                       version_targets targets,
                       random_source random)
    : policy_(std::move(policy)),
      targets_(std::move(targets)),
      random_(random),
      restrictions_(random),
      fleet_gateways_(policy_.initial_gateways) {}

std::vector<dispatcher::action> dispatcher::Handle(const event& event,
                                                   time_point now) {
  now_ = now;
  targets_.Observe(now);
  actions_.clear();
  std::visit([this](const auto& happened) { On(happened); }, event);
  return std::exchange(actions_, {});
}

std::optional<time_point> dispatcher::NextDeadline() const {
  if (expiries_.empty()) {
    return std::nullopt;
  }
  time_point deadline = expiries_.begin()->first;
  for (const auto& [id, upstream] : upstreams_) {
    const time_point open_at = OpenAt(upstream);
    if (open_at > now_) {
      deadline = std::min(deadline, open_at);
    }
  }
  return deadline;
}

void dispatcher::On(const tick& /*event*/) {
  DispatchAll();
  while (!expiries_.empty() && expiries_.begin()->first <= now_) {
    ExpireWait(expiries_.begin()->second);
  }
}

void dispatcher::On(const submit& event) {
  assert(!waiting_.contains(event.id) && !started_.contains(event.id));
  service_queue& queue = queues_[event.service];
  const double longest =
      ToSeconds(event.response_due - ResponseLatency(queue, event) - now_) *
      QueueTimeFraction(event);
  const time_point on_time_expiry =
      std::min(event.client_deadline, now_ + FromSeconds(longest));
  if (on_time_expiry > now_) {
    Enqueue(event,
            event.resubmitted ? queue_class::kResubmittedOnTime
                              : queue_class::kOnTime,
            on_time_expiry);
  } else {
    Enqueue(event, queue_class::kLate,
            std::min(event.client_deadline, now_ + LateQueueTime(event)));
  }
  Dispatch(event.service);
  const auto queued = waiting_.find(event.id);
  if (queued == waiting_.end()) {
    return;
  }
  const std::optional<time_point> opening = EarliestOpening(event);
  // The client may return to the upstreams that have been tried, or to regions
  // that have upstreams again; this request may not.
  if (!opening && (event.refused || event.regions.restricts())) {
    Refuse(event.id, error_kind::kNoUpstream);
    return;
  }
  if (opening && *opening > LastExpiry(queued->second)) {
    Refuse(event.id, error_kind::kOverloaded);
    return;
  }
  if (event.resubmitted) {
    return;
  }
  const std::optional<duration> delay = QueueDelay(queue, queued->second);
  if (delay && now_ + *delay > queued->second.expiry) {
    Refuse(event.id, error_kind::kOverloaded);
  }
}

void dispatcher::On(const cancel_waiting& event) {
  Remove(event.id);
}

void dispatcher::On(const response_begun& event) {
  const auto found = started_.find(event.id);
  if (found == started_.end()) {
    return;
  }
  /// Inverse weight of one request in the moving average of the time to the
  /// first part of a response.
  constexpr int kWeight = 8;
  started_request& request = found->second;
  if (!std::exchange(request.begun, true)) {
    RecordPace(request);
    RecordPunctuality(request.service, now_ > request.response_due);
  }
  duration& mean =
      queues_[request.service]
          .response_latencies
          .try_emplace(request.urgency, policy_.initial_response_latency)
          .first->second;
  mean += (now_ - request.sent - mean) / kWeight;
  const auto upstream = upstreams_.find(request.upstream);
  if (upstream != upstreams_.end()) {
    upstream->second.MarkResponseBegun(event.id);
  }
}

void dispatcher::On(const attempt_completed& event) {
  const auto found = started_.find(event.id);
  if (found == started_.end()) {
    return;
  }
  // A response that is no stream begins and ends at once.
  if (!found->second.begun && event.status == attempt_status::kSucceeded) {
    RecordPace(found->second);
  }
  if (event.status == attempt_status::kRefused) {
    RecordPunctuality(found->second.service, true);
  }
  const auto upstream = upstreams_.find(found->second.upstream);
  started_.erase(found);
  if (upstream != upstreams_.end()) {
    upstream->second.Complete(event.id, event.status, now_);
    Dispatch(upstream->second.entry().service);
  }
}

void dispatcher::On(const upstreams_changed& event) {
  for (auto it = upstreams_.begin(); it != upstreams_.end();) {
    it = event.upstreams->contains(it->first) ? std::next(it)
                                              : upstreams_.erase(it);
  }
  for (const auto& [id, entry] : *event.upstreams) {
    tracked_upstream& upstream = upstreams_[id];
    upstream.Update(entry, now_);
    PlanColdSlot(upstream);
  }
  std::erase_if(cold_slots_, [this](const auto& item) {
    return !upstreams_.contains(item.first);
  });
  DispatchAll();
}

void dispatcher::On(const services_changed& event) {
  traits_ = event.traits;
  DispatchAll();
}

void dispatcher::On(const evacuation_ended& event) {
  evacuation_ends_[event.data_centre] = now_;
}

void dispatcher::On(const load_reported& event) {
  if (event.fleet_gateways > 0) {
    fleet_gateways_.Add(std::max(1.0, event.fleet_gateways), now_);
  }
  const auto found = upstreams_.find(event.upstream);
  if (found == upstreams_.end()) {
    return;
  }
  tracked_upstream& upstream = found->second;
  upstream.Report(event.load, now_);
  const int permits = AllocatePermits(upstream);
  upstream.set_permits(permits);
  queues_[upstream.entry().service].permit_rate.Add(permits, now_);
  Dispatch(upstream.entry().service);
}

void dispatcher::On(const upstream_advised& event) {
  const auto found = upstreams_.find(event.upstream.id);
  if (event.advice.cold_for && found != upstreams_.end() &&
      found->second.entry().started_ms == event.upstream.started_ms) {
    found->second.SetCold(now_ + *event.advice.cold_for);
    PlanColdSlot(found->second);
  }
  if (restrictions_.Record(event.upstream, event.advice, now_)) {
    actions_.emplace_back(advice_changed{event.upstream.id, event.advice});
    Dispatch(event.upstream.service);
  }
}

void dispatcher::On(const version_published& event) {
  targets_.Publish(event.model, event.version, event.published_at, now_);
}

void dispatcher::On(const platform_responded& /*event*/) {
  targets_.RecordPlatformResponse(now_);
}

void dispatcher::RecordPace(const started_request& request) {
  if (!LearnsPace(request.service)) {
    return;
  }
  /// Inverse weight of one response in the mean of the service.
  constexpr int kWeight = 16;
  const duration time = std::max(now_ - request.sent, duration(1));
  duration& usual = queues_[request.service].usual_response;
  usual = usual == duration(0) ? time : usual + (time - usual) / kWeight;
  const auto upstream = upstreams_.find(request.upstream);
  if (upstream != upstreams_.end()) {
    upstream->second.RecordPace(time, std::max(usual, duration(1)), now_);
  }
}

void dispatcher::DispatchAll() {
  for (const auto& [service, queue] : queues_) {
    Dispatch(service);
  }
}

void dispatcher::Dispatch(const service_name& service) {
  const auto found = queues_.find(service);
  if (found == queues_.end()) {
    return;
  }
  service_queue& queue = found->second;
  for (auto it = queue.order.begin(); it != queue.order.end();) {
    const dispatch_id id = it->second;
    const submit request = waiting_.at(id).request;
    ++it;
    tracked_upstream* upstream = Choose(request);
    if (upstream == nullptr) {
      if (!IsSelective(request)) {
        break;  // requests behind it are less urgent
      }
      continue;
    }
    double& virtual_time = queue.virtual_time[request.priority];
    virtual_time = std::max(virtual_time, std::get<2>(waiting_.at(id).key));
    Remove(id);
    if (const cold_limit* limit = ColdLimit(*upstream)) {
      CountColdRequest(*upstream, *limit);
    }
    upstream->Send(id, request.prefill_time, now_);
    restrictions_.CountRequest(upstream->entry(), GatewaysOf(*upstream), now_);
    if (NeedsPermit(request)) {
      upstream->set_permits(upstream->permits() - 1);
    }
    started_.emplace(
        id, started_request{upstream->entry().id, request.service,
                            request.urgency, now_, request.response_due});
    queue.start_rate.Add(1, now_);
    const std::uint64_t version =
        upstream->VersionOf(request.model, policy_, now_);
    actions_.emplace_back(
        start{id, upstream->entry(), version,
              targets_.SupersededAt(request.model, version, now_)});
  }
}

bool dispatcher::IsEligible(const tracked_upstream& upstream,
                            const submit& request) const {
  const upstream_entry& entry = upstream.entry();
  if (entry.service != request.service || entry.draining ||
      restrictions_.IsLeaving(entry) || request.excluded.contains(entry.id) ||
      !request.regions.Allows(RegionOf(entry))) {
    return false;
  }
  if (request.model.empty()) {
    return true;
  }
  // A request may wait at the replica, so none is sent to a replica whose
  // weights may be superseded before the request starts.
  const std::uint64_t version =
      upstream.VersionOf(request.model, policy_, now_);
  const std::optional<time_point> superseded_at =
      targets_.SupersededAt(request.model, version, now_);
  if (version == 0 ||
      (superseded_at && *superseded_at < now_ + policy_.max_replica_wait)) {
    return false;
  }
  return !request.version || *request.version == version;
}

region_id dispatcher::RegionOf(const upstream_entry& upstream) const {
  const auto found = policy_.regions.find(upstream.data_centre);
  return found == policy_.regions.end()
             ? region_id(upstream.data_centre.value())
             : found->second;
}

tracked_upstream* dispatcher::Choose(const submit& request) {
  const bool any_available =
      std::any_of(upstreams_.begin(), upstreams_.end(), [&](const auto& item) {
        return IsEligible(item.second, request) &&
               !item.second.health().is_ejected(now_);
      });
  std::vector<tracked_upstream*> local;
  std::vector<tracked_upstream*> remote;
  for (auto& [id, upstream] : upstreams_) {
    if (!IsEligible(upstream, request) || !HasCapacity(upstream, request)) {
      continue;
    }
    // If all eligible upstreams are ejected, ejections are ignored, because an
    // attempt may succeed.
    if (any_available &&
        !upstream.health().IsAvailable(now_, upstream.is_idle())) {
      continue;
    }
    const bool is_local = upstream.entry().data_centre == policy_.data_centre;
    (is_local ? local : remote).push_back(&upstream);
  }
  std::vector<tracked_upstream*> candidates;
  for (auto* group : {&local, &remote}) {
    if (tracked_upstream* best = BestOfSample(std::move(*group))) {
      candidates.push_back(best);
    }
  }
  return candidates.empty()
             ? nullptr
             : *std::min_element(candidates.begin(), candidates.end(),
                                 [this](const auto* a, const auto* b) {
                                   return ExpectedDelay(*a) < ExpectedDelay(*b);
                                 });
}

tracked_upstream* dispatcher::BestOfSample(
    std::vector<tracked_upstream*> group) {
  tracked_upstream* best = nullptr;
  const std::size_t choices = std::min(policy_.choices, group.size());
  for (std::size_t i = 0; i < choices; ++i) {
    std::swap(group[i], group[i + random_.Below(group.size() - i)]);
    if (best == nullptr || ExpectedDelay(*group[i]) < ExpectedDelay(*best)) {
      best = group[i];
    }
  }
  return best;
}

bool dispatcher::HasCapacity(const tracked_upstream& upstream,
                             const submit& request) const {
  if (OpenAt(upstream) > now_) {
    return false;
  }
  // Without a report of its agent, a cold replica gets nothing: other gateways
  // may have used what it tolerates.
  if (ColdLimit(upstream) != nullptr && upstream.entry().has_engine &&
      (!upstream.HasFreshLoad(policy_, now_) || upstream.cold_permits() == 0)) {
    return false;
  }
  const double overcommit = SharesPlaces(request)
                                ? policy_.shared_slot_overcommit
                                : SlotOvercommit(request);
  if (upstream.HasFreshLoad(policy_, now_)) {
    const upstream_load& load = *upstream.load();
    if (load.loading || !load.reachable ||
        load.round_trip_time > policy_.max_round_trip_time ||
        (NeedsPermit(request) && upstream.permits() <= 0)) {
      return false;
    }
  }
  return upstream.ExpectedLoad(policy_, now_) <
         static_cast<double>(upstream.entry().slots) + overcommit;
}

const cold_limit* dispatcher::ColdLimit(
    const tracked_upstream& upstream) const {
  const auto found = traits_.find(upstream.entry().service);
  if (found == traits_.end() || !found->second.cold) {
    return nullptr;
  }
  const cold_limit& limit = *found->second.cold;
  time_point until = upstream.cold_until();
  const auto ended = evacuation_ends_.find(upstream.entry().data_centre);
  if (ended != evacuation_ends_.end()) {
    until = std::max(until, ended->second + limit.time);
  }
  return now_ < until ? &limit : nullptr;
}

void dispatcher::CountColdRequest(tracked_upstream& upstream,
                                  const cold_limit& limit) {
  if (upstream.entry().has_engine) {
    upstream.UseColdPermit();
    return;
  }
  cold_slots_[upstream.entry().id] = now_ + ColdPeriod(upstream, limit);
}

void dispatcher::PlanColdSlot(const tracked_upstream& upstream) {
  const cold_limit* limit = ColdLimit(upstream);
  if (limit == nullptr || upstream.entry().has_engine) {
    return;
  }
  const duration period = ColdPeriod(upstream, *limit);
  const auto [slot, is_new] =
      cold_slots_.try_emplace(upstream.entry().id, now_);
  if (is_new || slot->second + period < now_) {
    slot->second = now_ + FromSeconds(ToSeconds(period) * random_.Fraction());
  }
}

duration dispatcher::ColdPeriod(const tracked_upstream& upstream,
                                const cold_limit& limit) const {
  return FromSeconds(GatewaysOf(upstream) / limit.requests_per_s);
}

double dispatcher::GatewaysOf(const tracked_upstream& upstream) const {
  return upstream.gateways() > 0 ? upstream.gateways()
                                 : fleet_gateways_.value();
}

time_point dispatcher::OpenAt(const tracked_upstream& upstream) const {
  time_point open_at =
      restrictions_.OpenAt(upstream.entry(), GatewaysOf(upstream), now_);
  if (ColdLimit(upstream) != nullptr && !upstream.entry().has_engine) {
    const auto slot = cold_slots_.find(upstream.entry().id);
    if (slot != cold_slots_.end()) {
      open_at = std::max(open_at, slot->second);
    }
  }
  return open_at;
}

std::optional<time_point> dispatcher::EarliestOpening(
    const submit& request) const {
  std::optional<time_point> earliest;
  for (const auto& [id, upstream] : upstreams_) {
    if (IsEligible(upstream, request)) {
      const time_point open_at = OpenAt(upstream);
      earliest = std::min(earliest.value_or(open_at), open_at);
    }
  }
  return earliest;
}

duration dispatcher::ExpectedDelay(const tracked_upstream& upstream) const {
  duration delay = upstream.ExpectedWait(policy_, now_) + PaceDelay(upstream);
  if (upstream.HasFreshLoad(policy_, now_)) {
    // The link of the replica may be congested; the report took the same path.
    delay += upstream.load()->round_trip_time;
  } else if (upstream.load()) {
    delay += policy_.stale_report_penalty;
  }
  if (upstream.entry().data_centre != policy_.data_centre) {
    delay += policy_.remote_penalty;
  }
  return delay;
}

bool dispatcher::SharesPlaces(const service_name& service) const {
  const auto traits = traits_.find(service);
  const auto queue = queues_.find(service);
  return traits != traits_.end() && traits->second.one_priority &&
         queue != queues_.end() && now_ < queue->second.overloaded_until;
}

void dispatcher::RecordPunctuality(const service_name& service, bool too_late) {
  /// Inverse weight of one response.
  constexpr double kWeight = 16;
  service_queue& queue = queues_[service];
  queue.late_share += ((too_late ? 1 : 0) - queue.late_share) / kWeight;
  if (queue.late_share > policy_.overload_late_share) {
    queue.overloaded_until = now_ + policy_.overload_hold_time;
  }
}

bool dispatcher::NeedsPermit(const submit& request) const {
  return IsBackground(request) || SharesPlaces(request);
}

bool dispatcher::LearnsPace(const service_name& service) const {
  const auto found = traits_.find(service);
  return found != traits_.end() && found->second.learns_pace;
}

duration dispatcher::PaceDelay(const tracked_upstream& upstream) const {
  const auto queue = queues_.find(upstream.entry().service);
  if (!LearnsPace(upstream.entry().service) || queue == queues_.end()) {
    return duration(0);
  }
  const duration usual = queue->second.usual_response;
  return FromSeconds(ToSeconds(usual) * (upstream.Slowness(usual, now_) - 1));
}

int dispatcher::AllocatePermits(const tracked_upstream& upstream) {
  const double overcommit = SharesPlaces(upstream.entry().service)
                                ? policy_.shared_slot_overcommit
                                : policy_.slot_overcommit.back();
  const double free_slots = static_cast<double>(upstream.entry().slots) +
                            overcommit - upstream.ExpectedLoad(policy_, now_);
  const double share =
      std::max(0.0, free_slots) / std::max(1.0, upstream.gateways());
  const double whole_permits = std::floor(share);
  return static_cast<int>(whole_permits) +
         (random_.Fraction() < share - whole_permits ? 1 : 0);
}

double dispatcher::SlotOvercommit(const submit& request) const {
  if (request.model.empty()) {
    return policy_.plain_slot_overcommit;
  }
  const auto index = static_cast<std::size_t>(std::max(0, request.urgency));
  return policy_.slot_overcommit.at(
      std::min(index, policy_.slot_overcommit.size() - 1));
}

duration dispatcher::ResponseLatency(const service_queue& queue,
                                     const submit& request) const {
  if (request.model.empty()) {
    return duration(0);
  }
  const auto found = queue.response_latencies.find(request.urgency);
  return found == queue.response_latencies.end()
             ? policy_.initial_response_latency
             : found->second;
}

void dispatcher::Enqueue(const submit& request,
                         queue_class order,
                         time_point expiry) {
  service_queue& queue = queues_[request.service];
  double& finish_tag = queue.finish_tags[{request.priority, request.workspace}];
  const double start_tag =
      std::max(queue.virtual_time[request.priority], finish_tag);
  finish_tag = start_tag + request.cost;
  const queue_key key{request.priority, order, start_tag, request.id};
  queue.order.emplace(key, request.id);
  waiting_.emplace(request.id, waiting_request{request, expiry, key});
  expiries_.emplace(expiry, request.id);
}

double dispatcher::QueueTimeFraction(const submit& request) const {
  return SharesPlaces(request) ? policy_.shared_queue_time_fraction
                               : policy_.queue_time_fraction;
}

duration dispatcher::LateQueueTime(const submit& request) const {
  return SharesPlaces(request) ? policy_.shared_late_queue_time
                               : policy_.late_queue_time;
}

time_point dispatcher::LastExpiry(const waiting_request& waiting) const {
  if (!waiting.request.resubmitted ||
      std::get<1>(waiting.key) == queue_class::kLate) {
    return waiting.expiry;
  }
  return std::min(waiting.request.client_deadline,
                  waiting.expiry + LateQueueTime(waiting.request));
}

void dispatcher::ExpireWait(dispatch_id id) {
  const waiting_request entry = waiting_.at(id);
  const time_point expiry = LastExpiry(entry);
  if (expiry > now_) {
    Remove(id);
    Enqueue(entry.request, queue_class::kLate, expiry);
    return;
  }
  Refuse(id, error_kind::kOverloaded);
}

void dispatcher::Refuse(dispatch_id id, error_kind kind) {
  const waiting_request entry = waiting_.at(id);
  bool reachable = false;
  for (const auto& [upstream, state] : upstreams_) {
    reachable |= IsEligible(state, entry.request);
  }
  const duration retry_after = RetryAfter(entry);
  Remove(id);
  actions_.emplace_back(
      refuse{id, reachable ? kind : error_kind::kNoUpstream, retry_after});
}

void dispatcher::Remove(dispatch_id id) {
  const auto found = waiting_.find(id);
  if (found == waiting_.end()) {
    return;
  }
  const waiting_request& entry = found->second;
  queues_.at(entry.request.service).order.erase(entry.key);
  expiries_.erase({entry.expiry, id});
  waiting_.erase(found);
}

std::optional<duration> dispatcher::QueueDelay(
    const service_queue& queue,
    const waiting_request& waiting) const {
  const bool background = IsBackground(waiting.request);
  const double rate =
      (background ? queue.permit_rate : queue.start_rate).PerSecond(now_);
  if (rate < kMinRate) {
    return std::nullopt;
  }
  const auto first =
      background
          ? queue.order.lower_bound({waiting.request.priority,
                                     queue_class::kResubmittedOnTime, 0, 0})
          : queue.order.begin();
  const auto requests_ahead =
      std::distance(first, queue.order.find(waiting.key));
  return FromSeconds(static_cast<double>(requests_ahead) / rate);
}

duration dispatcher::RetryAfter(const waiting_request& waiting) {
  const duration left = waiting.expiry - now_;
  const bool on_time =
      std::get<1>(waiting.key) != queue_class::kLate && left > duration(0);
  const duration drain_time =
      QueueDelay(queues_.at(waiting.request.service), waiting)
          .value_or(policy_.min_retry_after);
  const duration base =
      on_time ? FromSeconds(ToSeconds(left) * policy_.retry_after_fraction)
              : std::clamp<duration>(drain_time, policy_.min_retry_after,
                                     policy_.max_retry_after);
  const double fraction = random_.Fraction();
  const double factor = 1 + policy_.retry_after_jitter * (2 * fraction - 1);
  const duration delay = FromSeconds(ToSeconds(base) * factor);
  const std::optional<time_point> opening = EarliestOpening(waiting.request);
  if (!opening || *opening <= now_) {
    return delay;
  }
  // No upstream takes the request before, whatever the queue does.
  return std::max(delay,
                  FromSeconds(ToSeconds(*opening - now_) *
                              (1 + policy_.retry_after_jitter * fraction)));
}

}  // namespace fireflyslip
