#ifndef FIREFLYSLIP_PLACEMENT_DISPATCHER_H_
#define FIREFLYSLIP_PLACEMENT_DISPATCHER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <tuple>
#include <variant>
#include <vector>

#include "fireflyslip/catalog/upstream_registry.h"
#include "fireflyslip/catalog/version_targets.h"
#include "fireflyslip/core/decision_core.h"
#include "fireflyslip/core/error.h"
#include "fireflyslip/core/random_source.h"
#include "fireflyslip/placement/decaying_rate.h"
#include "fireflyslip/placement/placement_policy.h"
#include "fireflyslip/placement/tracked_upstream.h"
#include "fireflyslip/placement/upstream_load.h"

namespace fireflyslip {

/// \brief Decision core that places requests on upstreams.
///
/// Load pattern: ordinary demand is above what the replicas can serve, uneven
/// between data centres, and bursts of the least and of the most urgent work
/// follow each other. Requests wait here rather than at a replica, so that they
/// can go to whichever replica has room first; they wait by priority, then
/// fairly over workspaces by cost. Requests whose answer can still begin in
/// time go before those that are late already. A request that is not expected
/// to begin in time is refused at once, with a delay after which it still can;
/// one that has been refused before waits on, because its client does not
/// return again.
///
/// Several entries choose by the same reports, which are as old as the interval
/// between them. To keep the entries from all sending to the replica that
/// looked emptiest, each one compares only a few replicas chosen at random, and
/// takes only its share of the places that a report shows for background work.
class dispatcher {
 public:
  /// \brief A request asks for an upstream. Its id is not in the dispatcher.
  struct submit {
    dispatch_id id = 0;
    service_name service;
    model_name model;  ///< Empty for plain services.
    workspace_id workspace;
    int priority = 0;  ///< Order of waiting requests; 0 is the first.
    int urgency = 0;   ///< Priority of the kind of request; 0 is the first.
    double cost = 1;   ///< Any unit that is the same for all requests.
    duration prefill_time = {};  ///< For which a replica reads the prompt.
    bool resubmitted = false;    ///< Was refused or interrupted before.
    time_point response_due;     ///< The answer should begin by then.
    time_point client_deadline;  ///< The client leaves then.
    std::set<upstream_id> excluded;
    /// Only upstreams that serve this version; set to continue a stream.
    std::optional<std::uint64_t> version;

    bool operator==(const submit&) const = default;
  };
  /// \brief A waiting request is not wanted any more.
  struct cancel_waiting {
    dispatch_id id = 0;

    bool operator==(const cancel_waiting&) const = default;
  };
  /// \brief The first part of the answer to a started request has arrived.
  struct response_begun {
    dispatch_id id = 0;

    bool operator==(const response_begun&) const = default;
  };
  /// \brief A started request has ended at its upstream.
  struct attempt_completed {
    dispatch_id id = 0;
    attempt_status status = attempt_status::kSucceeded;

    bool operator==(const attempt_completed&) const = default;
  };
  struct upstreams_changed {
    std::shared_ptr<const upstream_map> upstreams;  ///< Not null.

    bool operator==(const upstreams_changed&) const = default;
  };
  struct load_reported {
    upstream_id upstream;
    upstream_load load;

    bool operator==(const load_reported&) const = default;
  };
  struct version_published {
    model_name model;
    std::uint64_t version = 0;
    bool at_start = false;  ///< Was named before the process started.

    bool operator==(const version_published&) const = default;
  };
  /// \brief The platform answered a watch.
  struct platform_responded {
    bool operator==(const platform_responded&) const = default;
  };
  using event = std::variant<tick,
                             submit,
                             cancel_waiting,
                             response_begun,
                             attempt_completed,
                             upstreams_changed,
                             load_reported,
                             version_published,
                             platform_responded>;

  /// \brief Send the request to the upstream.
  struct start {
    dispatch_id id = 0;
    upstream_entry upstream;
    std::uint64_t version = 0;  ///< Weights it is known to serve; 0: unknown.
    /// The request must have begun by then; those weights are superseded.
    std::optional<time_point> start_deadline;

    bool operator==(const start&) const = default;
  };
  /// \brief Answer the request; this attempt of it was not sent.
  struct refuse {
    dispatch_id id = 0;
    error_kind kind = error_kind::kOverloaded;
    duration retry_after = {};

    bool operator==(const refuse&) const = default;
  };
  using action = std::variant<start, refuse>;

  dispatcher(placement_policy policy,
             version_targets targets,
             random_source random);

  std::vector<action> Handle(const event& event, time_point now);
  std::optional<time_point> NextDeadline() const;

  std::size_t waiting() const { return waiting_.size(); }
  /// \brief Entries that share the replicas, by the newest report; at least 1.
  std::size_t gateways() const { return gateways_; }

 private:
  enum class wait_class { kReturningInTime, kInTime, kLate };
  // Order within a service: priority, class, virtual time.
  using queue_key = std::tuple<int, wait_class, double, dispatch_id>;
  struct waiting_request {
    submit request;
    time_point until;  // placed by then, or refused
    queue_key key;
  };
  struct service_queue {
    std::map<queue_key, dispatch_id> order;
    // Start-time fair queueing within each priority.
    std::map<int, double> virtual_time;
    std::map<std::pair<int, workspace_id>, double> finish_tags;
    decaying_rate starts;                 // for the expected wait
    decaying_rate permits;                // the same for background requests
    std::map<int, duration> begin_times;  // by urgency; from send to answer
  };

  void On(const tick& event);
  void On(const submit& event);
  void On(const cancel_waiting& event);
  void On(const response_begun& event);
  void On(const attempt_completed& event);
  void On(const upstreams_changed& event);
  void On(const load_reported& event);
  void On(const version_published& event);
  void On(const platform_responded& event);

  void Dispatch(const service_name& service);
  void DispatchAll();
  tracked_upstream* Choose(const submit& request);
  tracked_upstream* CheapestOfSome(std::vector<tracked_upstream*> group);
  bool IsEligible(const tracked_upstream& upstream,
                  const submit& request) const;
  bool HasRoom(const tracked_upstream& upstream, const submit& request) const;
  duration ExpectedDelay(const tracked_upstream& upstream) const;
  int DrawPermits(const tracked_upstream& upstream);
  double Allowance(const submit& request) const;
  bool IsBackground(const submit& request) const {
    return Allowance(request) < 0;
  }
  duration BeginTime(const service_queue& queue, const submit& request) const;
  void Enqueue(const submit& request, wait_class order, time_point until);
  void EndWait(dispatch_id id);
  void Refuse(dispatch_id id, error_kind kind);
  void Remove(dispatch_id id);
  std::optional<duration> QueueDelay(const service_queue& queue,
                                     const waiting_request& waiting) const;
  duration RetryAfter(const waiting_request& waiting);

  placement_policy policy_;
  version_targets targets_;
  random_source random_;
  std::map<upstream_id, tracked_upstream> upstreams_;
  std::map<service_name, service_queue> queues_;
  std::map<dispatch_id, waiting_request> waiting_;
  std::set<std::pair<time_point, dispatch_id>> wait_ends_;
  struct started_request {
    upstream_id upstream;
    service_name service;
    int urgency = 0;
    time_point sent;
  };
  std::map<dispatch_id, started_request> started_;
  std::size_t gateways_ = 1;
  time_point now_;
  std::vector<action> actions_;
};

static_assert(decision_core<dispatcher>);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PLACEMENT_DISPATCHER_H_
