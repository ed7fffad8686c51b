#ifndef FIREFLYSLIP_RETRY_CRASH_ATTRIBUTION_H_
#define FIREFLYSLIP_RETRY_CRASH_ATTRIBUTION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "fireflyslip/core/ids.h"
#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Hash of the id of a part of a prompt that requests may share, or of
/// the content of a whole request.
using prompt_part = std::uint64_t;

/// \brief Identifies one crash: a hash of the upstream and its incarnation.
using crash_id = std::uint64_t;

/// \brief Returns the crash that ends this incarnation of the upstream.
crash_id CrashOf(const upstream_id& upstream, std::uint64_t started_ms);

/// Companions that are kept of a part at one crash.
inline constexpr std::size_t kMaxCompanions = 6;

/// \brief One crash as evidence against one part.
struct crash_sighting {
  bool cleared = false;  ///< A request with the part has begun since.
  duration age = {};     ///< Time since the crash, when it was sent.
  /// Parts that were in one of these requests together with the part; of many,
  /// the lowest `kMaxCompanions`. In order.
  std::vector<prompt_part> companions = {};

  bool operator==(const crash_sighting&) const = default;
};

/// \brief What is known of one part. Evidence of several gateways is merged by
/// union, in any order and any number of times.
struct crash_evidence {
  prompt_part part = 0;
  /// A request with the part has begun its response before the first crash.
  bool begun_before = false;
  /// Crashes at which a request with the part was about to begin its response.
  std::map<crash_id, crash_sighting> crashes;
  /// Time since its latest change at any gateway, when it was sent.
  duration age = {};

  bool operator==(const crash_evidence&) const = default;
};

/// \brief Whether a part was at two crashes that are no single event.
bool IsRepeated(const crash_evidence& evidence);

/// \brief The items with the most crashes, and the newest of these.
std::vector<crash_evidence> Strongest(std::vector<crash_evidence> evidence,
                                      std::size_t count);

/// \brief How an attempt ended, as far as it tells of a crash.
enum class attempt_end {
  kResponse,     ///< The upstream responded, or the attempt was given up.
  kInterrupted,  ///< The upstream closed the connection.
  kSilent,       ///< No response came in time.
};

/// \brief Evidence that is needed to block a part.
struct crash_policy {
  /// Events without a request that began since, for a part that has never been
  /// answered, which is more likely to be the cause, and for others.
  std::size_t blocking_events = 2;
  std::size_t blocking_events_if_begun_before = 3;
  /// Upper bound where upstreams also crash for other reasons.
  std::size_t max_blocking_events = 8;
  /// Events from which several equally suspected parts, or combinations of
  /// parts, are blocked.
  std::size_t ambiguous_blocking_events = 3;
  /// Time for which evidence is kept after its last change.
  duration lifetime = std::chrono::minutes(2);
  /// Maximum number of parts with evidence.
  std::size_t max_parts = 256;
  /// Longest time between the end of an attempt at a crashed upstream and the
  /// report of the crash, in either order.
  duration report_delay = milliseconds(1500);

  auto operator<=>(const crash_policy&) const = default;
};

/// \brief Policy for whole requests. Each has a content of its own, so more
/// crashes are needed to tell it from what runs beside it.
crash_policy RequestCrashPolicy();

/// \brief Attributes crashes of upstreams to parts of the prompts that were
/// about to be answered there, and blocks requests with such a part.
///
/// Load pattern: one part of a prompt crashes each upstream that begins to
/// respond to it. No two requests with it are alike, and sound requests share
/// all of their other parts. A request that has begun its response is not the
/// cause of a crash, and each response that begins clears the parts of its
/// request. A crash that a blocked part explains does not count against others.
///
/// Parts that were together in the requests at the same events cannot be told
/// apart. They are blocked as a combination: requests that hold all of them are
/// blocked, and those with some of them are not. These either begin, which
/// clears the sound parts, or crash upstreams, which tells the cause.
///
/// Only independent crashes count. Upstreams that crash at the same time have a
/// common cause, and a part that many requests share is waiting at all of them,
/// so crashes within a short time are one event, which counts against a part
/// that was at most of them. All crashes that one request meets, because it is
/// retried, belong to the event of the first one. The cause is at each event
/// that has no other reason, so events without a part count in its favour.
///
/// The owner exchanges the evidence with other gateways, since each one sees
/// only its own requests.
class crash_attribution {
 public:
  explicit crash_attribution(crash_policy policy = {});

  // Requests of this gateway. An attempt is identified by its request.
  void AttemptStarted(std::uint64_t request,
                      crash_id incarnation,
                      std::vector<prompt_part> parts);
  /// \brief The first part of the response has arrived.
  void AttemptBegun(std::uint64_t request, time_point now);
  void AttemptEnded(std::uint64_t request, attempt_end end, time_point now);
  /// \brief The upstream has stopped responding to the agent on its own VM, or
  /// is otherwise known to have ended.
  void UpstreamLost(crash_id incarnation, time_point now);

