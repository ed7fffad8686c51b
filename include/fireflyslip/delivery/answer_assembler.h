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

/// \brief The entry sent an attempt; its parts start at `first_offset`.
///
/// It replaces the previous attempt, whose late parts are dropped.
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

/// \brief No more parts of the attempt will come.
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

/// \brief Send a new attempt elsewhere, then report it by `attempt_sent`.
struct resume_on_another_upstream {
  std::uint64_t offset = 0;
  /// Absent: nothing was forwarded, so that any version will do.
  std::optional<model_version> version;
  auto operator<=>(const resume_on_another_upstream&) const = default;
};

struct acknowledge {
  attempt_id attempt;
  auto operator<=>(const acknowledge&) const = default;
};

/// \brief Tell the agent that the attempt is no longer needed.
struct cancel_attempt {
  attempt_id attempt;
  auto operator<=>(const cancel_attempt&) const = default;
};

}  // namespace delivery

/// \brief Bounds and times of `answer_assembler`.
struct answer_assembler_settings {
  /// Whether the request may run twice. Otherwise it is resumed only after an
  /// attempt that never ran.
  bool idempotent = true;
  /// Time for which a gap between parts may stay open.
  duration gap_timeout = seconds(3);
  /// Largest sum of parts that wait for a gap, in bytes.
  std::size_t max_waiting_bytes = 1'000'000;
  /// Number of `resume_on_another_upstream` for one request. Bounds the work of
  /// a request that fails on every upstream.
  int max_resumes = 3;
};

/// \brief Decision core of the entry that forwards one answer to its caller.
///
/// Only parts of the present attempt of this request are used, in the order of
/// their offsets. The first part forwarded fixes the model version; a part of
/// another version is never forwarded.
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

  /// \brief Whether the caller got its answer or an error, or left.
  bool is_done() const { return done_; }
  /// \brief Offset of the next part for the caller.
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
  /// Version of the parts of the present attempt.
  std::optional<model_version> attempt_version_;
  /// Version of the parts that were forwarded.
  std::optional<model_version> version_;
  std::uint64_t next_offset_ = 0;
  std::map<std::uint64_t, std::string> waiting_;
  std::size_t waiting_bytes_ = 0;
  std::optional<delivery::attempt_end> end_;
  std::optional<time_point> gap_deadline_;
  int resumes_ = 0;
  /// Whether an abandoned attempt may have run, so that `not_run` is ruled out.
  bool may_have_run_ = false;
  bool done_ = false;
  time_point now_;
  std::vector<action> actions_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_DELIVERY_ANSWER_ASSEMBLER_H_
