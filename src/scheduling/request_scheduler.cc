#include "fireflyslip/scheduling/request_scheduler.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace fireflyslip {
namespace {

// Urgent attempts may wait for a tenth of their latency objective before a
// background attempt is preempted, because a flood of background attempts may
// increase the urgent p95 by at most 10 %.
constexpr int kPreemptionDivisor = 10;

// An attempt is queued only if it would meet its deadline even if waiting and
// service took a quarter longer than estimated. Without this margin the queue
// reaches an equilibrium in which every second start misses its deadline.
constexpr double kEstimateMargin = 1.25;

// Weight of the previous measurements when a new one is added.
constexpr double kRateDecay = 0.95;

// An attempt that runs longer than estimated is expected to take another
// quarter of the estimate.
constexpr int kOverrunDivisor = 4;

// Idle flows are removed when there are more of them than this.
constexpr std::size_t kMaxIdleFlows = 64;

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
  RefuseInfeasible();
  Dispatch();
  PreemptForUrgent();
  return std::exchange(actions_, {});
}

std::optional<time_point> request_scheduler::NextDeadline() const {
  std::optional<time_point> next;
  if (!latest_starts_.empty()) {
    // A start at exactly the latest start still meets the deadline.
    next = latest_starts_.begin()->first + duration(1);
  }
  for (const auto& [enqueued, attempt] : urgent_enqueued_) {
    if (const time_point due = enqueued + PreemptionWait(); due > now_) {
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
  const auto required_time = std::chrono::duration_cast<duration>(
      (ExpectedWait(event) + ServiceTime(cost)) * kEstimateMargin);
  // An idle slot starts the attempt at once, so only its own service time
  // counts.
  const bool is_idle = running_.size() < policy_.slots && queued_.empty();
  if (now_ + (is_idle ? ServiceTime(cost) : required_time) > event.deadline) {
    actions_.emplace_back(
        refuse{event.attempt, error_kind::kDeadlineExceeded, false});
    return;
  }
  Insert({event, now_, event.deadline - ServiceTime(cost), false}, false);
  // A free slot takes the attempt at once, so the bound is checked afterwards.
  Dispatch();
  ShedExcess();
}

void request_scheduler::On(const finished& event) {
  const auto found = running_.find(event.attempt);
  if (found == running_.end()) {
    return;
  }
  const running_attempt attempt = found->second;
  running_.erase(found);
  const auto tokens = static_cast<double>(event.tokens_used);
  const double elapsed = ToSeconds(now_ - attempt.started);
  if (tokens > 0 && elapsed > 0) {
    rate_tokens_ = rate_tokens_ * kRateDecay + tokens;
    rate_seconds_ = rate_seconds_ * kRateDecay + elapsed;
  }
  SettleCharge(attempt, tokens);
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
  const running_attempt attempt = found->second;
  running_.erase(found);
  SettleCharge(attempt,
               std::min(static_cast<double>(attempt.request.cost_tokens),
                        ToSeconds(now_ - attempt.started) * slot_rate()));
}

void request_scheduler::On(const preemption_completed& event) {
  const auto found = running_.find(event.attempt);
  if (found == running_.end()) {
    return;
  }
  running_attempt attempt = found->second;
  running_.erase(found);
  SettleCharge(attempt, static_cast<double>(event.tokens_made));
  enqueue& rest = attempt.request;
  rest.cost_tokens -= std::min(rest.cost_tokens - 1, event.tokens_made);
  const time_point latest_start =
      rest.deadline - ServiceTime(static_cast<double>(rest.cost_tokens));
  Insert({rest, attempt.enqueued, latest_start, true}, true);
}

void request_scheduler::On(const policy_changed& event) {
  policy_ = event.policy;
  ShedExcess();
}

request_scheduler::rank_queue& request_scheduler::QueueOf(
    const enqueue& request) {
  return ranks_.at(IndexOf(request.rank));
}

void request_scheduler::Insert(queued_attempt entry, bool at_front) {
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
    urgent_enqueued_.emplace(entry.enqueued, request.attempt);
  }
  queued_.emplace(request.attempt, std::move(entry));
}

request_scheduler::queued_attempt request_scheduler::Remove(
    const attempt_id& attempt) {
  const auto found = queued_.find(attempt);
  assert(found != queued_.end());
  queued_attempt entry = std::move(found->second);
  queued_.erase(found);
  const enqueue& request = entry.request;
  latest_starts_.erase({entry.latest_start, request.attempt});
  urgent_enqueued_.erase({entry.enqueued, request.attempt});
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
  if (queue.flows.size() > queue.order.size() + kMaxIdleFlows) {
    // An idle flow with a tag up to the virtual time is equivalent to a new
    // one.
    std::erase_if(queue.flows, [&queue](const auto& item) {
      return item.second.queue.empty() && item.second.tag <= queue.virtual_time;
    });
  }
  return entry;
}

void request_scheduler::Refuse(const attempt_id& attempt, error_kind kind) {
  const queued_attempt entry = Remove(attempt);
  actions_.emplace_back(refuse{attempt, kind, entry.was_started});
}

void request_scheduler::AdvanceTag(const enqueue& request, double tokens) {
  rank_queue& queue = QueueOf(request);
  const auto found = queue.flows.find(request.workspace);
  if (found == queue.flows.end()) {
    return;
  }
  flow& flow = found->second;
  const bool is_backlogged =
      queue.order.erase({flow.tag, request.workspace}) > 0;
  flow.tag += tokens / flow.weight;
  if (is_backlogged) {
    queue.order.emplace(flow.tag, request.workspace);
  }
}

// Replaces the estimate that was charged at the start by the tokens used.
void request_scheduler::SettleCharge(const running_attempt& attempt,
                                     double tokens) {
  suspect_running_ = suspect_running_ && !attempt.request.suspect;
  const double difference =
      tokens - static_cast<double>(attempt.request.cost_tokens);
  AdvanceTag(attempt.request, difference);
  served_.Add(attempt.request.rank, difference);
}

void request_scheduler::ShedExcess() {
  while (queued_.size() > policy_.queue_bound) {
    // The floors also apply to the capacity of the queue. Otherwise a flood of
    // urgent attempts would displace all attempts of the other ranks, and their
    // floors could not be served. The floors sum to at most 1, so some rank
    // exceeds its part.
    const auto bound = static_cast<double>(policy_.queue_bound);
    rank_queue* queue = nullptr;
    for (const request_rank rank : kAllRanks) {
      rank_queue& candidate = ranks_.at(IndexOf(rank));
      const double guaranteed = policy_.floor_share.at(IndexOf(rank)) * bound;
      if (candidate.queued > 0 &&
          static_cast<double>(candidate.queued) > guaranteed) {
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

void request_scheduler::RefuseInfeasible() {
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
    const queued_attempt& head = queued_.at(next);
    const auto cost = static_cast<double>(head.request.cost_tokens);
    if (now_ + ServiceTime(cost) > head.request.deadline) {
      Refuse(next, error_kind::kDeadlineExceeded);
      continue;
    }
    if (head.request.suspect && !running_.empty()) {
      return;  // a suspect starts only after all running attempts have ended
    }
    queue.virtual_time = flow.tag;
    queued_attempt entry = Remove(next);
    AdvanceTag(entry.request, cost);
    served_.Add(*rank, cost);
    suspect_running_ = entry.request.suspect;
    running_.emplace(
        next, running_attempt{std::move(entry.request), now_, entry.enqueued});
    actions_.emplace_back(start{next});
  }
}

void request_scheduler::PreemptForUrgent() {
  if (urgent_enqueued_.empty() || running_.size() < policy_.slots ||
      NextRank() != request_rank::kUrgent) {
    return;
  }
  std::multiset<time_point> slot_release_times;
  for (const auto& [id, attempt] : running_) {
    slot_release_times.insert(attempt.preempting ? now_ : ExpectedEnd(attempt));
  }
  for (const auto& [enqueued, urgent] : urgent_enqueued_) {
    if (slot_release_times.empty()) {
      return;
    }
    const time_point next_release = *slot_release_times.begin();
    if (next_release <= now_ || next_release - enqueued <= PreemptionWait()) {
      slot_release_times.erase(slot_release_times.begin());
      continue;
    }
    const std::optional<attempt_id> victim = PreemptionVictim();
    if (!victim || ExpectedEnd(running_.at(*victim)) < next_release) {
      return;  // no candidate runs beyond the next release of a slot
    }
    running_attempt& attempt = running_.at(*victim);
    slot_release_times.erase(slot_release_times.find(ExpectedEnd(attempt)));
    attempt.preempting = true;
    actions_.emplace_back(preempt{*victim});
  }
}

double request_scheduler::FloorTokens(request_rank rank) const {
  return policy_.floor_share.at(IndexOf(rank)) * served_.Total();
}

std::optional<request_rank> request_scheduler::NextRank() const {
  std::optional<request_rank> most_urgent;  // of the backlogged ranks
  std::optional<request_rank> most_underserved;
  double min_ratio = 1;
  double other_floors = 0;
  for (const request_rank rank : kAllRanks) {
    if (ranks_.at(IndexOf(rank)).queued == 0) {
      continue;
    }
    const double floor = FloorTokens(rank);
    if (!most_urgent) {
      most_urgent = rank;
    } else {
      other_floors += floor;
    }
    if (floor > 0 && served_.Served(rank) / floor < min_ratio) {
      min_ratio = served_.Served(rank) / floor;
      most_underserved = rank;
    }
  }
  // The most urgent rank keeps priority while it uses no more than the floors
  // of the other ranks leave. A floor that is missed then has another cause,
  // such as a flood of less urgent attempts.
  if (!most_urgent || !most_underserved ||
      served_.Served(*most_urgent) < served_.Total() - other_floors) {
    return most_urgent;
  }
  return most_underserved;
}

std::optional<attempt_id> request_scheduler::PreemptionVictim() const {
  std::optional<attempt_id> victim;
  time_point latest = time_point::min();
  double released_tokens = 0;
  for (const auto& [id, attempt] : running_) {
    if (attempt.preempting) {
      released_tokens += ToSeconds(ExpectedEnd(attempt) - now_) * slot_rate();
    } else if (attempt.request.rank == request_rank::kBackground &&
               attempt.request.resumable && ExpectedEnd(attempt) > latest) {
      victim = id;
      latest = ExpectedEnd(attempt);
    }
  }
  if (victim) {
    released_tokens += ToSeconds(latest - now_) * slot_rate();
    if (served_.Served(request_rank::kBackground) - released_tokens <
        FloorTokens(request_rank::kBackground)) {
      return std::nullopt;
    }
  }
  return victim;
}

duration request_scheduler::ServiceTime(double tokens) const {
  return FromSeconds(tokens / slot_rate());
}

// Expected time until an attempt that arrives now starts: the backlog of more
// urgent ranks and, within the rank, what fair queueing serves before it. The
// floor of the rank gives an upper bound.
duration request_scheduler::ExpectedWait(const enqueue& request) const {
  const double rate = slot_rate() * static_cast<double>(policy_.slots);
  double more_urgent = 0;
  for (std::size_t i = 0; i < IndexOf(request.rank); ++i) {
    more_urgent += ranks_.at(i).queued_tokens;
  }
  const rank_queue& queue = ranks_.at(IndexOf(request.rank));
  double fair_backlog = 0;
  if (const auto found = queue.flows.find(request.workspace);
      found != queue.flows.end()) {
    fair_backlog = found->second.queued_tokens * queue.queued_weight /
                   found->second.weight;
  }
  const double ahead = std::min(queue.queued_tokens, fair_backlog);
  double wait = (more_urgent + ahead) / rate;
  if (const double floor = policy_.floor_share.at(IndexOf(request.rank));
      floor > 0) {
    wait = std::min(wait, ahead / (floor * rate));
  }
  return FromSeconds(wait);
}

time_point request_scheduler::ExpectedEnd(
    const running_attempt& attempt) const {
  const duration service =
      ServiceTime(static_cast<double>(attempt.request.cost_tokens));
  return std::max(attempt.started + service, now_ + service / kOverrunDivisor);
}

duration request_scheduler::PreemptionWait() const {
  return policy_.target.at(IndexOf(request_rank::kUrgent)) / kPreemptionDivisor;
}

}  // namespace fireflyslip
