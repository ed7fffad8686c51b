#include "fireflyslip/events/event_kind.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

namespace fireflyslip {
namespace {

using enum event_kind;

constexpr std::array<std::pair<event_kind, std::string_view>, 50> kNames = {{
    {kProcessStarted, "process_started"},
    {kProcessReady, "process_ready"},
    {kProcessDraining, "process_draining"},
    {kProcessStopped, "process_stopped"},
    {kProcessPaused, "process_paused"},
    {kPlatformLost, "platform_lost"},
    {kPlatformReached, "platform_reached"},
    {kConfigurationPublished, "configuration_published"},
    {kConfigurationRejected, "configuration_rejected"},
    {kMemberChanged, "member_changed"},
    {kLinkOpened, "link_opened"},
    {kLinkClosed, "link_closed"},
    {kRequestReceived, "request_received"},
    {kRequestAdmitted, "request_admitted"},
    {kRequestRefused, "request_refused"},
    {kRequestAnswered, "request_answered"},
    {kAttemptSent, "attempt_sent"},
    {kAttemptReceived, "attempt_received"},
    {kAttemptRefused, "attempt_refused"},
    {kAttemptQueued, "attempt_queued"},
    {kAttemptStarted, "attempt_started"},
    {kAttemptEnded, "attempt_ended"},
    {kAttemptCancelled, "attempt_cancelled"},
    {kAttemptPreempted, "attempt_preempted"},
    {kAttemptResumed, "attempt_resumed"},
    {kAttemptDropped, "attempt_dropped"},
    {kFateQueried, "fate_queried"},
    {kRetryScheduled, "retry_scheduled"},
    {kHedgeSent, "hedge_sent"},
    {kAnswerDropped, "answer_dropped"},
    {kCrashRecorded, "crash_recorded"},
    {kShareLent, "share_lent"},
    {kShareReclaimed, "share_reclaimed"},
    {kJournalTakenOver, "journal_taken_over"},
    {kJournalFenced, "journal_fenced"},
    {kClaimWritten, "claim_written"},
    {kClaimDuplicate, "claim_duplicate"},
    {kClaimUnknown, "claim_unknown"},
    {kChunkFetched, "chunk_fetched"},
    {kChunkRejected, "chunk_rejected"},
    {kSourceDropped, "source_dropped"},
    {kVersionComplete, "version_complete"},
    {kRolloutStarted, "rollout_started"},
    {kRolloutStopped, "rollout_stopped"},
    {kVersionServed, "version_served"},
    {kOrderSent, "order_sent"},
    {kOrderAccepted, "order_accepted"},
    {kOrderRefused, "order_refused"},
    {kUpstreamFailed, "upstream_failed"},
    {kUpstreamRecovered, "upstream_recovered"},
}};

}  // namespace

std::string_view ToString(event_kind kind) {
  const auto* found =
      std::find_if(kNames.begin(), kNames.end(),
                   [kind](const auto& row) { return row.first == kind; });
  assert(found != kNames.end());
  return found->second;
}

std::optional<event_kind> ParseEventKind(std::string_view name) {
  const auto* found =
      std::find_if(kNames.begin(), kNames.end(),
                   [name](const auto& row) { return row.second == name; });
  if (found == kNames.end()) {
    return std::nullopt;
  }
  return found->first;
}

}  // namespace fireflyslip
