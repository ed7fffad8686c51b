#ifndef FIREFLYSLIP_ORDERS_ORDER_SEQUENCER_H_
#define FIREFLYSLIP_ORDERS_ORDER_SEQUENCER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "fireflyslip/core/decision_core.h"
#include "fireflyslip/core/ids.h"
#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Events and actions of `order_sequencer`.
///
/// Each `read_fence` is followed by exactly one of `fence_read`,
/// `fence_missing` and `fence_failed`; each `write_fence` by exactly one of
/// `fence_written`, `fence_conflict`, `fence_write_unknown` and `fence_failed`;
/// each `read_engine_state` by one `engine_state`.
namespace orders {

/// \brief Contents of the platform object `fence/UPSTREAM`.
struct fence_value {
  std::uint64_t token = 0;
  incarnation_number incarnation =
      0;  ///< Agent incarnation that raised the token.
  auto operator<=>(const fence_value&) const = default;
};

/// \brief Model and version that an engine serves or is to serve.
struct versioned_model {
  model_name model;
  model_version version;
  auto operator<=>(const versioned_model&) const = default;
};

struct started {
  incarnation_number incarnation = 0;
  auto operator<=>(const started&) const = default;
};

struct fence_read {
  std::uint64_t version = 0;  ///< Version of the object.
  fence_value value;
  auto operator<=>(const fence_read&) const = default;
};

struct fence_missing {
  auto operator<=>(const fence_missing&) const = default;
};

struct fence_written {
  std::uint64_t version = 0;  ///< Version of the object.
  auto operator<=>(const fence_written&) const = default;
};

struct fence_conflict {
  auto operator<=>(const fence_conflict&) const = default;
};

/// \brief The read failed, or the update failed and will not take effect.
struct fence_failed {
  auto operator<=>(const fence_failed&) const = default;
};

/// \brief Timeout or lost response of an update. It may still take effect.
struct fence_write_unknown {
  auto operator<=>(const fence_write_unknown&) const = default;
};

/// \brief The desired state of the engine changed.
struct desired_changed {
  versioned_model content;
  auto operator<=>(const desired_changed&) const = default;
};

/// \brief State that the engine reports; absent if it could not be read.
struct engine_state {
  std::optional<versioned_model> reported;
  auto operator<=>(const engine_state&) const = default;
};

enum class order_result { kOk, kStaleFence, kCannotLoad, kUnknown };

struct order_answered {
  std::uint64_t order = 0;  ///< Sequence number of `send_order`.
  order_result result = order_result::kUnknown;
  std::string reason;
  auto operator<=>(const order_answered&) const = default;
};

struct resumed_after_pause {
  auto operator<=>(const resumed_after_pause&) const = default;
};

struct read_fence {
  auto operator<=>(const read_fence&) const = default;
};

struct write_fence {
  /// Expected version; if absent, the object must not exist.
  std::optional<std::uint64_t> expected;
  fence_value value;
  auto operator<=>(const write_fence&) const = default;
};

enum class order_kind { kLoad };

/// \brief Send an order to the engine. After `expiry` it must not be
/// transmitted and its connection must be closed.
struct send_order {
  std::uint64_t order = 0;
  order_kind kind = order_kind::kLoad;
  versioned_model content;
  std::uint64_t fence = 0;
  time_point expiry;
  auto operator<=>(const send_order&) const = default;
};

struct read_engine_state {
  auto operator<=>(const read_engine_state&) const = default;
};

/// \brief The engine serves the desired version, or cannot load it.
struct report_load_result {
  versioned_model content;
  bool serving = false;
  std::string reason;  ///< Why the load failed; empty when serving.
  auto operator<=>(const report_load_result&) const = default;
};

}  // namespace orders

/// \brief Engine capabilities and timeouts of `order_sequencer`.
struct order_sequencer_settings {
  /// Whether the engine rejects orders with a stale fencing token.
  bool checks_fencing = true;
  /// Maximum lifetime of an order. Must be equal on all agents, because a new
  /// incarnation waits this long for the orders of the previous one to expire.
  duration order_expiry = seconds(30);
  /// Delay before a failed call is retried.
  duration retry_delay = milliseconds(200);
  /// Interval between reads of the engine state, which detect a restarted
  /// engine.
  duration check_interval = seconds(5);
};

