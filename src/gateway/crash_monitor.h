#ifndef FIREFLYSLIP_GATEWAY_CRASH_MONITOR_H_
#define FIREFLYSLIP_GATEWAY_CRASH_MONITOR_H_

#include <cstdint>
#include <set>
#include <string_view>
#include <vector>

#include "fireflyslip/catalog.h"
#include "fireflyslip/retry.h"
#include "node/evidence_queue.h"
#include "node/load_report.h"

namespace fireflyslip {

/// \brief Feeds the attribution of crashes, to parts of prompts and to whole
/// requests, with the attempts of a gateway, the reports of the stagers and the
/// probes of upstreams, and selects the evidence to send to the stagers.
class crash_monitor {
 public:
  /// \param content fingerprint of the whole request.
  void AttemptStarted(std::uint64_t request,
                      const upstream_entry& upstream,
                      std::vector<prompt_part> parts,
                      request_fingerprint content);
  /// \brief The first part of the response has arrived.
  void AttemptBegun(std::uint64_t request, time_point now);
  /// \brief The upstream has outlived the request: it completed a response, or
  /// has gone on with one for a while.
  void AttemptSurvived(std::uint64_t request, time_point now);
  void AttemptEnded(std::uint64_t request, attempt_end end, time_point now);
  /// \brief The agent of the upstream reports whether the upstream responds.
  void OnReachability(const upstream_entry& upstream,
                      bool reachable,
                      time_point now);
  /// \brief The upstream has ended, which a probe or the platform's list of
  /// upstreams tells; services without agents have no other sign.
  void OnUpstreamGone(const upstream_entry& upstream,
                      std::string_view source,
                      time_point now);
  void OnNotice(const crash_notice& notice, time_point now);

  bool IsBlocked(const std::vector<prompt_part>& parts) const {
    return attribution_.IsBlocked(parts);
  }
  bool IsBlocked(request_fingerprint content) const {
    return requests_.blocked().contains(content);
  }
  /// \brief Whether upstreams crashed under the request before.
  bool IsSuspect(request_fingerprint content) const {
    return requests_.IsSuspect(content);
  }

  /// \brief Evidence about whole requests.
  struct request_notices {
    crash_notice repeated;  ///< For all stagers that the gateway follows.
    /// Requests with one crash. Each is for a few stagers, which put together
    /// what several gateways see of it.
    crash_notice single;
  };
  /// \brief What has changed since the last call; at most some of it.
  request_notices TakeRequestNotices(time_point now);
  /// \brief What has changed recently, to be sent once more.
  request_notices RecentRequestNotices(time_point now);

  /// \brief Evidence about parts of prompts that has changed, within the limit
  /// of bytes; the rest is returned by later calls.
  crash_notice TakeNotice(time_point now);
  /// \brief The same with what has changed recently, which is sent once more,
  /// because datagrams may be lost.
  crash_notice RecentNotice(time_point now);

 private:
  void LogBlocked(time_point now);
  /// \brief Takes what blocked requests explain out of the evidence against
  /// parts, and logs changes.
  void UpdateRequests(time_point now);
  request_notices RequestNoticesSince(time_point since, time_point now);

  crash_attribution attribution_;
  crash_attribution requests_{RequestCrashPolicy()};
  std::set<request_fingerprint> logged_requests_;
  time_point requests_taken_at_;
  evidence_queue part_queue_{kPartEvidenceBytesPerSecond};
  evidence_queue request_queue_{kRequestEvidenceBytesPerSecond};
  evidence_queue single_queue_{kSingleEvidenceBytesPerSecond};
  std::set<upstream_id> unreachable_;
  // Blocked parts and combinations of parts.
  std::set<std::set<prompt_part>> logged_;
  time_point taken_at_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_GATEWAY_CRASH_MONITOR_H_
