#include "gateway/crash_monitor.h"

#include <string>
#include <utility>

#include "fireflyslip/runtime.h"

namespace fireflyslip {

namespace {

/// Crashes that count against a part, as `EVENT:CRASH@AGE_MS`, without spaces.
std::string CrashList(
    const std::vector<crash_attribution::counted_crash>& crashes) {
  std::string list;
  for (const crash_attribution::counted_crash& item : crashes) {
    list += list.empty() ? "" : ",";
    list += std::to_string(item.event) + ":" + std::to_string(item.crash) +
            "@" + std::to_string(item.age / milliseconds(1));
  }
  return list;
}

/// Parts of which only requests with all of them are blocked, joined by `+`.
std::string PartList(const std::set<prompt_part>& parts) {
  std::string list;
  for (const prompt_part part : parts) {
    list += (list.empty() ? "" : "+") + std::to_string(part);
  }
  return list;
}

}  // namespace

void crash_monitor::AttemptStarted(std::uint64_t request,
                                   const upstream_entry& upstream,
                                   std::vector<prompt_part> parts,
                                   request_fingerprint content) {
  const crash_id incarnation = CrashOf(upstream.id, upstream.started_ms);
  attribution_.AttemptStarted(request, incarnation, std::move(parts));
  requests_.AttemptStarted(request, incarnation, {content});
}

void crash_monitor::AttemptBegun(std::uint64_t request, time_point now) {
  attribution_.AttemptBegun(request, now);
  LogBlocked(now);
}

void crash_monitor::AttemptSurvived(std::uint64_t request, time_point now) {
  requests_.AttemptBegun(request, now);
  UpdateRequests(now);
}

void crash_monitor::AttemptEnded(std::uint64_t request,
                                 attempt_end end,
                                 time_point now) {
  // The agent beside an engine tells whether it crashed, but not which request
  // it was about to begin when it fell silent.
  attribution_.AttemptEnded(
      request, end == attempt_end::kSilent ? attempt_end::kResponse : end, now);
  LogBlocked(now);
  requests_.AttemptEnded(request, end, now);
  UpdateRequests(now);
}

void crash_monitor::OnReachability(const upstream_entry& upstream,
                                   bool reachable,
                                   time_point now) {
  if (reachable) {
    unreachable_.erase(upstream.id);
  } else if (unreachable_.insert(upstream.id).second) {
    const crash_id crash = CrashOf(upstream.id, upstream.started_ms);
    LogLine("event=upstream_crashed upstream=" + upstream.id.value() +
            " crash=" + std::to_string(crash));
    attribution_.UpstreamLost(crash, now);
    LogBlocked(now);
    requests_.UpstreamLost(crash, now);
    UpdateRequests(now);
  }
}

void crash_monitor::OnUpstreamGone(const upstream_entry& upstream,
                                   std::string_view source,
                                   time_point now) {
  const crash_id crash = CrashOf(upstream.id, upstream.started_ms);
  LogLine("event=upstream_gone source=" + std::string(source) + " upstream=" +
          upstream.id.value() + " crash=" + std::to_string(crash));
  requests_.UpstreamLost(crash, now);
  UpdateRequests(now);
}

void crash_monitor::OnNotice(const crash_notice& notice, time_point now) {
  if (notice.whole_requests) {
    if (requests_.Merge(notice.evidence, now)) {
      UpdateRequests(now);
    }
  } else if (attribution_.Merge(notice.evidence, now)) {
    LogBlocked(now);
  }
}

crash_monitor::request_notices crash_monitor::TakeRequestNotices(
    time_point now) {
  requests_.Expire(now);
  UpdateRequests(now);
  request_notices notices = RequestNoticesSince(requests_taken_at_, now);
  requests_taken_at_ = now;
  return notices;
}

crash_monitor::request_notices crash_monitor::RecentRequestNotices(
    time_point now) {
  return RequestNoticesSince(now - kEvidenceRepeatTime, now);
}

crash_monitor::request_notices crash_monitor::RequestNoticesSince(
    time_point since,
    time_point now) {
  request_queue_.Add(RepeatedCrashes(requests_, since, now));
  std::vector<crash_evidence> single = requests_.ChangedSince(since, now);
  std::erase_if(single, IsRepeated);
  single_queue_.Add(single);
  request_notices notices;
  notices.repeated = {request_queue_.Take(requests_, now),
                      /*whole_requests=*/true};
  notices.single = {single_queue_.Take(requests_, now),
                    /*whole_requests=*/true};
  return notices;
}

crash_notice crash_monitor::TakeNotice(time_point now) {
  attribution_.Expire(now);
  LogBlocked(now);
  part_queue_.Add(attribution_.ChangedSince(taken_at_, now));
  taken_at_ = now;
  return {part_queue_.Take(attribution_, now)};
}

crash_notice crash_monitor::RecentNotice(time_point now) {
  part_queue_.Add(attribution_.ChangedSince(now - kEvidenceRepeatTime, now));
  return {part_queue_.Take(attribution_, now)};
}

void crash_monitor::UpdateRequests(time_point now) {
  // A sound request may share all parts of its prompt with one that crashes
  // upstreams.
  attribution_.SetExplained(requests_.CrashesOfBlocked());
  LogBlocked(now);
  if (requests_.blocked() == logged_requests_) {
    return;
  }
  for (const request_fingerprint content : requests_.blocked()) {
    if (!logged_requests_.contains(content)) {
      LogLine("event=request_blocked reason=crashes content=" +
              std::to_string(content) +
              " crashes=" + CrashList(requests_.CountedCrashes(content, now)));
    }
  }
  for (const request_fingerprint content : logged_requests_) {
    if (!requests_.blocked().contains(content)) {
      LogLine("event=request_unblocked content=" + std::to_string(content));
    }
  }
  logged_requests_ = requests_.blocked();
}

void crash_monitor::LogBlocked(time_point now) {
  std::set<std::set<prompt_part>> blocked = attribution_.blocked_combinations();
  for (const prompt_part part : attribution_.blocked()) {
    blocked.insert({part});
  }
  if (blocked == logged_) {
    return;
  }
  for (const std::set<prompt_part>& parts : blocked) {
    if (logged_.contains(parts)) {
      continue;
    }
    std::string line = "event=prompt_part_blocked reason=crashes part=";
    line += PartList(parts);
    for (const prompt_part part : parts) {
      line += " crashes=" + CrashList(attribution_.CountedCrashes(part, now));
    }
    LogLine(line);
  }
  for (const std::set<prompt_part>& parts : logged_) {
    if (!blocked.contains(parts)) {
      LogLine("event=prompt_part_unblocked part=" + PartList(parts));
    }
  }
  logged_ = std::move(blocked);
}

}  // namespace fireflyslip
