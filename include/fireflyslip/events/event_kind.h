#ifndef FIREFLYSLIP_EVENTS_EVENT_KIND_H_
#define FIREFLYSLIP_EVENTS_EVENT_KIND_H_

#include <optional>
#include <string_view>

namespace fireflyslip {

/// \brief All kinds of events that a process records.
enum class event_kind {
  kProcessStarted,
  kProcessReady,
  kProcessDraining,
  kProcessStopped,
  kProcessPaused,
  kPlatformLost,
  kPlatformReached,
  kConfigurationPublished,
  kConfigurationRejected,
  kMemberChanged,
  kLinkOpened,
  kLinkClosed,
  kRequestReceived,
  kRequestAdmitted,
  kRequestRefused,
  kRequestAnswered,
  kAttemptSent,
  kAttemptReceived,
  kAttemptRefused,
  kAttemptQueued,
  kAttemptStarted,
  kAttemptEnded,
  kAttemptCancelled,
  kAttemptPreempted,
  kAttemptResumed,
  kAttemptDropped,
  kFateQueried,
  kRetryScheduled,
  kHedgeSent,
  kAnswerDropped,
  kCrashRecorded,
  kShareLent,
  kShareReclaimed,
  kJournalTakenOver,
  kJournalFenced,
  kClaimWritten,
  kClaimDuplicate,
  kClaimUnknown,
  kChunkFetched,
  kChunkRejected,
  kSourceDropped,
  kVersionComplete,
  kRolloutStarted,
  kRolloutStopped,
  kVersionServed,
  kOrderSent,
  kOrderAccepted,
  kOrderRefused,
  kUpstreamFailed,
  kUpstreamRecovered,
};

/// \brief Stable name of a kind, in snake case without the `k`.
std::string_view ToString(event_kind kind);

/// \brief Parses the stable name of a kind.
std::optional<event_kind> ParseEventKind(std::string_view name);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_EVENTS_EVENT_KIND_H_
