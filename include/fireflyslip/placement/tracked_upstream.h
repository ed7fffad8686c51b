#ifndef FIREFLYSLIP_PLACEMENT_TRACKED_UPSTREAM_H_
#define FIREFLYSLIP_PLACEMENT_TRACKED_UPSTREAM_H_

#include <cstdint>
#include <map>
#include <optional>

#include "fireflyslip/catalog/upstream_entry.h"
#include "fireflyslip/core/ids.h"
#include "fireflyslip/core/time.h"
#include "fireflyslip/placement/placement_policy.h"
#include "fireflyslip/placement/upstream_health.h"
#include "fireflyslip/placement/upstream_load.h"

namespace fireflyslip {

/// \brief Number of a request within one entry.
using dispatch_id = std::uint64_t;

/// \brief How an attempt at an upstream ended.
enum class attempt_status {
  kSucceeded,
  kFailed,       ///< The upstream failed, or its answer was broken.
  kRefused,      ///< The upstream stated that it did not run the request.
  kUnreachable,  ///< No connection, or silence.
  kAbandoned,    ///< Ended by the entry; says nothing about the upstream.
};

/// \brief What one entry knows of an upstream: its entry in the list, its
/// newest load report, and the requests that this entry has sent to it.
class tracked_upstream {
 public:
  /// \brief Takes over the list's entry; another incarnation at the same id
  /// begins without history.
  void Update(const upstream_entry& entry);

  void Send(dispatch_id id, duration prefill_time, time_point now);
  /// \brief The answer has begun: the prompt has been read.
  void Begin(dispatch_id id);
  void End(dispatch_id id, attempt_status status, time_point now);
  void Report(const upstream_load& load, time_point now);

  bool HasFreshLoad(const placement_policy& policy, time_point now) const;
  /// \brief Requests at the upstream, as far as this entry can know.
  double ExpectedLoad(const placement_policy& policy, time_point now) const;
  /// \brief Time until a request that is sent now begins, without penalties
  /// for the way.
  duration ExpectedWait(const placement_policy& policy, time_point now) const;
  /// \brief Version of the weights that it serves; 0 if unknown.
  std::uint64_t VersionOf(const model_name& model,
                          const placement_policy& policy,
                          time_point now) const;

  const upstream_entry& entry() const { return entry_; }
  const upstream_health& health() const { return health_; }
  const std::optional<upstream_load>& load() const { return load_; }
  bool is_idle() const { return in_flight_.empty(); }

  /// \brief Places of this entry for background requests until the next report.
  int permits() const { return permits_; }
  void set_permits(int permits) { permits_ = permits; }

 private:
  struct sent_request {
    time_point sent;
    duration prefill_time = {};  // zero once the answer has begun
  };

  upstream_entry entry_;
  upstream_health health_;
  std::map<dispatch_id, sent_request> in_flight_;
  duration reading_ = {};  // sum of the read times in flight
  std::optional<upstream_load> load_;
  time_point load_at_;
  double ended_since_load_ = 0;
  int permits_ = 0;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PLACEMENT_TRACKED_UPSTREAM_H_
