#ifndef FIREFLYSLIP_DELIVERY_ANSWER_ASSEMBLER_H_
#define FIREFLYSLIP_DELIVERY_ANSWER_ASSEMBLER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "fireflyslip/core/decision_core.h"
#include "fireflyslip/core/error.h"
#include "fireflyslip/core/ids.h"
#include "fireflyslip/core/time.h"
#include "fireflyslip/delivery/attempt_ledger.h"

namespace fireflyslip {
namespace delivery {

/// \brief The entry sent an attempt. Its parts start at `first_offset`.
///
/// Replaces the previous attempt, whose late parts are dropped.
struct attempt_sent {
  attempt_id attempt;
  std::uint64_t first_offset = 0;
  auto operator<=>(const attempt_sent&) const = default;
};

struct part_received {
  attempt_id attempt;
  std::uint64_t offset = 0;
  model_version version;
  std::string data;
  auto operator<=>(const part_received&) const = default;
};

struct end_received {
  attempt_id attempt;
  attempt_end result;
  auto operator<=>(const end_received&) const = default;
};

/// \brief No further parts of the attempt will arrive.
struct attempt_lost {
  attempt_id attempt;
  bool never_ran = false;  ///< The agent recorded a refusal.
  auto operator<=>(const attempt_lost&) const = default;
};

struct caller_disconnected {
  auto operator<=>(const caller_disconnected&) const = default;
};

struct forward_to_caller {
  model_version version;
  std::string data;
  auto operator<=>(const forward_to_caller&) const = default;
};

/// \brief The answer is complete.
struct finish {
  int status = 0;
  auto operator<=>(const finish&) const = default;
};

struct fail {
  error_kind kind = error_kind::kInternalError;
  outcome result = outcome::kUnknown;
  std::string detail;
  auto operator<=>(const fail&) const = default;
};

/// \brief Send a new attempt to another upstream and report it with
/// `attempt_sent`.
struct resume_on_another_upstream {
  std::uint64_t offset = 0;
  /// Required version; absent if nothing was forwarded yet.
  std::optional<model_version> version;
  auto operator<=>(const resume_on_another_upstream&) const = default;
};

struct acknowledge {
  attempt_id attempt;
  auto operator<=>(const acknowledge&) const = default;
};

/// \brief Notify the agent that the attempt is no longer needed.
struct cancel_attempt {
  attempt_id attempt;
  auto operator<=>(const cancel_attempt&) const = default;
};

}  // namespace delivery

/// \brief Limits and timeouts of `answer_assembler`.
struct answer_assembler_settings {
  /// Whether the request may run more than once. Otherwise it is resumed only
  /// after an attempt that never ran.
  bool idempotent = true;
  /// Time to wait for a missing part.
  duration gap_timeout = seconds(3);
  /// Maximum total size of parts that are buffered behind a gap, in bytes.
  std::size_t max_pending_bytes = 1'000'000;
  /// Maximum number of `resume_on_another_upstream` for one request. Bounds the
  /// work caused by a request that fails on every upstream.
  int max_resumes = 3;
};

/// \brief Decision core of an entry that reassembles one answer and forwards it
/// to the caller.
///
/// Only parts of the current attempt of this request are used, in the order of
/// their offsets. The first forwarded part determines the model version; parts
/// of other versions are never forwarded.
class answer_assembler {
 public:
  using event = std::variant<tick,
                             delivery::attempt_sent,
                             delivery::part_received,
                             delivery::end_received,
                             delivery::attempt_lost,
                             delivery::caller_disconnected>;
  using action = std::variant<delivery::forward_to_caller,
                              delivery::finish,
                              delivery::fail,
                              delivery::resume_on_another_upstream,
                              delivery::acknowledge,
                              delivery::cancel_attempt>;

  explicit answer_assembler(request_id request,
                            answer_assembler_settings settings = {});

  std::vector<action> Handle(const event& event, time_point now);
  std::optional<time_point> NextDeadline() const;

  /// \brief Whether the caller got its answer or an error, or disconnected.
  bool is_done() const { return done_; }
  /// \brief Offset of the next part to forward.
  std::uint64_t next_offset() const { return next_offset_; }

 private:
  void On(const tick& event);
  void On(const delivery::attempt_sent& event);
  void On(const delivery::part_received& event);
  void On(const delivery::end_received& event);
  void On(const delivery::attempt_lost& event);
  void On(const delivery::caller_disconnected& event);

  bool IsPresent(const attempt_id& attempt) const {
    return !done_ && attempt_ == attempt;
  }
  void ForwardWaiting();
  void Fail(error_kind kind, outcome result, std::string detail);
  void Abandon(error_kind kind, bool never_ran, std::string detail);

  request_id request_;
  answer_assembler_settings settings_;
  std::optional<attempt_id> attempt_;
  /// Version of the parts of the current attempt.
  std::optional<model_version> attempt_version_;
  /// Version of the forwarded parts.
  std::optional<model_version> version_;
  std::uint64_t next_offset_ = 0;
  std::map<std::uint64_t, std::string> pending_parts_;
  std::size_t pending_bytes_ = 0;
  std::optional<delivery::attempt_end> end_;
  std::optional<time_point> gap_deadline_;
  int resumes_ = 0;
  /// Whether an abandoned attempt may have run, which rules out `not_run`.
  bool may_have_run_ = false;
  bool done_ = false;
  time_point now_;
  std::vector<action> actions_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_DELIVERY_ANSWER_ASSEMBLER_H_
