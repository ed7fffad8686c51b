#include "fireflyslip/scheduling/request_scheduler.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace fireflyslip {
namespace {

// Urgent work may wait for a tenth of its target before background work is
// preempted: a flood of background work may move the urgent p95 by 10 % only.
constexpr int kPreemptionDivisor = 10;

// An attempt is queued only if it meets its deadline also when waiting and
// service take a quarter longer than estimated. Without the margin the queue
// settles where every second start misses its deadline.
constexpr double kEstimateMargin = 1.25;

// Part of the old measurements that is kept with each new one.
constexpr double kRateDecay = 0.95;

// An attempt that has outlived its estimate is expected to run for another
// quarter of it.
constexpr int kOverrunDivisor = 4;

// Idle flows are removed when they outnumber the waiting ones by this many.
constexpr std::size_t kIdleFlows = 64;

}  // namespace

request_scheduler::request_scheduler(scheduling_policy policy,
                                     double initial_rate)
    : policy_(policy), rate_tokens_(initial_rate) {
  assert(initial_rate > 0);
}

std::vector<request_scheduler::action> request_scheduler::Handle(
    const event& event,
    time_point now) {
  now_ = now;
  served_.Advance(now);
  std::visit([this](const auto& value) { On(value); }, event);
  RefuseHopeless();
  Dispatch();
  PreemptForUrgent();
  return std::exchange(actions_, {});
}

std::optional<time_point> request_scheduler::NextDeadline() const {
  std::optional<time_point> next;
  if (!latest_starts_.empty()) {
    // The latest start itself still meets the deadline.
    next = latest_starts_.begin()->first + duration(1);
  }
  for (const auto& [since, attempt] : urgent_since_) {
    if (const time_point due = since + PreemptionWait(); due > now_) {
      next = std::min(next.value_or(due), due);
      break;
    }
  }
  return next;
}

double request_scheduler::queued_tokens() const {
  double sum = 0;
  for (const rank_queue& queue : ranks_) {
    sum += queue.queued_tokens;
  }
  return sum;
}

void request_scheduler::On(const tick& /*event*/) {}

void request_scheduler::On(const enqueue& event) {
  assert(event.weight > 0);
  assert(!queued_.contains(event.attempt));
  assert(!running_.contains(event.attempt));
  const auto cost = static_cast<double>(event.cost_tokens);
  const auto needed = std::chrono::duration_cast<duration>(
      (ExpectedWait(event) + ServiceTime(cost)) * kEstimateMargin);
  // Idle slots start the attempt at once, so only its own service counts.
  const bool is_idle = running_.size() < policy_.slots && queued_.empty();
  if (now_ + (is_idle ? ServiceTime(cost) : needed) > event.deadline) {
    actions_.emplace_back(
        refuse{event.attempt, error_kind::kDeadlineExceeded, false});
    return;
  }
  Insert({event, now_, event.deadline - ServiceTime(cost), false}, false);
  // A free slot takes the attempt at once, so the bound is checked after it.
  Dispatch();
  DropExcess();
}

void request_scheduler::On(const finished& event) {
  const auto found = running_.find(event.attempt);
  if (found == running_.end()) {
    return;
  }
  const active attempt = found->second;
  running_.erase(found);
  const auto tokens = static_cast<double>(event.tokens_used);
  const double elapsed = ToSeconds(now_ - attempt.started);
  if (tokens > 0 && elapsed > 0) {
    rate_tokens_ = rate_tokens_ * kRateDecay + tokens;
    rate_seconds_ = rate_seconds_ * kRateDecay + elapsed;
  }
  Settle(attempt, tokens);
}

void request_scheduler::On(const cancelled& event) {
  if (queued_.contains(event.attempt)) {
    Remove(event.attempt);
    return;
  }
  const auto found = running_.find(event.attempt);
  if (found == running_.end()) {
    return;
  }
  const active attempt = found->second;
  running_.erase(found);
  Settle(attempt, std::min(static_cast<double>(attempt.request.cost_tokens),
                           ToSeconds(now_ - attempt.started) * slot_rate()));
}

