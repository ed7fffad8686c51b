#include "gateway/crash_monitor.h"

#include <string>
#include <utility>

#include "fireflyslip/runtime.h"

namespace fireflyslip {

void crash_monitor::AttemptStarted(std::uint64_t request,
                                   const upstream_entry& upstream,
                                   std::vector<prompt_part> parts) {
  attribution_.AttemptStarted(
      request, CrashOf(upstream.id, upstream.started_ms), std::move(parts));
}

void crash_monitor::AttemptBegun(std::uint64_t request, time_point now) {
  attribution_.AttemptBegun(request, now);
  LogBlocked();
}

void crash_monitor::AttemptEnded(std::uint64_t request,
                                 bool interrupted,
                                 time_point now) {
  attribution_.AttemptEnded(request, interrupted, now);
  LogBlocked();
}

void crash_monitor::OnReachability(const upstream_entry& upstream,
                                   bool reachable,
                                   time_point now) {
  if (reachable) {
    unreachable_.erase(upstream.id);
  } else if (unreachable_.insert(upstream.id).second) {
    attribution_.UpstreamLost(CrashOf(upstream.id, upstream.started_ms), now);
    LogBlocked();
  }
}

void crash_monitor::OnNotice(const crash_notice& notice, time_point now) {
  if (attribution_.Merge(notice.evidence, now)) {
    LogBlocked();
  }
}

crash_notice crash_monitor::TakeNotice(time_point now) {
  attribution_.Expire(now);
  LogBlocked();
  crash_notice notice{attribution_.ChangedSince(taken_at_, now)};
  taken_at_ = now;
  return notice;
}

crash_notice crash_monitor::RecentNotice(time_point now) const {
  return {attribution_.ChangedSince(now - kEvidenceRepeatTime, now)};
}

void crash_monitor::LogBlocked() {
  if (attribution_.blocked() == logged_) {
    return;
  }
  for (const prompt_part part : attribution_.blocked()) {
    if (!logged_.contains(part)) {
      LogLine("event=prompt_part_blocked reason=crashes part=" +
              std::to_string(part));
    }
  }
  for (const prompt_part part : logged_) {
    if (!attribution_.blocked().contains(part)) {
      LogLine("event=prompt_part_unblocked part=" + std::to_string(part));
    }
  }
  logged_ = attribution_.blocked();
}

}  // namespace fireflyslip
