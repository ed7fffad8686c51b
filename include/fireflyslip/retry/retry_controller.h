#ifndef FIREFLYSLIP_RETRY_RETRY_CONTROLLER_H_
#define FIREFLYSLIP_RETRY_RETRY_CONTROLLER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "fireflyslip/core/decision_core.h"
#include "fireflyslip/core/error.h"
#include "fireflyslip/core/ids.h"
#include "fireflyslip/core/random_source.h"
#include "fireflyslip/core/rank.h"
#include "fireflyslip/core/time.h"
#include "fireflyslip/retry/retry_budget.h"

namespace fireflyslip {

/// \brief Decision core for retries and hedged requests.
class retry_controller {
 public:
  /// \brief The first attempt of a request was sent.
  struct first_attempt {
    request_id request;
    workspace_id workspace;
    request_rank rank = request_rank::kStandard;
    bool idempotent = false;

    bool operator==(const first_attempt&) const = default;
  };
  struct attempt_failed {
    request_id request;
    workspace_id workspace;
    std::uint32_t attempt = 0;  ///< Number of the attempt; the first is 0.
    outcome known_outcome = outcome::kUnknown;
    error_kind kind = error_kind::kUpstreamFailed;
    bool idempotent = false;
    std::uint64_t bytes_forwarded = 0;  ///< Already sent to the client.
    bool resumable = false;  ///< The stream can be resumed at its offset.
    duration remaining{};    ///< Until the deadline.

    bool operator==(const attempt_failed&) const = default;
  };
  /// \brief The first byte of a response arrived, or the request ended.
  struct answered {
    request_id request;
    std::optional<duration> latency;  ///< Time to first byte, if it arrived.

    bool operator==(const answered&) const = default;
  };
  using event = std::variant<tick, first_attempt, attempt_failed, answered>;

  /// \brief Send the next attempt after a delay.
  struct schedule_retry {
    request_id request;
    duration delay{};

    bool operator==(const schedule_retry&) const = default;
  };
  /// \brief Ask the agent for the outcome of the attempt.
  struct query_outcome {
    attempt_id attempt;

    bool operator==(const query_outcome&) const = default;
  };
  struct give_up {
    request_id request;
    error_kind kind = error_kind::kUpstreamFailed;

    bool operator==(const give_up&) const = default;
  };
  /// \brief Send a second attempt to another upstream; use the first response.
  struct hedge {
    request_id request;

    bool operator==(const hedge&) const = default;
  };
  using action = std::variant<schedule_retry, query_outcome, give_up, hedge>;

  explicit retry_controller(random_source random) : random_(random) {}

  std::vector<action> Handle(const event& event, time_point now);
  std::optional<time_point> NextDeadline() const;

  /// \brief p95 of the recent latencies; empty until there are enough of them.
  std::optional<duration> hedge_delay() const { return hedge_delay_; }

 private:
  struct hedgeable {
    workspace_id workspace;
    time_point since;
  };

  action Decide(const attempt_failed& event);
  void AddLatency(duration latency);
  retry_budget& BudgetOf(const workspace_id& workspace);

  random_source random_;
  std::map<workspace_id, retry_budget> budgets_;
  std::map<request_id, hedgeable> hedgeable_;
  std::set<std::pair<time_point, request_id>> hedgeable_order_;
  std::deque<duration> latencies_;
  std::size_t latencies_since_estimate_ = 0;
  std::optional<duration> hedge_delay_;
};

static_assert(decision_core<retry_controller>);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_RETRY_RETRY_CONTROLLER_H_
