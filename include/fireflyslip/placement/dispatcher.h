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

#include "fireflyslip/catalog/deployment.h"
#include "fireflyslip/catalog/region_restriction.h"
#include "fireflyslip/catalog/upstream_registry.h"
#include "fireflyslip/catalog/version_targets.h"
#include "fireflyslip/core/decision_core.h"
#include "fireflyslip/core/error.h"
#include "fireflyslip/core/random_source.h"
#include "fireflyslip/placement/decaying_rate.h"
#include "fireflyslip/placement/placement_policy.h"
#include "fireflyslip/placement/tracked_upstream.h"
#include "fireflyslip/placement/upstream_advice.h"
#include "fireflyslip/placement/upstream_load.h"
#include "fireflyslip/placement/upstream_restrictions.h"

namespace fireflyslip {

/// \brief Decision core that assigns requests to upstreams.
///
/// It is designed for sustained demand above the capacity of the replicas, load
/// that is uneven between data centres, and alternating bursts of the least and
/// the most urgent requests. Requests are queued here rather than at a replica,
/// so that each can go to the first replica with free capacity. The queue is
/// ordered by priority, then by start-time fair queueing of the cost per
/// workspace. Requests that can still meet their response deadline precede
/// those that cannot. A request that is not expected to meet it is refused at
/// once, with a retry delay after which it still can. A request that has been
/// refused before stays queued, because its client does not retry again.
///
/// All gateways select by the same load reports, which are up to one report
/// interval old. To keep them from all sending to the replica with the lowest
/// reported load, each gateway compares only a small random sample of the
/// replicas (power of d choices). For background requests it uses only its
/// share of the free slots in a report.
///
/// Its owner sends an event at least once in
/// `version_targets::kMaxObservationGap`; a longer gap is taken as a pause of
/// the process.
class dispatcher {
 public:
  /// \brief A request needs an upstream. Its id must not be in the dispatcher.
  struct submit {
    dispatch_id id = 0;
    service_name service;
    model_name model;  ///< Empty for plain services.
    workspace_id workspace;
    int priority = 0;            ///< Queue priority; 0 is the highest.
    int urgency = 0;             ///< Priority of the route; 0 is the highest.
    double cost = 1;             ///< In any unit that all requests share.
    duration prefill_time = {};  ///< Time a replica takes for the prompt.
    bool resubmitted = false;    ///< Was refused or interrupted before.
    /// The upstream of the latest try refused it, and no response has begun.
    bool refused = false;
    time_point response_due;     ///< Latest time for the first response byte.
    time_point client_deadline;  ///< The client disconnects then.
    std::set<upstream_id> excluded;
    region_restriction regions = {};  ///< Where it may be served.
    /// Required version of the weights; set to resume a stream.
    std::optional<std::uint64_t> version;

    bool operator==(const submit&) const = default;
  };
  /// \brief Cancels a queued request.
  struct cancel_waiting {
    dispatch_id id = 0;

    bool operator==(const cancel_waiting&) const = default;
  };
  /// \brief The first part of the response to a started request has arrived.
  struct response_begun {
    dispatch_id id = 0;

    bool operator==(const response_begun&) const = default;
  };
  /// \brief The attempt of a started request ended.
  struct attempt_completed {
    dispatch_id id = 0;
    attempt_status status = attempt_status::kSucceeded;

    bool operator==(const attempt_completed&) const = default;
  };
  struct upstreams_changed {
    std::shared_ptr<const upstream_map> upstreams;  ///< Not null.

    bool operator==(const upstreams_changed&) const = default;
  };
  /// \brief What the configuration says of a service.
  struct service_traits {
    /// What its upstreams tolerate while they are cold; empty if there is no
    /// limit.
    std::optional<cold_limit> cold;
    /// All of its routes have one priority, so priorities cannot keep places
    /// free for a part of the requests.
    bool one_priority = false;
    /// Its upstreams differ in speed: the times of their responses are taken
    /// into account.
    bool learns_pace = false;

    bool operator==(const service_traits&) const = default;
  };
  /// \brief Replaces the traits of all services; others have none.
  struct services_changed {
    std::map<service_name, service_traits> traits;

    bool operator==(const services_changed&) const = default;
  };
  /// \brief A data centre gets requests again; its upstreams may be cold.
  struct evacuation_ended {
    data_centre_id data_centre;

