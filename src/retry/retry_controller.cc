#include "fireflyslip/retry/retry_controller.h"

#include <algorithm>

#include "fireflyslip/core/result.h"

namespace fireflyslip {
namespace {

// Delay before the first retry; it doubles with each further one. Half of it is
// random jitter, so that requests that failed together are not retried
// together.
constexpr duration kBaseDelay = milliseconds(20);
constexpr duration kMaxDelay = seconds(1);

constexpr std::uint32_t kMaxAttempts = 4;

// Number of recent latencies from which the p95 is estimated, minimum number
// for an estimate, and number of new latencies between estimates.
constexpr std::size_t kLatencyWindow = 512;
constexpr std::size_t kMinLatencies = 40;
constexpr std::size_t kEstimateInterval = 32;

// Bounds the state that removed workspaces leave. A dropped budget starts full
// again, so the bound exceeds the number of workspaces of a configuration.
constexpr std::size_t kMaxBudgets = 4096;

bool IsRetryable(error_kind kind) {
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
  const auto cancel_hedge = [this](const request_id& request) {
    if (const auto found = hedgeable_.find(request);
        found != hedgeable_.end()) {
      hedgeable_order_.erase({found->second.since, request});
      hedgeable_.erase(found);
    }
  };
  std::visit(overloaded{[](const tick& /*value*/) {},
                        [&](const first_attempt& value) {
                          BudgetOf(value.workspace).CountFirstAttempt();
                          if (value.idempotent &&
                              value.rank == request_rank::kUrgent) {
                            hedgeable_[value.request] = {value.workspace, now};
                            hedgeable_order_.emplace(now, value.request);
                          }
                        },
                        [&](const attempt_failed& value) {
                          cancel_hedge(value.request);
                          actions.push_back(Decide(value));
                        },
                        [&](const answered& value) {
                          cancel_hedge(value.request);
                          if (value.latency) {
                            AddLatency(*value.latency);
                          }
                        }},
             event);
  while (hedge_delay_ && !hedgeable_order_.empty() &&
         hedgeable_order_.begin()->first + *hedge_delay_ <= now) {
    const request_id request = hedgeable_order_.begin()->second;
    if (BudgetOf(hedgeable_.at(request).workspace).Take()) {
      actions.emplace_back(hedge{request});
    }
    cancel_hedge(request);
  }
  return actions;
}

std::optional<time_point> retry_controller::NextDeadline() const {
  if (!hedge_delay_ || hedgeable_order_.empty()) {
    return std::nullopt;
  }
  return hedgeable_order_.begin()->first + *hedge_delay_;
}

retry_controller::action retry_controller::Decide(const attempt_failed& event) {
  if (event.known_outcome != outcome::kNotRun && !event.idempotent) {
    // The request may have been run, so it is not retried. The agent may know
    // the outcome, unless it has already reported it as unknown.
    if (event.known_outcome == outcome::kUnknown &&
        event.kind != error_kind::kOutcomeUnknown) {
      return query_outcome{{event.request, event.attempt}};
    }
    return give_up{event.request, event.kind};
  }
  if (event.bytes_forwarded > 0 && !event.resumable) {
    return give_up{event.request, event.kind};
  }
  const duration max_delay =
      std::min(kMaxDelay, kBaseDelay * (1 << std::min(event.attempt, 6U)));
  const duration delay = max_delay / 2 + FromSeconds(ToSeconds(max_delay) / 2 *
                                                     random_.Fraction());
  if (!IsRetryable(event.kind) || event.attempt + 1 >= kMaxAttempts) {
    return give_up{event.request, event.kind};
  }
  if (delay >= event.remaining || !BudgetOf(event.workspace).Take()) {
    return give_up{event.request, event.kind};
  }
  return schedule_retry{event.request, delay};
}

void retry_controller::AddLatency(duration latency) {
  latencies_.push_back(latency);
  if (latencies_.size() > kLatencyWindow) {
    latencies_.pop_front();
  }
  if (latencies_.size() < kMinLatencies ||
      ++latencies_since_estimate_ < kEstimateInterval) {
    return;
  }
  latencies_since_estimate_ = 0;
  std::vector<duration> sorted(latencies_.begin(), latencies_.end());
  const auto p95 =
      sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() * 95 / 100);
  std::nth_element(sorted.begin(), p95, sorted.end());
  hedge_delay_ = *p95;
}

retry_budget& retry_controller::BudgetOf(const workspace_id& workspace) {
  if (budgets_.size() >= kMaxBudgets && !budgets_.contains(workspace)) {
    budgets_.erase(budgets_.begin());
  }
  return budgets_[workspace];
}

}  // namespace fireflyslip
