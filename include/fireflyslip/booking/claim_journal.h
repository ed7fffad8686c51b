#ifndef FIREFLYSLIP_BOOKING_CLAIM_JOURNAL_H_
#define FIREFLYSLIP_BOOKING_CLAIM_JOURNAL_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "fireflyslip/booking/journal_codec.h"
#include "fireflyslip/core/decision_core.h"
#include "fireflyslip/core/digest.h"
#include "fireflyslip/core/error.h"
#include "fireflyslip/core/ids.h"
#include "fireflyslip/core/random_source.h"
#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Version of an object in the object store of the platform.
using object_version = std::uint64_t;

/// \brief Events and actions of `claim_journal`.
///
/// Each `read_journal` is followed by exactly one of `journal_read`,
/// `journal_missing` and `platform_failed`; each `write_journal` by exactly one
/// of `journal_written`, `journal_conflict`, `journal_write_unknown` and
/// `platform_failed`; each `run_call` by one of `run_finished`, `run_failed`.
namespace booking {

/// \brief The agent started. Each start must use a different seed.
struct started {
  incarnation_number incarnation = 0;
  std::uint64_t update_id_seed = 0;
  auto operator<=>(const started&) const = default;
};

/// \brief An attempt requests to run the call of a key (see `ScopedKey`).
struct claim_requested {
  attempt_id attempt;
  idempotency_key key;
  digest request;  ///< Digest of method, path and body.
  time_point deadline;
  auto operator<=>(const claim_requested&) const = default;
};

struct run_finished {
  idempotency_key key;
  int status = 0;
  std::string content_type;
  std::string body;
  auto operator<=>(const run_finished&) const = default;
};

/// \brief The call ended without a response.
struct run_failed {
  idempotency_key key;
  bool may_have_run = true;  ///< False only if no byte was sent to the service.
  auto operator<=>(const run_failed&) const = default;
};

struct journal_read {
  object_version version = 0;
  std::string body;
  auto operator<=>(const journal_read&) const = default;
};

struct journal_missing {
  auto operator<=>(const journal_missing&) const = default;
};

struct journal_written {
  object_version version = 0;
  auto operator<=>(const journal_written&) const = default;
};

/// \brief The object does not have the expected version; nothing was written.
struct journal_conflict {
  auto operator<=>(const journal_conflict&) const = default;
};

/// \brief Timeout or lost response. The update may still take effect later.
struct journal_write_unknown {
  auto operator<=>(const journal_write_unknown&) const = default;
};

/// \brief The read failed, or the update failed and will not take effect.
struct platform_failed {
  auto operator<=>(const platform_failed&) const = default;
};

struct resumed_after_pause {
  auto operator<=>(const resumed_after_pause&) const = default;
};

/// \brief The agent no longer owns the journal. No new call runs; calls in
/// progress are answered, but their answers are not written.
struct stopped {
  auto operator<=>(const stopped&) const = default;
};

/// \brief The entry process no longer waits for the attempt.
struct attempt_abandoned {
  attempt_id attempt;
  auto operator<=>(const attempt_abandoned&) const = default;
};

struct read_journal {
  auto operator<=>(const read_journal&) const = default;
};

struct write_journal {
  /// Expected version; if absent, the object must not exist.
  std::optional<object_version> expected;
  std::string body;
  auto operator<=>(const write_journal&) const = default;
};

/// \brief The claim is durable; run the call of this attempt.
struct run_call {
  attempt_id attempt;
  idempotency_key key;
  auto operator<=>(const run_call&) const = default;
};

struct answer {
  attempt_id attempt;
  stored_answer stored;
  auto operator<=>(const answer&) const = default;
};

/// \brief Refuse the attempt. The outcome is the default outcome of the error
/// kind.
struct refuse {
  attempt_id attempt;
  error_kind kind = error_kind::kInternalError;
  std::string detail;
  auto operator<=>(const refuse&) const = default;
};

}  // namespace booking

/// \brief Size limits and timeouts of `claim_journal`.
struct claim_journal_settings {
  /// Maximum size of a stored answer body, in bytes.
  std::size_t max_stored_body = 4096;
  /// Maximum size of all records of the journal object, in bytes. The platform
  /// accepts objects up to 1 MB; the difference is reserved for the fields of
  /// the document itself.
  std::size_t max_journal = 1'000'000 - 4096;
  /// Time for which duplicates get the stored answer. Measured from the answer,
  /// or from the takeover of the journal, because agents do not share a clock.
  duration answer_retention = std::chrono::hours(1);
  /// Maximum time to wait for a claim to be written, if the deadline is not
  /// earlier.
  duration claim_timeout = seconds(2);
  /// Delay before a failed platform call is retried.
  duration retry_delay = milliseconds(100);
  /// Minimum interval between the starts of two updates. The platform supports
  /// a few hundred updates per second for all upstreams together.
  duration min_write_interval = milliseconds(10);
};