    bool operator==(const evacuation_ended&) const = default;
  };
  struct load_reported {
    upstream_id upstream;
    upstream_load load;
    double fleet_gateways = 0;  ///< Estimated number of gateways; 0 if unknown.

    bool operator==(const load_reported&) const = default;
  };
  /// \brief A response told what the upstream states about itself.
  struct upstream_advised {
    upstream_entry upstream;  ///< As it was when the request was sent.
    upstream_advice advice;

    bool operator==(const upstream_advised&) const = default;
  };
  struct version_published {
    model_name model;
    std::uint64_t version = 0;
    time_point published_at;  ///< Not before.

    bool operator==(const version_published&) const = default;
  };
  /// \brief The platform responded to a watch.
  struct platform_responded {
    bool operator==(const platform_responded&) const = default;
  };
  using event = std::variant<tick,
                             submit,
                             cancel_waiting,
                             response_begun,
                             attempt_completed,
                             upstreams_changed,
                             services_changed,
                             evacuation_ended,
                             load_reported,
                             upstream_advised,
                             version_published,
                             platform_responded>;

  /// \brief Send the request to the upstream.
  struct start {
    dispatch_id id = 0;
    upstream_entry upstream;
    /// Version of the weights that the upstream serves; 0 if unknown.
    std::uint64_t version = 0;
    /// Time at which that version is superseded; the request must start before.
    std::optional<time_point> start_deadline;

    bool operator==(const start&) const = default;
  };
  /// \brief Return an error to the client; this attempt was not sent.
  struct refuse {
    dispatch_id id = 0;
    error_kind kind = error_kind::kOverloaded;
    duration retry_after = {};

    bool operator==(const refuse&) const = default;
  };
  /// \brief The statements of an upstream changed; for the log.
  struct advice_changed {
    upstream_id upstream;
    upstream_advice advice;

    bool operator==(const advice_changed&) const = default;
  };
  using action = std::variant<start, refuse, advice_changed>;

  dispatcher(placement_policy policy,
             version_targets targets,
             random_source random);

  std::vector<action> Handle(const event& event, time_point now);
  std::optional<time_point> NextDeadline() const;

  std::size_t waiting() const { return waiting_.size(); }
  /// \brief Whether superseded versions stay in use, because the platform does
  /// not respond.
  bool IsPlatformOutage(time_point now) const { return targets_.IsOutage(now); }

 private:
  enum class queue_class { kResubmittedOnTime, kOnTime, kLate };
  // Priority, class, virtual start time, id.
  using queue_key = std::tuple<int, queue_class, double, dispatch_id>;
  struct waiting_request {
    submit request;
    time_point expiry;  // refused or requeued as late if still queued then
    queue_key key;
  };
  struct service_queue {
    std::map<queue_key, dispatch_id> order;
    // Start-time fair queueing within each priority.
    std::map<int, double> virtual_time;
    std::map<std::pair<int, workspace_id>, double> finish_tags;
    // Predict the queueing delay of urgent and of background requests.
    decaying_rate start_rate;
    decaying_rate permit_rate;
    // Mean time from sending to the first part of the response, by urgency.
    std::map<int, duration> response_latencies;
    /// Moving average of the share of responses that begin too late.
    double late_share = 0;
    time_point overloaded_until;
    /// Mean time to the first part of a response of any urgency, or to the end
    /// of one without a stream; zero before the first.
    duration usual_response;
  };

  struct started_request {
    upstream_id upstream;
    service_name service;
    int urgency = 0;
    time_point sent;
    time_point response_due;
    bool begun = false;  // the response has
  };

  void On(const tick& event);
  void On(const submit& event);
  void On(const cancel_waiting& event);
  void On(const response_begun& event);
  void On(const attempt_completed& event);
  void On(const upstreams_changed& event);
  void On(const services_changed& event);
  void On(const evacuation_ended& event);
  void On(const load_reported& event);
  void On(const upstream_advised& event);
  void On(const version_published& event);
  void On(const platform_responded& event);

