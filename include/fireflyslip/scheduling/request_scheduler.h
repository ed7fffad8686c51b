#ifndef FIREFLYSLIP_SCHEDULING_REQUEST_SCHEDULER_H_
#define FIREFLYSLIP_SCHEDULING_REQUEST_SCHEDULER_H_

#include <array>
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
#include "fireflyslip/core/rank.h"
#include "fireflyslip/core/time.h"
#include "fireflyslip/scheduling/token_window.h"

namespace fireflyslip {

/// \brief Limits of the queue of one upstream.
struct scheduling_policy {
  std::size_t slots = 8;           ///< Maximum number of running attempts.
  std::size_t queue_bound = 1024;  ///< Maximum number of queued attempts.
  /// Minimum share of the served tokens that is guaranteed to each rank while
  /// other ranks are overloaded; the sum is at most 1.
  std::array<double, kRankCount> floor_share = {};
  /// Latency objective of each rank.
  std::array<duration, kRankCount> target = {milliseconds(400), seconds(2),
                                             seconds(10)};

  bool operator==(const scheduling_policy&) const = default;
};

/// \brief Decision core that selects which attempt an upstream runs next.
///
/// Ranks have strict priority, except that each rank is guaranteed its floor,
/// measured in tokens over a sliding window. Unused floors are available to the
/// other ranks. Within a rank, workspaces are served by start-time fair
/// queueing of tokens by weight.
class request_scheduler {
 public:
  /// \brief An attempt arrived. Its id must not be in the scheduler.
  struct enqueue {
    attempt_id attempt;
    workspace_id workspace;
    double weight = 1;  ///< Share within the rank; positive.
    request_rank rank = request_rank::kStandard;
    time_point deadline;
    std::uint64_t cost_tokens = 1;  ///< Estimate for the whole attempt.
    bool resumable = false;         ///< May be preempted and resumed by offset.
    bool suspect = false;  ///< Runs alone, because it may crash the upstream.

    bool operator==(const enqueue&) const = default;
  };
  /// \brief An attempt ended without preemption or cancellation.
  struct finished {
    attempt_id attempt;
    std::uint64_t tokens_used = 0;  ///< Since its last start.

    bool operator==(const finished&) const = default;
  };
  /// \brief The gateway cancelled an attempt. A running attempt has stopped.
  struct cancelled {
    attempt_id attempt;

    bool operator==(const cancelled&) const = default;
  };
  /// \brief An attempt stopped after `preempt`. It is queued again.
  struct preemption_completed {
    attempt_id attempt;
    std::uint64_t tokens_made = 0;  ///< Since its last start.

    bool operator==(const preemption_completed&) const = default;
  };
  struct policy_changed {
    scheduling_policy policy;

    bool operator==(const policy_changed&) const = default;
  };
  using event = std::variant<tick,
                             enqueue,
                             finished,
                             cancelled,
                             preemption_completed,
                             policy_changed>;

  /// \brief Run or resume the attempt now.
  struct start {
    attempt_id attempt;

    bool operator==(const start&) const = default;
  };
  /// \brief Stop the attempt, then send `preemption_completed`.
  struct preempt {
    attempt_id attempt;

    bool operator==(const preempt&) const = default;
  };
  /// \brief The attempt was removed from the queue. Its outcome is `not_run`
  /// only if it was never started.
  struct refuse {
    attempt_id attempt;
    error_kind kind = error_kind::kOverloaded;
    bool was_started = false;

    bool operator==(const refuse&) const = default;
  };
  using action = std::variant<start, preempt, refuse>;

  /// \param initial_rate service rate of one slot in tokens per second, until
  /// it is measured.
  explicit request_scheduler(scheduling_policy policy,
                             double initial_rate = 100);

  std::vector<action> Handle(const event& event, time_point now);
  std::optional<time_point> NextDeadline() const;

  std::size_t running() const { return running_.size(); }
  std::size_t queued() const { return queued_.size(); }
  /// \brief Estimated tokens of all queued attempts, for load reports.
  double queued_tokens() const;
  /// \brief Estimated service rate of one slot in tokens per second.
  double slot_rate() const { return rate_tokens_ / rate_seconds_; }

 private:
  struct queued_attempt {
    enqueue request;
    time_point enqueued;
    time_point latest_start;  // a later start cannot meet the deadline
    bool was_started = false;
  };
  struct running_attempt {
    enqueue request;
    time_point started;
    time_point enqueued;
    bool preempting = false;
  };
  // The queued attempts of one workspace in one rank.
  struct flow {
    std::deque<attempt_id> queue;
    double weight = 1;
    double tag = 0;  // virtual start time of the next attempt
    double queued_tokens = 0;
  };
  struct rank_queue {
    std::map<workspace_id, flow> flows;
    std::set<std::pair<double, workspace_id>> order;  // backlogged, by tag
    double virtual_time = 0;
    double queued_tokens = 0;
    double queued_weight = 0;  // of the backlogged flows
    std::size_t queued = 0;
  };

  void On(const tick& event);
  void On(const enqueue& event);
  void On(const finished& event);
  void On(const cancelled& event);
  void On(const preemption_completed& event);
  void On(const policy_changed& event);

  rank_queue& QueueOf(const enqueue& request);
  void Insert(queued_attempt entry, bool at_front);
  queued_attempt Remove(const attempt_id& attempt);
  void Refuse(const attempt_id& attempt, error_kind kind);
  void AdvanceTag(const enqueue& request, double tokens);
  void SettleCharge(const running_attempt& attempt, double tokens);
  void ShedExcess();
  void RefuseInfeasible();
  void Dispatch();
  void PreemptForUrgent();
  double FloorTokens(request_rank rank) const;
  std::optional<request_rank> NextRank() const;
  std::optional<attempt_id> PreemptionVictim() const;
  duration ServiceTime(double tokens) const;
  duration ExpectedWait(const enqueue& request) const;
  time_point ExpectedEnd(const running_attempt& attempt) const;
  duration PreemptionWait() const;

  scheduling_policy policy_;
  std::array<rank_queue, kRankCount> ranks_;
  std::map<attempt_id, queued_attempt> queued_;
  std::map<attempt_id, running_attempt> running_;
  std::set<std::pair<time_point, attempt_id>> latest_starts_;
  std::set<std::pair<time_point, attempt_id>> urgent_enqueued_;
  token_window served_;
  double rate_tokens_;
  double rate_seconds_ = 1;
  bool suspect_running_ = false;
  time_point now_;
  std::vector<action> actions_;
};

static_assert(decision_core<request_scheduler>);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_SCHEDULING_REQUEST_SCHEDULER_H_