void request_scheduler::On(const preemption_completed& event) {
  const auto found = running_.find(event.attempt);
  if (found == running_.end()) {
    return;
  }
  active attempt = found->second;
  running_.erase(found);
  Settle(attempt, static_cast<double>(event.tokens_made));
  enqueue& rest = attempt.request;
  rest.cost_tokens -= std::min(rest.cost_tokens - 1, event.tokens_made);
  const time_point latest_start =
      rest.deadline - ServiceTime(static_cast<double>(rest.cost_tokens));
  Insert({rest, attempt.enqueued, latest_start, true}, true);
}

void request_scheduler::On(const policy_changed& event) {
  policy_ = event.policy;
  DropExcess();
}

request_scheduler::rank_queue& request_scheduler::QueueOf(
    const enqueue& request) {
  return ranks_.at(IndexOf(request.rank));
}

void request_scheduler::Insert(waiting entry, bool at_front) {
  const enqueue& request = entry.request;
  rank_queue& queue = QueueOf(request);
  flow& flow = queue.flows[request.workspace];
  const auto cost = static_cast<double>(request.cost_tokens);
  if (flow.queue.empty()) {
    flow.weight = request.weight;
    flow.tag = std::max(flow.tag, queue.virtual_time);
    queue.order.emplace(flow.tag, request.workspace);
    queue.queued_weight += flow.weight;
  }
  if (at_front) {
    flow.queue.push_front(request.attempt);
  } else {
    flow.queue.push_back(request.attempt);
  }
  flow.queued_tokens += cost;
  queue.queued_tokens += cost;
  ++queue.queued;
  latest_starts_.emplace(entry.latest_start, request.attempt);
  if (request.rank == request_rank::kUrgent) {
    urgent_since_.emplace(entry.since, request.attempt);
  }
  queued_.emplace(request.attempt, std::move(entry));
}

request_scheduler::waiting request_scheduler::Remove(
    const attempt_id& attempt) {
  const auto found = queued_.find(attempt);
  assert(found != queued_.end());
  waiting entry = std::move(found->second);
  queued_.erase(found);
  const enqueue& request = entry.request;
  latest_starts_.erase({entry.latest_start, request.attempt});
  urgent_since_.erase({entry.since, request.attempt});
  rank_queue& queue = QueueOf(request);
  flow& flow = queue.flows.at(request.workspace);
  if (flow.queue.front() == request.attempt) {
    flow.queue.pop_front();
  } else {
    std::erase(flow.queue, request.attempt);
  }
  const auto cost = static_cast<double>(request.cost_tokens);
  flow.queued_tokens -= cost;
  queue.queued_tokens -= cost;
  --queue.queued;
  if (flow.queue.empty()) {
    queue.order.erase({flow.tag, request.workspace});
    queue.queued_weight -= flow.weight;
  }
  if (queue.flows.size() > queue.order.size() + kIdleFlows) {
    // An idle flow at or before the virtual time is equal to a new flow.
    std::erase_if(queue.flows, [&queue](const auto& item) {
      return item.second.queue.empty() && item.second.tag <= queue.virtual_time;
    });
  }
  return entry;
}

void request_scheduler::Refuse(const attempt_id& attempt, error_kind kind) {
  const waiting entry = Remove(attempt);
  actions_.emplace_back(refuse{attempt, kind, entry.was_started});
}

void request_scheduler::MoveTag(const enqueue& request, double tokens) {
  rank_queue& queue = QueueOf(request);
  const auto found = queue.flows.find(request.workspace);
  if (found == queue.flows.end()) {
    return;
  }
  flow& flow = found->second;
  const bool is_waiting = queue.order.erase({flow.tag, request.workspace}) > 0;
  flow.tag += tokens / flow.weight;
  if (is_waiting) {
    queue.order.emplace(flow.tag, request.workspace);
  }
}