  /// \brief Learns from the time that a response took to begin.
  void RecordPace(const started_request& request);
  void Dispatch(const service_name& service);
  void DispatchAll();
  tracked_upstream* Choose(const submit& request);
  tracked_upstream* BestOfSample(std::vector<tracked_upstream*> group);
  bool IsEligible(const tracked_upstream& upstream,
                  const submit& request) const;
  /// \brief Whether the request may need an upstream that others behind it in
  /// the queue do not need.
  static bool IsSelective(const submit& request) {
    return !request.excluded.empty() || request.version ||
           request.regions.restricts();
  }
  region_id RegionOf(const upstream_entry& upstream) const;
  bool HasCapacity(const tracked_upstream& upstream,
                   const submit& request) const;
  /// \brief The limit that holds because the upstream is cold, or null.
  const cold_limit* ColdLimit(const tracked_upstream& upstream) const;
  /// \brief Plans the first request to a cold upstream without an agent at a
  /// random time, so that the gateways do not send together.
  void PlanColdSlot(const tracked_upstream& upstream);
  duration ColdPeriod(const tracked_upstream& upstream,
                      const cold_limit& limit) const;
  /// \brief Counts a request to an upstream that is cold.
  void CountColdRequest(tracked_upstream& upstream, const cold_limit& limit);
  /// \brief Number of gateways that send to the upstream.
  double GatewaysOf(const tracked_upstream& upstream) const;
  /// \brief Earliest time at which the statements of the upstream allow this
  /// gateway to send a request; not after `now_` if they do now.
  time_point OpenAt(const tracked_upstream& upstream) const;
  /// \brief The earliest of these times of all eligible upstreams; empty if
  /// none is eligible.
  std::optional<time_point> EarliestOpening(const submit& request) const;
  duration ExpectedDelay(const tracked_upstream& upstream) const;
  /// \brief Time by which the upstream is expected to respond later than others
  /// of its service; zero if the pace is not taken into account.
  duration PaceDelay(const tracked_upstream& upstream) const;
  bool LearnsPace(const service_name& service) const;
  int AllocatePermits(const tracked_upstream& upstream);
  /// \brief Whether the places of the service are shared by permits: all
  /// requests for its models have one priority, and it is overloaded.
  bool SharesPlaces(const service_name& service) const;
  bool SharesPlaces(const submit& request) const {
    return !request.model.empty() && SharesPlaces(request.service);
  }
  /// \brief Records whether a request began too late, or was rejected.
  void RecordPunctuality(const service_name& service, bool too_late);
  /// \brief Whether the request needs a permit for a place at an upstream with
  /// a fresh report: one of the places that are free there, divided among the
  /// gateways.
  bool NeedsPermit(const submit& request) const;
  double SlotOvercommit(const submit& request) const;
  bool IsBackground(const submit& request) const {
    return SlotOvercommit(request) < 0;
  }
  duration ResponseLatency(const service_queue& queue,
                           const submit& request) const;
  double QueueTimeFraction(const submit& request) const;
  duration LateQueueTime(const submit& request) const;
  void Enqueue(const submit& request, queue_class order, time_point expiry);
  /// \brief Time at which the request is refused if it is still queued; one
  /// that was resubmitted is queued once more as late before that.
  time_point LastExpiry(const waiting_request& waiting) const;
  void ExpireWait(dispatch_id id);
  void Refuse(dispatch_id id, error_kind kind);
  void Remove(dispatch_id id);
  std::optional<duration> QueueDelay(const service_queue& queue,
                                     const waiting_request& waiting) const;
  duration RetryAfter(const waiting_request& waiting);

  placement_policy policy_;
  version_targets targets_;
  random_source random_;
  std::map<upstream_id, tracked_upstream> upstreams_;
  upstream_restrictions restrictions_;
  std::map<service_name, service_traits> traits_;
  std::map<data_centre_id, time_point> evacuation_ends_;  // last of each
  /// Earliest times of the next requests to cold upstreams without an agent.
  std::map<upstream_id, time_point> cold_slots_;
  std::map<service_name, service_queue> queues_;
  std::map<dispatch_id, waiting_request> waiting_;
  std::set<std::pair<time_point, dispatch_id>> expiries_;
  std::map<dispatch_id, started_request> started_;
  held_maximum fleet_gateways_;
  time_point now_;
  std::vector<action> actions_;
};

static_assert(decision_core<dispatcher>);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PLACEMENT_DISPATCHER_H_