/// \brief Decision core that ensures at-most-once execution of the calls of one
/// upstream.
///
/// A claim is written to the journal object before its call runs (write-ahead).
/// Claims that arrive while an update is in progress are batched into the next
/// update. Conditional writes on the object version fence agents that were
/// paused or replaced.
///
/// A claim is refused as `not_run` only before its call is handed out: an agent
/// never runs a claim that it withdrew, and no agent runs a claim that it reads
/// from the journal. A later attempt with the same key may run under a claim of
/// its own. `not_run` applies to the refused attempt only, not to earlier
/// attempts with the same key.
class claim_journal {
 public:
  using event = std::variant<tick,
                             booking::started,
                             booking::claim_requested,
                             booking::run_finished,
                             booking::run_failed,
                             booking::journal_read,
                             booking::journal_missing,
                             booking::journal_written,
                             booking::journal_conflict,
                             booking::journal_write_unknown,
                             booking::platform_failed,
                             booking::resumed_after_pause,
                             booking::stopped,
                             booking::attempt_abandoned>;
  using action = std::variant<booking::read_journal,
                              booking::write_journal,
                              booking::run_call,
                              booking::answer,
                              booking::refuse>;

  explicit claim_journal(claim_journal_settings settings = {});

  /// \brief `started` must be the first event.
  std::vector<action> Handle(const event& event, time_point now);

  std::optional<time_point> NextDeadline() const;

  /// \brief Whether this incarnation owns the journal, as far as it knows.
  bool is_owner() const { return owned_ && phase_ == phase::kActive; }
  /// \brief Whether another incarnation owns the journal, or the journal was
  /// stopped. No new call runs in this state.
  bool is_superseded() const { return phase_ == phase::kSuperseded; }
  /// \brief Highest incarnation read from the journal object. An incarnation
  /// that takes over the journal must be higher.
  incarnation_number highest_incarnation() const {
    return highest_incarnation_;
  }
  /// \brief Number of keys in memory.
  std::size_t size() const { return records_.size(); }

 private:
  enum class phase {
    kNotStarted,  ///< `started` has not been handled.
    kReading,     ///< The contents or the version of the object are unknown.
    kActive,      ///< The version is known.
    kSuperseded,  ///< A later incarnation owns the journal, or `stopped`.
  };
  enum class operation { kNone, kRead, kWrite };
  enum class claim_stage { kPending, kRunning, kDone };

  struct record {
    claim_stage stage = claim_stage::kPending;
    /// Distinguishes the claim from a withdrawn earlier one of the same key.
    std::uint64_t claim_number = 0;
    journal_record content;
    std::string encoded;
    std::size_t reserved = 0;  ///< Bytes reserved in the journal.
    std::vector<attempt_id> waiters;
  };
  struct waiter {
    idempotency_key key;
    time_point deadline;
    time_point timeout_at;
  };
  /// An update that is not known to have taken effect.
  struct pending_write {
    std::string update_id;
    std::uint64_t mutation = 0;
    std::vector<std::pair<idempotency_key, std::uint64_t>> claims;
  };
  using record_map = std::map<idempotency_key, record>;

  void On(const tick& event);
  void On(const booking::started& event);
  void On(const booking::claim_requested& event);
  void On(const booking::run_finished& event);
  void On(const booking::run_failed& event);
  void On(const booking::journal_read& event);
  void On(const booking::journal_missing& event);
  void On(const booking::journal_written& event);
  void On(const booking::journal_conflict& event);
  void On(const booking::journal_write_unknown& event);
  void On(const booking::platform_failed& event);
  void On(const booking::resumed_after_pause& event);
  void On(const booking::stopped& event);
  void On(const booking::attempt_abandoned& event);

  void Merge(const journal_document& document);
  void Supersede(const char* reason);
  /// \brief Reads the object after an update with an uncertain outcome.
  void ReadBack();
  void ConfirmWrite(const pending_write& write, object_version version);
  void CallPlatform();
  void StartWrite();
  void ExpireWaiters();
  void EvictAnswers();

  void Refuse(const attempt_id& attempt, error_kind kind, std::string detail);
  void RefuseWaiters(record& claim, error_kind kind, const char* detail);
  void ReplyFrom(const attempt_id& attempt, const record& claim);
  void SetTimer(const attempt_id& attempt, time_point when);
  void UnregisterWaiter(const attempt_id& attempt);
  void RemoveWaiter(record_map::iterator found, const attempt_id& attempt);
  void Erase(record_map::iterator found);
  void SetContent(const idempotency_key& key,
                  record& claim,
                  journal_record content);

  claim_journal_settings settings_;
  random_source random_{0};
  incarnation_number incarnation_ = 0;
  incarnation_number highest_incarnation_ = 0;
  phase phase_ = phase::kNotStarted;
  operation operation_ = operation::kNone;
  /// Whether the read in progress started before a pause and must be ignored.
  bool discard_read_ = false;
  /// Whether an update of this incarnation took effect.
  bool owned_ = false;
  std::optional<object_version> version_;
  std::string last_update_id_;
  std::vector<pending_write> unresolved_;
  /// Number of changes to the records, and its value at the last update.
  std::uint64_t mutation_ = 0;
  std::uint64_t written_mutation_ = 0;
  std::uint64_t next_claim_number_ = 1;
  record_map records_;
  std::size_t reserved_ = 0;
  std::map<attempt_id, waiter> waiters_;
  std::set<std::pair<time_point, attempt_id>> timers_;
  std::deque<std::pair<time_point, std::pair<idempotency_key, std::uint64_t>>>
      expiries_;
  time_point now_;
  time_point not_before_;
  std::vector<action> actions_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_BOOKING_CLAIM_JOURNAL_H_