  /// \brief Adds evidence of another gateway; returns whether it was new.
  bool Merge(const std::vector<crash_evidence>& evidence, time_point now);

  /// \brief Removes evidence whose lifetime is over. Must be called now and
  /// then, because blocked requests cause no other event.
  void Expire(time_point now);

  /// \brief Sets the crashes that have another cause, which do not count
  /// against parts.
  void SetExplained(std::set<crash_id> crashes);

  /// \brief Crashes of all blocked parts.
  std::set<crash_id> CrashesOfBlocked() const;

  /// \brief Evidence that this process learned or changed later than `since`.
  std::vector<crash_evidence> ChangedSince(time_point since,
                                           time_point now) const;

  bool IsBlocked(const std::vector<prompt_part>& parts) const;
  /// \brief Whether the part was at a crash and has not begun since.
  bool IsSuspect(prompt_part part) const;

  /// \brief Crash that counts against a part, for the log.
  struct counted_crash {
    crash_id crash = 0;
    std::size_t event = 0;  ///< Crashes of one event have the same number.
    duration age = {};

    bool operator==(const counted_crash&) const = default;
  };
  /// \brief Crashes without a response since, in order of time.
  std::vector<counted_crash> CountedCrashes(prompt_part part,
                                            time_point now) const;
  const std::set<prompt_part>& blocked() const { return blocked_; }
  /// \brief Parts of which only requests with all of them are blocked.
  const std::set<std::set<prompt_part>>& blocked_combinations() const {
    return blocked_combinations_;
  }
  std::size_t size() const { return records_.size(); }

 private:
  struct attempt {
    crash_id incarnation = 0;
    std::vector<prompt_part> parts;
    bool begun = false;
  };
  struct interrupted_attempt {
    std::uint64_t request = 0;
    crash_id incarnation = 0;
    std::vector<prompt_part> parts;
    time_point at;
    attempt_end end = attempt_end::kInterrupted;
  };
  struct known_crash {
    bool cleared = false;
    time_point at;
    std::vector<prompt_part> companions;  // in order
  };
  struct record {
    bool begun_before = false;
    std::map<crash_id, known_crash> crashes;
    time_point changed_at;   // anywhere; starts the lifetime
    time_point received_at;  // of the last change here
  };

  /// \brief Records the crash against the parts of an interrupted request.
  void Suspect(const interrupted_attempt& ended, time_point now);
  /// \brief Adds a crash, or the companions of one that is known; returns
  /// whether this is new. A crash is dropped if there is no capacity and others
  /// of its event are known.
  static bool AddCrash(record& known, crash_id crash, const known_crash& seen);
  struct crash_event {
    time_point begin;
    std::set<crash_id> crashes;   // at least one
    std::size_t unexplained = 0;  // crashes that no blocked part explains
  };
  struct event_count {
    std::size_t counted = 0;  // events that count against the part
    std::size_t missed = 0;   // events without it after its first one
    std::size_t missed_before = 0;
  };

  /// \brief All known crashes, by event, in order of time.
  std::vector<crash_event> Events() const;
  /// \param event_of index of the event of each crash.
  /// \param sightings crashes of the part, of which only `crashes` count.
  static event_count CountEvents(
      const std::vector<crash_event>& events,
      const std::map<crash_id, std::size_t>& event_of,
      const std::map<crash_id, known_crash>& sightings,
      const std::set<crash_id>& crashes);
  /// \brief The part, and those that were in requests with it at nearly all of
  /// its events: too few events without them tell it from these.
  std::set<prompt_part> Combination(prompt_part part) const;
  static std::set<crash_id> UnclearedCrashes(const record& known);
  /// \brief Number of events that block a part.
  /// \param missed events after its first one at which the part was not.
  /// \param missed_before events before its first one.
  std::size_t RequiredEvents(bool never_begun,
                             std::size_t missed,
                             std::size_t missed_before) const;
  /// \brief Record of a part; null if there is no capacity.
  record* FindOrAdd(prompt_part part);
  /// \brief Latest time at which a request with the part began here.
  std::optional<time_point> BegunAt(prompt_part part) const;
  void UpdateBlocked();

  crash_policy policy_;
  std::map<std::uint64_t, attempt> attempts_;     // by request
  std::vector<interrupted_attempt> interrupted_;  // in order of time
  // Time of the first crash that each interrupted request met.
  std::map<std::uint64_t, time_point> suspected_requests_;
  std::map<crash_id, time_point> lost_;
  std::map<prompt_part, record> records_;
  // Parts of requests that have begun here, and when they did last. The older
  // half of them is dropped when there are too many.
  std::map<prompt_part, time_point> begun_;
  std::map<prompt_part, time_point> begun_earlier_;
  std::set<prompt_part> blocked_;
  std::set<std::set<prompt_part>> blocked_combinations_;
  std::set<crash_id> explained_elsewhere_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_RETRY_CRASH_ATTRIBUTION_H_
