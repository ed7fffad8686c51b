#ifndef FIREFLYSLIP_PLACEMENT_PLACEMENT_POLICY_H_
#define FIREFLYSLIP_PLACEMENT_PLACEMENT_POLICY_H_

#include <array>
#include <cstddef>

#include "fireflyslip/core/ids.h"
#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Constants of placement.
struct placement_policy {
  data_centre_id data_centre;  ///< Where the entry runs.

  /// Requests that may be at a replica beyond its slots, by urgency; the last
  /// one holds for all further ones. A negative number leaves slots free, so
  /// that more urgent requests need not wait for one.
  std::array<double, 3> queue_allowance = {4, 1, -3};
  /// The same for upstreams without an engine; a few keep them busy.
  double plain_allowance = 4;
  /// Upstreams of the own data centre, and of the others, that are compared.
  /// Entries that compare all of them send to the same one until the next
  /// report, and it then reads their prompts in one long pass.
  std::size_t choices = 2;

  /// A load report older than this is not used. Reports come every 100 ms;
  /// a few may be lost.
  duration report_lifetime = milliseconds(700);
  /// Without a report, the own requests at an upstream count this many times,
  /// for those of the other entries.
  double unseen_factor = 4;

  /// Added to the expected wait at an upstream of another data centre, for the
  /// bytes that cross and the longer way.
  duration remote_penalty = milliseconds(15);
  /// Expected wait of each running request that a new one shares the batch
  /// with: the share of its prompt in the passes of the engine.
  duration wait_per_active = milliseconds(4);
  /// Expected wait for each request beyond the slots: a full batch of 16 ends
  /// about 8 requests a second.
  duration wait_per_queued = milliseconds(120);
  /// Added for an upstream whose reports have stopped; it may be cut off.
  duration silence_penalty = milliseconds(250);

  /// Assumed time from the send of a request to the first part of its answer,
  /// until answers have told it.
  duration begin_time = milliseconds(150);
  /// Part of the time until its latest send for which a request waits. Its
  /// client may have been refused before, so that less is left than it seems,
  /// and one that is refused early can still be in time when it returns.
  double wait_share = 0.4;
  /// Time for which a request waits whose answer will be late.
  duration late_wait = milliseconds(500);

  /// Time for which a request may wait at a replica before it begins.
  duration begin_reserve = milliseconds(700);

  /// No request is sent over a way that takes longer: its client might have
  /// left when it arrives.
  duration longest_path_delay = milliseconds(300);

  /// Part of the time for which a request would have waited, after which it
  /// returns if it is refused at once.
  double retry_share = 0.5;
  /// Bounds of the delay after which a late caller returns.
  duration min_retry_after = milliseconds(250);
  duration max_retry_after = milliseconds(1500);
  /// Spread of both delays, so that callers do not return together.
  double retry_after_spread = 0.3;

  bool operator==(const placement_policy&) const = default;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PLACEMENT_PLACEMENT_POLICY_H_
