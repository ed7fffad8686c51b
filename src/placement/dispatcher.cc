#include "fireflyslip/placement/dispatcher.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>
#include <utility>

#include "fireflyslip/core/result.h"

namespace fireflyslip {
namespace {

/// Time constant of the rate of starts that predicts waits.
constexpr duration kRateHorizon = seconds(1);
/// Below this rate there is too little to predict waits from.
constexpr double kMinRate = 1;  // starts a second
/// Load at which an upstream without an engine gets no more requests: a few
/// beyond its slots keep it busy.
constexpr double kPlainAllowance = 4;

}  // namespace

dispatcher::dispatcher(placement_policy policy,
                       version_targets targets,
                       random_source random)
    : policy_(std::move(policy)),
      targets_(std::move(targets)),
      random_(random) {}

std::vector<dispatcher::action> dispatcher::Handle(const event& event,
                                                   time_point now) {
  now_ = now;
  actions_.clear();
  std::visit([this](const auto& happened) { On(happened); }, event);
  return std::exchange(actions_, {});
}

std::optional<time_point> dispatcher::NextDeadline() const {
  if (wait_ends_.empty()) {
    return std::nullopt;
  }
  return wait_ends_.begin()->first;
}

void dispatcher::On(const tick& /*event*/) {
  DispatchAll();
  while (!wait_ends_.empty() && wait_ends_.begin()->first <= now_) {
    Refuse(wait_ends_.begin()->second, error_kind::kOverloaded);
  }
}

void dispatcher::On(const submit& event) {
  assert(!waiting_.contains(event.id) && !started_.contains(event.id));
  service_queue& queue = queues_[event.service];
  double& virtual_time = queue.virtual_time[event.priority];
  double& finish = queue.finish_tags[{event.priority, event.workspace}];
  const double tag = std::max(virtual_time, finish);
  finish = tag + event.cost;
  const queue_key key{event.priority, event.returning ? 0 : 1, tag, event.id};
  queue.order.emplace(key, event.id);
  waiting_.emplace(event.id, waiting_request{event, now_, key});
  wait_ends_.emplace(event.wait_until, event.id);
  Dispatch(event.service);
  const auto still = waiting_.find(event.id);
  if (still == waiting_.end()) {
    return;
  }
  const std::optional<duration> delay = QueueDelay(queue, key);
  if (delay && now_ + *delay > event.wait_until) {
    Refuse(event.id, error_kind::kOverloaded);
  }
}

void dispatcher::On(const withdraw& event) {
  Remove(event.id);
}

void dispatcher::On(const ended& event) {
  const auto found = started_.find(event.id);
  if (found == started_.end()) {
    return;
  }
  const upstream_id id = found->second;
  started_.erase(found);
  const auto at = upstreams_.find(id);
  if (at == upstreams_.end()) {
    return;
  }
  upstream_state& upstream = at->second;
  const auto sent = upstream.in_flight.find(event.id);
  if (sent == upstream.in_flight.end()) {
    return;  // an earlier incarnation of the upstream
  }
  if (sent->second + policy_.report_lag < upstream.load_at) {
    upstream.ended_since_load += 1;
  }
  upstream.in_flight.erase(sent);
  switch (event.how) {
    case attempt_end::kSucceeded:
      upstream.health.CountSuccess();
      break;
    case attempt_end::kFailed:
      upstream.health.CountFailure(now_);
      break;
    case attempt_end::kUnreachable:
      upstream.health.CountUnreachable(now_);
      break;
    case attempt_end::kRefused:
    case attempt_end::kAbandoned:
      break;
  }
  Dispatch(upstream.entry.service);
}

void dispatcher::On(const upstreams_changed& event) {
  for (auto at = upstreams_.begin(); at != upstreams_.end();) {
    at = event.upstreams->contains(at->first) ? std::next(at)
                                              : upstreams_.erase(at);
  }
  for (const auto& [id, entry] : *event.upstreams) {
    upstream_state& known = upstreams_[id];
    if (known.entry.started_ms != entry.started_ms ||
        known.entry.address != entry.address) {
      known = {};
    }
    known.entry = entry;
  }
  DispatchAll();
}

void dispatcher::On(const load_reported& event) {
  const auto found = upstreams_.find(event.upstream);
  if (found == upstreams_.end()) {
    return;
  }
  found->second.load = event.load;
  found->second.load_at = now_;
  found->second.ended_since_load = 0;
  entries_ = std::max<std::size_t>(1, event.load.entries);
  Dispatch(found->second.entry.service);
}

void dispatcher::On(const version_named& event) {
  targets_.Name(event.model, event.version, event.at_start, now_);
}

void dispatcher::On(const platform_confirmed& /*event*/) {
  targets_.ConfirmContact(now_);
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
  for (auto at = queue.order.begin(); at != queue.order.end();) {
    const work_id id = at->second;
    const submit request = waiting_.at(id).request;
    ++at;
    upstream_state* upstream = Choose(request);
    if (upstream == nullptr) {
      if (request.excluded.empty() && !request.version) {
        break;  // requests behind it are less urgent
      }
      continue;
    }
    double& virtual_time = queue.virtual_time[request.priority];
    virtual_time = std::max(virtual_time, std::get<2>(waiting_.at(id).key));
    Remove(id);
    upstream->in_flight.emplace(id, now_);
    started_.emplace(id, upstream->entry.id);
    CountStart(queue);
    const std::uint64_t version = VersionOf(*upstream, request.model);
    actions_.emplace_back(start{id, upstream->entry, version,
                                targets_.EndOf(request.model, version, now_)});
  }
}

bool dispatcher::IsEligible(const upstream_state& upstream,
                            const submit& request) const {
  if (upstream.entry.service != request.service || upstream.entry.draining ||
      request.excluded.contains(upstream.entry.id)) {
    return false;
  }
  if (request.model.empty()) {
    return true;
  }
  // A request may wait at a replica, so that none is sent to one whose weights
  // are about to be superseded.
  const std::uint64_t version = VersionOf(upstream, request.model);
  const std::optional<time_point> end =
      targets_.EndOf(request.model, version, now_);
  if (version == 0 || (end && *end < now_ + policy_.begin_reserve)) {
    return false;
  }
  return !request.version || *request.version == version;
}

dispatcher::upstream_state* dispatcher::Choose(const submit& request) {
  upstream_state* best = nullptr;
  auto best_cost = duration::max();
  bool any_available = false;
  for (auto& [id, upstream] : upstreams_) {
    any_available |=
        IsEligible(upstream, request) && !upstream.health.is_ejected(now_);
  }
  for (auto& [id, upstream] : upstreams_) {
    if (!IsEligible(upstream, request)) {
      continue;
    }
    // If every upstream is ejected, the judgement is worth less than a try.
    if (any_available &&
        !upstream.health.IsAvailable(now_, upstream.in_flight.empty())) {
      continue;
    }
    const bool fresh = HasFreshLoad(upstream);
    if (fresh && (upstream.load->loading || !upstream.load->reachable)) {
      continue;
    }
    const double load = ExpectedLoad(upstream);
    const double allowance =
        request.model.empty() ? kPlainAllowance : Allowance(request.urgency);
    if (load >= static_cast<double>(upstream.entry.slots) + allowance) {
      continue;
    }
    duration cost = ExpectedWait(upstream, load);
    if (fresh) {
      // The link of the replica may be full; the report took the same way.
      cost += upstream.load->path_delay;
      if (upstream.load->path_delay > policy_.longest_path_delay) {
        continue;
      }
    }
    if (upstream.entry.data_centre != policy_.data_centre) {
      cost += policy_.remote_penalty;
    }
    if (!request.model.empty() && !fresh && upstream.load) {
      cost += policy_.silence_penalty;
    }
    // Entries that see the same reports must not all choose the same replica.
    cost += duration(random_.Below(
        static_cast<std::uint64_t>(policy_.wait_per_active.count())));
    if (cost < best_cost) {
      best = &upstream;
      best_cost = cost;
    }
  }
  return best;
}

std::uint64_t dispatcher::VersionOf(const upstream_state& upstream,
                                    const model_name& model) const {
  const auto& versions = HasFreshLoad(upstream) ? upstream.load->model_versions
                                                : upstream.entry.model_versions;
  const auto found = versions.find(model);
  return found == versions.end() ? 0 : found->second;
}

bool dispatcher::HasFreshLoad(const upstream_state& upstream) const {
  return upstream.load && upstream.load_at + policy_.report_lifetime > now_;
}

double dispatcher::ExpectedLoad(const upstream_state& upstream) const {
  const auto own = static_cast<double>(upstream.in_flight.size());
  if (!HasFreshLoad(upstream)) {
    return upstream.load ? own * policy_.unseen_factor : own;
  }
  double load = upstream.load->active + upstream.load->queued;
  for (const auto& [id, sent] : upstream.in_flight) {
    load += sent + policy_.report_lag >= upstream.load_at ? 1 : 0;
  }
  return std::max(own, load - upstream.ended_since_load);
}

duration dispatcher::ExpectedWait(const upstream_state& upstream,
                                  double load) const {
  const auto slots = static_cast<double>(upstream.entry.slots);
  const double active = std::min(load, slots);
  const double queued = std::max(0.0, load + 1 - slots);
  return duration(static_cast<duration::rep>(
      active * static_cast<double>(policy_.wait_per_active.count()) +
      queued * static_cast<double>(policy_.wait_per_queued.count())));
}

double dispatcher::Allowance(int priority) const {
  const auto index = static_cast<std::size_t>(std::max(0, priority));
  return policy_.queue_allowance.at(
      std::min(index, policy_.queue_allowance.size() - 1));
}

void dispatcher::Refuse(work_id id, error_kind kind) {
  const waiting_request entry = waiting_.at(id);
  const service_queue& queue = queues_.at(entry.request.service);
  const duration delay =
      QueueDelay(queue, entry.key).value_or(policy_.min_retry_after);
  bool reachable = false;
  for (const auto& [upstream, state] : upstreams_) {
    reachable |= IsEligible(state, entry.request);
  }
  Remove(id);
  actions_.emplace_back(refuse{id, reachable ? kind : error_kind::kNoUpstream,
                               RetryAfter(delay)});
}

void dispatcher::Remove(work_id id) {
  const auto found = waiting_.find(id);
  if (found == waiting_.end()) {
    return;
  }
  const waiting_request& entry = found->second;
  queues_.at(entry.request.service).order.erase(entry.key);
  wait_ends_.erase({entry.request.wait_until, id});
  waiting_.erase(found);
}

void dispatcher::CountStart(service_queue& queue) {
  const double passed = ToSeconds(now_ - queue.rate_at);
  const double horizon = ToSeconds(kRateHorizon);
  queue.starts_per_s =
      queue.starts_per_s * std::exp(-passed / horizon) + 1 / horizon;
  queue.rate_at = now_;
}

std::optional<duration> dispatcher::QueueDelay(const service_queue& queue,
                                               const queue_key& key) const {
  const double passed = ToSeconds(now_ - queue.rate_at);
  const double rate =
      queue.starts_per_s * std::exp(-passed / ToSeconds(kRateHorizon));
  if (rate < kMinRate) {
    return std::nullopt;
  }
  const auto ahead =
      std::distance(queue.order.begin(), queue.order.lower_bound(key));
  return FromSeconds(static_cast<double>(ahead) / rate);
}

duration dispatcher::RetryAfter(duration expected) {
  const duration base = std::clamp<duration>(expected, policy_.min_retry_after,
                                             policy_.max_retry_after);
  const double factor =
      1 + policy_.retry_after_spread * (2 * random_.Fraction() - 1);
  return duration(
      static_cast<duration::rep>(static_cast<double>(base.count()) * factor));
}

}  // namespace fireflyslip
