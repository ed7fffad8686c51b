#ifndef FIREFLYSLIP_PLACEMENT_TRACKED_UPSTREAM_H_
#define FIREFLYSLIP_PLACEMENT_TRACKED_UPSTREAM_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>

#include "fireflyslip/catalog/upstream_entry.h"
#include "fireflyslip/core/ids.h"
#include "fireflyslip/core/time.h"
#include "fireflyslip/placement/held_maximum.h"
#include "fireflyslip/placement/placement_policy.h"
#include "fireflyslip/placement/response_pace.h"
#include "fireflyslip/placement/upstream_health.h"
#include "fireflyslip/placement/upstream_load.h"

namespace fireflyslip {

/// \brief Identifies a request within one gateway.
using dispatch_id = std::uint64_t;

/// \brief How an attempt at an upstream ended.
enum class attempt_status {
  kSucceeded,
  kFailed,       ///< The upstream failed, or its response was malformed.
  kRefused,      ///< The upstream stated that it did not run the request.
  kUnreachable,  ///< No connection, or a timeout.
  kAbandoned,    ///< Ended by the gateway; no evidence about the upstream.
};

/// \brief State of an upstream as one gateway sees it: its registry entry, its
/// latest load report, and the requests of this gateway in flight.
class tracked_upstream {
 public:
  /// \brief Replaces the registry entry. A new incarnation with the same id
  /// starts without history.
  void Update(const upstream_entry& entry, time_point now);

  void Send(dispatch_id id, duration prefill_time, time_point now);
  /// \brief Records that the response has started, and the prefill is complete.
  void MarkResponseBegun(dispatch_id id);
  /// \brief Records the time that a response took to begin.
  void RecordPace(duration time, duration usual, time_point now) {
    pace_.Record(time, usual, now);
  }
  /// \brief How much longer than usual a response takes to begin; at least 1. A
  /// request that still waits counts with the time that it has waited.
  double Slowness(duration usual, time_point now) const;
  void Complete(dispatch_id id, attempt_status status, time_point now);
  void Report(const upstream_load& load, time_point now);

  bool HasFreshLoad(const placement_policy& policy, time_point now) const;
  /// \brief Estimated number of requests at the upstream.
  double ExpectedLoad(const placement_policy& policy, time_point now) const;
  /// \brief Estimated time until a request sent now starts, without network
  /// delay.
  duration ExpectedWait(const placement_policy& policy, time_point now) const;
  /// \brief Version of the weights that the upstream serves; 0 if unknown.
  std::uint64_t VersionOf(const model_name& model,
                          const placement_policy& policy,
                          time_point now) const;

  /// \brief Notes that the upstream is cold until a time.
  void SetCold(time_point until) { cold_until_ = std::max(cold_until_, until); }
  /// \brief Time until which the upstream is known to be cold.
  time_point cold_until() const { return cold_until_; }
  /// \brief Requests that this gateway may still send until the next load
  /// report while the upstream is cold.
  std::uint32_t cold_permits() const { return load_ ? load_->cold_permits : 0; }
  void UseColdPermit() { load_->cold_permits -= 1; }

  const upstream_entry& entry() const { return entry_; }
  const upstream_health& health() const { return health_; }
  const std::optional<upstream_load>& load() const { return load_; }
  /// \brief Gateways that receive reports of the upstream; 0 if unknown.
  double gateways() const { return gateways_.value(); }
  bool is_idle() const { return in_flight_.empty(); }

  /// \brief Requests with a permit that this gateway may still send until the
  /// next load report.
  int permits() const { return permits_; }
  void set_permits(int permits) { permits_ = permits; }

 private:
  struct sent_request {
    time_point sent;
    duration prefill_time = {};  // zero once the response has started
    bool begun = false;          // the response has
  };

  upstream_entry entry_;
  upstream_health health_;
  response_pace pace_;
  std::map<dispatch_id, sent_request> in_flight_;
  duration pending_prefill_ = {};  // sum of the prefill times in flight
  std::optional<upstream_load> load_;
  time_point load_at_;
  held_maximum gateways_{0};
  double ended_since_load_ = 0;
  int permits_ = 0;
  time_point cold_until_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PLACEMENT_TRACKED_UPSTREAM_H_
