#include "fireflyslip/retry/retry_controller.h"

#include <algorithm>

#include "fireflyslip/core/result.h"

namespace fireflyslip {
namespace {

// Delay before the first further attempt; it doubles with each one. Half of
// it is random, so that requests that failed together do not return together.
constexpr duration kFirstDelay = milliseconds(20);
constexpr duration kLongestDelay = seconds(1);

constexpr std::uint32_t kMostAttempts = 4;

// Latencies from which the p95 is taken, and how many are needed for one.
constexpr std::size_t kLatencies = 512;
constexpr std::size_t kFewestLatencies = 40;
constexpr std::size_t kEstimateInterval = 32;

// Bounds the state for workspaces that are gone. A dropped budget starts full
// again, so the bound is above the number of workspaces of a configuration.
constexpr std::size_t kMostBudgets = 4096;

bool IsRepeatable(error_kind kind) {
  switch (kind) {
    case error_kind::kNoUpstream:
    case error_kind::kUpstreamLeaving:
    case error_kind::kOverloaded:
    case error_kind::kPlatformUnavailable:
    case error_kind::kJournalFull:
    case error_kind::kOutcomeUnknown:
    case error_kind::kUpstreamFailed:
    case error_kind::kVersionChanged:
    case error_kind::kCorruptData:
    case error_kind::kInternalError:
      return true;
    default:
      return false;
  }
}

}  // namespace

std::vector<retry_controller::action> retry_controller::Handle(
    const event& event,
    time_point now) {
  std::vector<action> actions;
  const auto stop_waiting = [this](const request_id& request) {
    if (const auto found = waiting_.find(request); found != waiting_.end()) {
      waiting_order_.erase({found->second.since, request});
      waiting_.erase(found);
    }
  };
  std::visit(overloaded{[](const tick& /*value*/) {},
                        [&](const first_attempt& value) {
                          BudgetOf(value.workspace).CountFirstAttempt();
                          if (value.idempotent &&
                              value.rank == request_rank::kUrgent) {
                            waiting_[value.request] = {value.workspace, now};
                            waiting_order_.emplace(now, value.request);
                          }
                        },
                        [&](const attempt_failed& value) {
                          stop_waiting(value.request);
                          actions.push_back(Decide(value));
                        },
                        [&](const answered& value) {
                          stop_waiting(value.request);
                          if (value.latency) {
                            CountLatency(*value.latency);
                          }
                        }},
             event);
  while (hedge_delay_ && !waiting_order_.empty() &&
         waiting_order_.begin()->first + *hedge_delay_ <= now) {
    const request_id request = waiting_order_.begin()->second;
    if (BudgetOf(waiting_.at(request).workspace).Take()) {
      actions.emplace_back(hedge{request});
    }
    stop_waiting(request);
  }
  return actions;
}

std::optional<time_point> retry_controller::NextDeadline() const {
  if (!hedge_delay_ || waiting_order_.empty()) {
    return std::nullopt;
  }
  return waiting_order_.begin()->first + *hedge_delay_;
}

retry_controller::action retry_controller::Decide(const attempt_failed& event) {
  if (event.known_outcome != outcome::kNotRun && !event.idempotent) {
    // It may have been run, so it is not repeated. The agent may know more,
    // unless it has answered already.
    if (event.known_outcome == outcome::kUnknown &&
        event.kind != error_kind::kOutcomeUnknown) {
      return query_outcome{{event.request, event.attempt}};
    }
    return give_up{event.request, event.kind};
  }
  if (event.bytes_forwarded > 0 && !event.resumable) {
    return give_up{event.request, event.kind};
  }
  const duration longest =
      std::min(kLongestDelay, kFirstDelay * (1 << std::min(event.attempt, 6U)));
  const duration delay =
      longest / 2 + FromSeconds(ToSeconds(longest) / 2 * random_.Fraction());
  if (!IsRepeatable(event.kind) || event.attempt + 1 >= kMostAttempts) {
    return give_up{event.request, event.kind};
  }
  if (delay >= event.remaining || !BudgetOf(event.workspace).Take()) {
    return give_up{event.request, event.kind};
  }
  return schedule_retry{event.request, delay};
}

void retry_controller::CountLatency(duration latency) {
  latencies_.push_back(latency);
  if (latencies_.size() > kLatencies) {
    latencies_.pop_front();
  }
  if (latencies_.size() < kFewestLatencies ||
      ++since_estimate_ < kEstimateInterval) {
    return;
  }
  since_estimate_ = 0;
  std::vector<duration> sorted(latencies_.begin(), latencies_.end());
  const auto p95 =
      sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() * 95 / 100);
  std::nth_element(sorted.begin(), p95, sorted.end());
  hedge_delay_ = *p95;
}

retry_budget& retry_controller::BudgetOf(const workspace_id& workspace) {
  if (budgets_.size() >= kMostBudgets && !budgets_.contains(workspace)) {
    budgets_.erase(budgets_.begin());
  }
  return budgets_[workspace];
}

}  // namespace fireflyslip
