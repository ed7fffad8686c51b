#ifndef FIREFLYSLIP_NODE_EVIDENCE_QUEUE_H_
#define FIREFLYSLIP_NODE_EVIDENCE_QUEUE_H_

#include <cstddef>
#include <optional>
#include <set>
#include <vector>

#include "fireflyslip/core/time.h"
#include "fireflyslip/retry/crash_attribution.h"

namespace fireflyslip {

/// \brief Evidence of crashes that waits to be sent to all receivers of a
/// process, within a limit of bytes.
///
/// Load pattern: many upstreams crash in series, and each crash changes what is
/// known of many parts of prompts, at all gateways and stagers. Without a limit
/// they fill the links that answers need. What was at the most crashes goes
/// first, as it is what may be blocked.
class evidence_queue {
 public:
  /// \param bytes_per_second limit for each receiver. Three seconds of it may
  /// be sent at once.
  explicit evidence_queue(double bytes_per_second)
      : bytes_per_second_(bytes_per_second) {}

  void Add(const std::vector<crash_evidence>& changed);

  /// \brief Removes and returns what may be sent now, as it is known now.
  std::vector<crash_evidence> Take(const crash_attribution& known,
                                   time_point now);

  bool empty() const { return pending_.empty(); }

 private:
  static constexpr double kBurstSeconds = 3;

  double bytes_per_second_;
  double available_ = 0;  // bytes
  std::optional<time_point> refilled_at_;
  std::set<prompt_part> pending_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_NODE_EVIDENCE_QUEUE_H_
