#ifndef FIREFLYSLIP_DELIVERY_ATTEMPT_LEDGER_H_
#define FIREFLYSLIP_DELIVERY_ATTEMPT_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "fireflyslip/core/decision_core.h"
#include "fireflyslip/core/error.h"
#include "fireflyslip/core/ids.h"
#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Events and actions of `attempt_ledger` and `answer_assembler`.
namespace delivery {

/// \brief Identifies one run of an entry process. Request sequence numbers of a
/// run increase monotonically.
struct entry_id {
  vm_id vm;
  incarnation_number incarnation = 0;
  auto operator<=>(const entry_id&) const = default;
};

/// \brief How an attempt ended: with an HTTP status or with an error.
struct attempt_end {
  /// Offset after the last part. Offsets count the parts of the whole answer.
  std::uint64_t parts = 0;
  int status = 0;                  ///< HTTP status; 0 for an error.
  std::optional<error_kind> kind;  ///< Absent for a complete answer.
  outcome result = outcome::kCompleted;
  std::string detail;
  std::string content_type;  ///< Empty for an error.
  auto operator<=>(const attempt_end&) const = default;
};

enum class attempt_status { kUnknown, kQueued, kRunning, kRefused, kCompleted };

/// \brief An attempt was received. Its parts start at `first_offset`.
struct attempt_arrived {
  attempt_id attempt;
  std::uint64_t first_offset = 0;
  auto operator<=>(const attempt_arrived&) const = default;
};

/// \brief The queued attempt was handed to the engine or service.
struct run_started {
  attempt_id attempt;
  auto operator<=>(const run_started&) const = default;
};

struct part_produced {
  attempt_id attempt;
  model_version version;  ///< Empty for a plain service.
  std::string data;
  auto operator<=>(const part_produced&) const = default;
};

/// \brief The run ended. `end.parts` is computed by the ledger.
struct run_ended {
  attempt_id attempt;
  attempt_end end;
  auto operator<=>(const run_ended&) const = default;
};

/// \brief Refuse an attempt that has not started to run.
struct refuse_attempt {
  attempt_id attempt;
  error_kind kind = error_kind::kOverloaded;
  std::string detail;
  auto operator<=>(const refuse_attempt&) const = default;
};

struct cancel {
  attempt_id attempt;
  auto operator<=>(const cancel&) const = default;
};

/// \brief The entry received the complete answer.
struct acknowledged {
  attempt_id attempt;
  auto operator<=>(const acknowledged&) const = default;
};

struct attempt_status_queried {
  attempt_id attempt;
  auto operator<=>(const attempt_status_queried&) const = default;
};

struct link_lost {
  entry_id entry;
  auto operator<=>(const link_lost&) const = default;
};

struct link_resumed {
  entry_id entry;
  auto operator<=>(const link_resumed&) const = default;
};

/// \brief Queue a new attempt.
struct admit {
  attempt_id attempt;
  auto operator<=>(const admit&) const = default;
};

/// \brief Remove the attempt from the queue or cancel its run.
struct stop_run {
  attempt_id attempt;
  auto operator<=>(const stop_run&) const = default;
};

struct send_part {
  attempt_id attempt;
  std::uint64_t offset = 0;
  model_version version;
  std::string data;
  auto operator<=>(const send_part&) const = default;
};

struct send_end {
  attempt_id attempt;
  attempt_end end;
  auto operator<=>(const send_end&) const = default;
};

struct send_attempt_status {
  attempt_id attempt;
  attempt_status state = attempt_status::kUnknown;
  auto operator<=>(const send_attempt_status&) const = default;
};

}  // namespace delivery

/// \brief Memory limits and retention times of `attempt_ledger`.
struct attempt_ledger_settings {
  /// Maximum total size of retained parts, in bytes. An agent has a budget of
  /// 128 MB for all control functions.
  std::size_t max_kept_bytes = 16'000'000;
  /// Time for which an answer is retained without an acknowledgement.
  duration answer_retention = seconds(30);
  /// Maximum number of closed attempts recorded for each entry, above the
  /// low-water mark. At about 300 bytes each, 32 entries use 10 MB.
  std::size_t max_remembered = 1024;
  /// Time after which the state of an entry without open attempts is discarded.
  /// A link that is silent for 3 s is closed, so no message of it can arrive
  /// this late.
  duration entry_retention = std::chrono::hours(1);
};