// Replaces the estimate charged at the start by the tokens that were used.
void request_scheduler::Settle(const active& attempt, double tokens) {
  suspect_running_ = suspect_running_ && !attempt.request.suspect;
  const double difference =
      tokens - static_cast<double>(attempt.request.cost_tokens);
  MoveTag(attempt.request, difference);
  served_.Add(attempt.request.rank, difference);
}

void request_scheduler::DropExcess() {
  while (queued_.size() > policy_.queue_bound) {
    // Each rank keeps its floor of the places too; otherwise a flood of urgent
    // work would leave no work of the other ranks to which to give the floor.
    // The floors sum to at most 1, so some rank has more than its part.
    const auto bound = static_cast<double>(policy_.queue_bound);
    rank_queue* queue = nullptr;
    for (const request_rank rank : kAllRanks) {
      rank_queue& candidate = ranks_.at(IndexOf(rank));
      const double kept = policy_.floor_share.at(IndexOf(rank)) * bound;
      if (candidate.queued > 0 &&
          static_cast<double>(candidate.queued) > kept) {
        queue = &candidate;
      }
    }
    if (queue == nullptr) {
      return;
    }
    const flow* largest = nullptr;
    for (const auto& [tag, workspace] : queue->order) {
      const flow& candidate = queue->flows.at(workspace);
      if (largest == nullptr || candidate.queued_tokens * largest->weight >
                                    largest->queued_tokens * candidate.weight) {
        largest = &candidate;
      }
    }
    assert(largest != nullptr);
    const attempt_id newest = largest->queue.back();
    Refuse(newest, error_kind::kOverloaded);
  }
}

void request_scheduler::RefuseHopeless() {
  while (!latest_starts_.empty() && latest_starts_.begin()->first < now_) {
    const attempt_id attempt = latest_starts_.begin()->second;
    Refuse(attempt, error_kind::kDeadlineExceeded);
  }
}

void request_scheduler::Dispatch() {
  while (running_.size() < policy_.slots && !suspect_running_) {
    const std::optional<request_rank> rank = NextRank();
    if (!rank) {
      return;
    }
    rank_queue& queue = ranks_.at(IndexOf(*rank));
    const flow& flow = queue.flows.at(queue.order.begin()->second);
    const attempt_id next = flow.queue.front();
    const waiting& head = queued_.at(next);
    const auto cost = static_cast<double>(head.request.cost_tokens);
    if (now_ + ServiceTime(cost) > head.request.deadline) {
      Refuse(next, error_kind::kDeadlineExceeded);
      continue;
    }
    if (head.request.suspect && !running_.empty()) {
      return;  // the running attempts end before the suspect starts
    }
    queue.virtual_time = flow.tag;
    waiting entry = Remove(next);
    MoveTag(entry.request, cost);
    served_.Add(*rank, cost);
    suspect_running_ = entry.request.suspect;
    running_.emplace(next, active{std::move(entry.request), now_, entry.since});
    actions_.emplace_back(start{next});
  }
}

void request_scheduler::PreemptForUrgent() {
  if (urgent_since_.empty() || running_.size() < policy_.slots ||
      NextRank() != request_rank::kUrgent) {
    return;
  }
  std::multiset<time_point> slot_free;
  for (const auto& [id, attempt] : running_) {
    slot_free.insert(attempt.preempting ? now_ : ExpectedEnd(attempt));
  }
  for (const auto& [since, urgent] : urgent_since_) {
    if (slot_free.empty()) {
      return;
    }
    const time_point free = *slot_free.begin();
    if (free <= now_ || free - since <= PreemptionWait()) {
      slot_free.erase(slot_free.begin());
      continue;
    }
    const std::optional<attempt_id> victim = PreemptionVictim();
    if (!victim || ExpectedEnd(running_.at(*victim)) < free) {
      return;  // nothing to preempt that would end later than a slot is free
    }
    active& attempt = running_.at(*victim);
    slot_free.erase(slot_free.find(ExpectedEnd(attempt)));
    attempt.preempting = true;
    actions_.emplace_back(preempt{*victim});
  }
}

