#ifndef FIREFLYSLIP_PLACEMENT_PLACEMENT_POLICY_H_
#define FIREFLYSLIP_PLACEMENT_PLACEMENT_POLICY_H_

#include <array>
#include <cstddef>
#include <map>

#include "fireflyslip/core/ids.h"
#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Parameters of the dispatcher.
struct placement_policy {
  data_centre_id data_centre;  ///< Data centre of the gateway.
  /// Region of each data centre; one that is missing is a region of its own
  /// name.
  std::map<data_centre_id, region_id> regions = {};

  /// Requests that may be sent to a replica beyond its slots, by urgency; the
  /// last value applies to all lower urgencies. A negative value reserves
  /// slots, so that more urgent requests need not wait for one.
  std::array<double, 3> slot_overcommit = {4, 1, -3};
  /// The same for models whose routes all have one priority. A queued request
  /// keeps a slot from being idle until the next report.
  double shared_slot_overcommit = 1;
  /// The same as `slot_overcommit` for upstreams without an engine; a few
  /// queued requests keep them busy.
  double plain_slot_overcommit = 4;
  /// Upstreams that are sampled in the local data centre, and as many in the
  /// remote ones. Gateways that compare all upstreams send to the same one
  /// until the next report, and it then processes their prompts in one long
  /// prefill pass.
  std::size_t choices = 2;

  /// Age up to which a load report is used. Reports are sent every 100 ms, and
  /// a few may be lost.
  duration report_lifetime = milliseconds(700);
  /// Factor on the gateway's own requests at an upstream without a fresh
  /// report, to account for the requests of other gateways.
  double unreported_load_factor = 4;

  /// Assumed number of gateways until it is estimated. Each gateway takes its
  /// part of a rate limit that an upstream states.
  double initial_gateways = 16;

  /// Added to the expected delay of an upstream in another data centre, for
  /// the traffic between data centres and the longer path.
  duration remote_penalty = milliseconds(15);
  /// Expected wait per running request in the batch that a new request joins:
  /// the share of that request's prompt in the passes of the engine.
  duration wait_per_active = milliseconds(4);
  /// Expected wait per request beyond the slots. A full batch of 16 completes
  /// about 8 requests per second.
  duration wait_per_queued = milliseconds(120);
  /// Added for an upstream whose reports have stopped, because it may be
  /// unreachable.
  duration stale_report_penalty = milliseconds(250);

  /// Initial estimate of the time from sending a request to the first part of
  /// its response, until responses have been measured.
  duration initial_response_latency = milliseconds(150);
  /// Fraction of the time until its latest useful start for which a request is
  /// queued. Its client may have been refused before, which leaves less time
  /// than is known here, and a request that is refused early can still meet
  /// its deadline on a retry.
  double queue_time_fraction = 0.4;
  /// Time for which a request that will miss its response deadline is queued.
  duration late_queue_time = milliseconds(500);
  /// The same for models whose routes all have one priority, where late
  /// requests would take the places of others: they may wait for the next
  /// report only.
  double shared_queue_time_fraction = 0.8;
  duration shared_late_queue_time = milliseconds(100);
  /// Share of responses that begin too late, or requests that replicas reject,
  /// from which such a model counts as overloaded, for the hold time at least.
  double overload_late_share = 0.5;
  duration overload_hold_time = seconds(3);

  /// Time for which a request may wait at a replica before it starts.
  duration max_replica_wait = milliseconds(700);

  /// Round-trip time above which an upstream gets no requests: the client might
  /// have disconnected before the request arrives.
  duration max_round_trip_time = milliseconds(300);

  /// Retry delay of a request that is refused at once, as a fraction of the
  /// time for which it would have been queued.
  double retry_after_fraction = 0.5;
  /// Bounds of the retry delay of late requests.
  duration min_retry_after = milliseconds(250);
  duration max_retry_after = milliseconds(1500);
  /// Relative jitter of both delays, so that clients do not retry in step.
  double retry_after_jitter = 0.3;

  bool operator==(const placement_policy&) const = default;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PLACEMENT_PLACEMENT_POLICY_H_