/// \brief Decision core of an agent that runs each attempt id at most once.
///
/// A refusal is recorded before it is reported, so that a refused attempt that
/// arrives later is dropped and the reported `not_run` remains true. For each
/// entry incarnation, the ledger records the attempts above a low-water mark.
/// An attempt below the mark that is not open is neither run nor reported as
/// `not_run`.
class attempt_ledger {
 public:
  using event = std::variant<tick,
                             delivery::attempt_arrived,
                             delivery::run_started,
                             delivery::part_produced,
                             delivery::run_ended,
                             delivery::refuse_attempt,
                             delivery::cancel,
                             delivery::acknowledged,
                             delivery::attempt_status_queried,
                             delivery::link_lost,
                             delivery::link_resumed>;
  using action = std::variant<delivery::admit,
                              delivery::stop_run,
                              delivery::send_part,
                              delivery::send_end,
                              delivery::send_attempt_status>;

  explicit attempt_ledger(attempt_ledger_settings settings = {});

  std::vector<action> Handle(const event& event, time_point now);
  std::optional<time_point> NextDeadline() const;

  std::size_t kept_bytes() const { return kept_bytes_; }
  /// \brief Number of attempts that are queued or running.
  std::size_t open_attempts() const { return open_attempts_; }
  /// \brief Number of ended attempts that have not been acknowledged.
  std::size_t kept_answers() const { return expiries_.size(); }

 private:
  enum class attempt_stage { kQueued, kRunning, kEnded, kRefused, kClosed };
  struct part {
    model_version version;
    std::string data;
  };
  struct attempt_state {
    attempt_stage stage = attempt_stage::kQueued;
    std::uint64_t first_offset = 0;
    std::uint64_t next_offset = 0;
    std::vector<part> parts;
    std::size_t bytes = 0;
    bool has_dropped_parts = false;
    std::optional<model_version> version;
    delivery::attempt_end end;
    time_point expires;
  };
  using attempt_map = std::map<attempt_id, attempt_state>;
  struct entry_state {
    attempt_map attempts;
    std::set<attempt_id> closed;  ///< Refused or closed.
    /// Attempts up to this one that are not in `attempts` have been discarded.
    std::optional<attempt_id> low_water_mark;
    bool connected = true;
    time_point last_event;
  };

  void On(const tick& event);
  void On(const delivery::attempt_arrived& event);
  void On(const delivery::run_started& event);
  void On(const delivery::part_produced& event);
  void On(const delivery::run_ended& event);
  void On(const delivery::refuse_attempt& event);
  void On(const delivery::cancel& event);
  void On(const delivery::acknowledged& event);
  void On(const delivery::attempt_status_queried& event);
  void On(const delivery::link_lost& event);
  void On(const delivery::link_resumed& event);

  entry_state& EntryOf(const attempt_id& attempt);
  attempt_state* Find(const attempt_id& attempt);
  static bool IsDiscarded(const entry_state& entry, const attempt_id& attempt);
  void Refuse(const attempt_id& attempt,
              error_kind kind,
              const std::string& detail);
  void End(const attempt_id& attempt,
           attempt_state& state,
           delivery::attempt_end end);
  void Close(const attempt_id& attempt, attempt_state& state);
  void DropParts(const attempt_id& attempt, attempt_state& state);
  void Replay(const attempt_id& attempt, const attempt_state& state);
  void RecordClosed(entry_state& entry, const attempt_id& attempt);
  void EnforceByteLimit();
  void Expire();

  attempt_ledger_settings settings_;
  std::map<delivery::entry_id, entry_state> entries_;
  std::set<std::pair<time_point, attempt_id>> expiries_;
  std::set<attempt_id> running_with_parts_;
  std::size_t kept_bytes_ = 0;
  std::size_t open_attempts_ = 0;
  time_point now_;
  time_point next_entry_scan_;
  std::vector<action> actions_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_DELIVERY_ATTEMPT_LEDGER_H_