double request_scheduler::FloorTokens(request_rank rank) const {
  return policy_.floor_share.at(IndexOf(rank)) * served_.Total();
}

std::optional<request_rank> request_scheduler::NextRank() const {
  std::optional<request_rank> first;  // most urgent rank that waits
  std::optional<request_rank> lowest_served;
  double least = 1;
  double other_floors = 0;
  for (const request_rank rank : kAllRanks) {
    if (ranks_.at(IndexOf(rank)).queued == 0) {
      continue;
    }
    const double floor = FloorTokens(rank);
    if (!first) {
      first = rank;
    } else {
      other_floors += floor;
    }
    if (floor > 0 && served_.Served(rank) / floor < least) {
      least = served_.Served(rank) / floor;
      lowest_served = rank;
    }
  }
  // The most urgent rank stays first while it uses no more than the floors of
  // the other ranks leave; a floor that is missed then has another cause, for
  // example a flood of less urgent work.
  if (!first || !lowest_served ||
      served_.Served(*first) < served_.Total() - other_floors) {
    return first;
  }
  return lowest_served;
}

std::optional<attempt_id> request_scheduler::PreemptionVictim() const {
  std::optional<attempt_id> victim;
  time_point latest = time_point::min();
  double given_back = 0;
  for (const auto& [id, attempt] : running_) {
    if (attempt.preempting) {
      given_back += ToSeconds(ExpectedEnd(attempt) - now_) * slot_rate();
    } else if (attempt.request.rank == request_rank::kBackground &&
               attempt.request.resumable && ExpectedEnd(attempt) > latest) {
      victim = id;
      latest = ExpectedEnd(attempt);
    }
  }
  if (victim) {
    given_back += ToSeconds(latest - now_) * slot_rate();
    if (served_.Served(request_rank::kBackground) - given_back <
        FloorTokens(request_rank::kBackground)) {
      return std::nullopt;
    }
  }
  return victim;
}

duration request_scheduler::ServiceTime(double tokens) const {
  return FromSeconds(tokens / slot_rate());
}

// Time until an attempt that arrives now starts: the work of more urgent ranks
// and, within the rank, what fair queueing serves before it. The floor of the
// rank bounds the time from above.
duration request_scheduler::ExpectedWait(const enqueue& request) const {
  const double rate = slot_rate() * static_cast<double>(policy_.slots);
  double more_urgent = 0;
  for (std::size_t i = 0; i < IndexOf(request.rank); ++i) {
    more_urgent += ranks_.at(i).queued_tokens;
  }
  const rank_queue& queue = ranks_.at(IndexOf(request.rank));
  double own = 0;
  if (const auto found = queue.flows.find(request.workspace);
      found != queue.flows.end()) {
    own = found->second.queued_tokens * queue.queued_weight /
          found->second.weight;
  }
  const double ahead = std::min(queue.queued_tokens, own);
  double wait = (more_urgent + ahead) / rate;
  if (const double floor = policy_.floor_share.at(IndexOf(request.rank));
      floor > 0) {
    wait = std::min(wait, ahead / (floor * rate));
  }
  return FromSeconds(wait);
}

time_point request_scheduler::ExpectedEnd(const active& attempt) const {
  const duration service =
      ServiceTime(static_cast<double>(attempt.request.cost_tokens));
  return std::max(attempt.started + service, now_ + service / kOverrunDivisor);
}

duration request_scheduler::PreemptionWait() const {
  return policy_.target.at(IndexOf(request_rank::kUrgent)) / kPreemptionDivisor;
}

}  // namespace fireflyslip