/// \brief Decision core that sends orders to an engine, one at a time.
///
/// An agent first raises the fencing token in the platform. An engine that
/// ignores tokens is protected by a lease-like rule: the agent reads the fence
/// before each order, the order expires a fixed time after the start of that
/// read, and a new incarnation waits as long after its own update of the fence.
///
/// If the platform is unreachable, the owner of the fence continues, because
/// accepted rollouts must proceed during an outage. Periodic reconciliation
/// with the reported engine state corrects changes by orders of a partitioned
/// owner. After a pause, the owner always waits for the platform.
class order_sequencer {
 public:
  using event = std::variant<tick,
                             orders::started,
                             orders::fence_read,
                             orders::fence_missing,
                             orders::fence_written,
                             orders::fence_conflict,
                             orders::fence_failed,
                             orders::fence_write_unknown,
                             orders::desired_changed,
                             orders::engine_state,
                             orders::order_answered,
                             orders::resumed_after_pause>;
  using action = std::variant<orders::read_fence,
                              orders::write_fence,
                              orders::send_order,
                              orders::read_engine_state,
                              orders::report_load_result>;

  explicit order_sequencer(order_sequencer_settings settings = {});

  /// \brief `started` must be the first event.
  std::vector<action> Handle(const event& event, time_point now);
  std::optional<time_point> NextDeadline() const;

  /// \brief Whether this incarnation owns the fence, as far as it knows.
  bool is_owner() const { return phase_ == phase::kOwner; }

 private:
  enum class phase { kNotStarted, kAcquiring, kOwner, kSuperseded };
  enum class platform_call { kNone, kRead, kWrite };
  enum class engine_call { kNone, kState, kOrder };

  void On(const tick& event);
  void On(const orders::started& event);
  void On(const orders::fence_read& event);
  void On(const orders::fence_missing& event);
  void On(const orders::fence_written& event);
  void On(const orders::fence_conflict& event);
  void On(const orders::fence_failed& event);
  void On(const orders::fence_write_unknown& event);
  void On(const orders::desired_changed& event);
  void On(const orders::engine_state& event);
  void On(const orders::order_answered& event);
  void On(const orders::resumed_after_pause& event);

  bool EndRead();
  void RaiseFence(std::optional<std::uint64_t> expected, std::uint64_t token);
  void BecomeOwner();
  void OrderUnknown();
  bool WantsOrder() const;
  void CallPlatform();
  void CallEngine();
  void SendOrder();
  void ReportServing();

  order_sequencer_settings settings_;
  phase phase_ = phase::kNotStarted;
  incarnation_number incarnation_ = 0;
  platform_call platform_ = platform_call::kNone;
  engine_call engine_ = engine_call::kNone;
  orders::fence_value fence_;  ///< Owned, or being written.
  /// Whether the fence must be read before the next order, after a pause.
  bool must_verify_fence_ = false;
  bool discard_read_ = false;  ///< The read in progress began before a pause.
  /// Whether the engine rejected the owned token as stale.
  bool must_raise_token_ = false;
  /// Whether the fence was read for an order in this call of `Handle`.
  bool fence_verified_ = false;
  time_point read_started_;
  std::optional<orders::versioned_model> desired_;
  std::optional<orders::versioned_model> state_;
  bool state_fresh_ = false;
  bool load_failed_ = false;  ///< The engine cannot load `desired_`.
  std::optional<orders::versioned_model> reported_;
  std::uint64_t order_ = 0;
  orders::versioned_model ordered_;
  time_point order_expiry_;
  time_point order_allowed_;
  time_point platform_not_before_;
  time_point engine_not_before_;
  time_point next_check_;
  time_point now_;
  std::vector<action> actions_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_ORDERS_ORDER_SEQUENCER_H_
