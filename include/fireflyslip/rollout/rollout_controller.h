#ifndef FIREFLYSLIP_ROLLOUT_ROLLOUT_CONTROLLER_H_
#define FIREFLYSLIP_ROLLOUT_ROLLOUT_CONTROLLER_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "fireflyslip/core/decision_core.h"
#include "fireflyslip/core/ids.h"
#include "fireflyslip/core/time.h"

namespace fireflyslip {

enum class replica_state {
  kLoading,
  kServing,
  kFailed,   ///< The load failed, or the engine crashed soon after it.
  kStopped,  ///< The engine crashed for another reason.
};

/// \brief The declaration of a model in a configuration revision.
///
/// Revisions that are not higher than the last one are ignored. Higher ones
/// must be reported even if the version did not change, so that peers agree on
/// the revision.
struct rollout_declared {
  std::uint64_t revision = 0;
  model_name model;
  model_version version;
  double serving_share = 0;  ///< In [0, 1].
  /// Declared replicas of the model in this data centre.
  std::vector<vm_id> replicas;

  bool operator==(const rollout_declared&) const = default;
};

/// \brief State of a replica as reported by its agent.
struct replica_report {
  vm_id vm;
  std::uint64_t revision = 0;  ///< Last known configuration revision.
  model_version version;       ///< Version served, being loaded, or failed.
  replica_state state = replica_state::kServing;
  /// The version has been served for the settling period without a crash.
  bool settled = false;
  /// The replica knows that the declared version failed in its data centre.
  bool stopped = false;

  bool operator==(const replica_report&) const = default;
};

/// \brief A report of a peer was received.
struct peer_report_received {
  replica_report report;

  bool operator==(const peer_report_received&) const = default;
};

/// \brief All chunks of a version are staged in the local engine.
struct version_staged {
  model_version version;

  auto operator<=>(const version_staged&) const = default;
};

/// \brief The local engine serves a version.
struct engine_serving {
  model_version version;

  auto operator<=>(const engine_serving&) const = default;
};

/// \brief The local engine failed to load a version.
struct engine_load_failed {
  model_version version;
  std::string reason;

  auto operator<=>(const engine_load_failed&) const = default;
};

/// \brief The local engine crashed while serving or loading a version.
struct engine_crashed {
  model_version version;

  auto operator<=>(const engine_crashed&) const = default;
};

/// \brief The complete list of live VMs.
struct rollout_members_changed {
  std::vector<vm_id> live;

  bool operator==(const rollout_members_changed&) const = default;
};

/// \brief Stop sending new requests to the local engine before a load.
struct start_drain {
  model_version version;

  auto operator<=>(const start_drain&) const = default;
};

/// \brief Order the local engine to load a version; follows `start_drain`.
struct load_version {
  model_version version;

  auto operator<=>(const load_version&) const = default;
};

enum class load_deferral_reason {
  kChunksMissing,   ///< The weights are not fully staged.
  kEarlierReplica,  ///< Replicas earlier in the order load first.
  kServingShare,    ///< The serving share would not be met.
  kVersionFailed,   ///< The version failed in this data centre.
};

/// \brief The load of the declared version is deferred. Issued when the reason
/// changes.
struct load_deferred {
  load_deferral_reason reason = load_deferral_reason::kChunksMissing;

  auto operator<=>(const load_deferred&) const = default;
};

/// \brief Send the own report to all replicas of the model in the data centre.
/// Repeated while the rollout is in progress, in case a message was lost.
struct send_report {
  replica_report report;

  bool operator==(const send_report&) const = default;
};

struct rollout_settings {
  vm_id self;
  /// Time for which a replica serves a new version before others follow.
  duration settling_period = seconds(10);
  /// A crash within this time after a load is attributed to the version.
  duration probation_period = seconds(60);
  duration report_interval = seconds(2);
  /// A live peer without a report for this time is excluded from the order and
  /// from the serving share, so that a lost link does not block the rollout.
  duration report_timeout = seconds(15);
};

/// \brief Decision core that determines when an agent's engine loads a declared
/// version.
///
/// All agents compute the same order, the rendezvous order of the declared
/// replicas. The first live replica is the canary: all others wait until it has
/// settled. The others then load in order, as many concurrently as
/// `serving_share` permits. Loading replicas are always among the first ones
/// that have not loaded, so late reports can delay the rollout but never exceed
/// the permitted number. A failed version stops the rollout until another
/// version is declared.
class rollout_controller {
 public:
  using event = std::variant<rollout_declared,
                             peer_report_received,
                             version_staged,
                             engine_serving,
                             engine_load_failed,
                             engine_crashed,
                             rollout_members_changed,
                             tick>;
  using action =
      std::variant<start_drain, load_version, load_deferred, send_report>;

  explicit rollout_controller(rollout_settings settings);

  std::vector<action> Handle(const event& event, time_point now);
  std::optional<time_point> NextDeadline() const;

  /// \brief Whether the declared version is known to have failed in this data
  /// centre.
  bool IsStopped() const { return stopped_; }

  /// \brief Maximum number of replicas that may be out of service concurrently;
  /// at least one.
  static std::size_t MaxUnavailable(std::size_t live, double serving_share);

 private:
  void On(const rollout_declared& e, time_point now);
  void On(const peer_report_received& e, time_point now);
  void On(const version_staged& e, time_point now);
  void On(const engine_serving& e, time_point now);
  void On(const engine_load_failed& e, time_point now);
  void On(const engine_crashed& e, time_point now);
  void On(const rollout_members_changed& e, time_point now);
  void On(const tick& e, time_point now);

  void RecordFailure(const replica_report& report);
  void Decide(time_point now);
  std::optional<load_deferral_reason> LoadDeferralReason(time_point now) const;
  bool HasSettlingPeer(time_point now) const;
  bool IsReportOverdue(const vm_id& vm, time_point now) const;
  bool HasLoaded(const replica_report& report) const;
  bool IsInProgress(time_point now) const;
  bool IsSettled(time_point now) const;
  void MarkFailed(const model_version& version, bool counts_against_version);
  void Report(time_point now);
  replica_report OwnReport(time_point now) const;

  rollout_settings settings_;
  std::vector<action> actions_;
  std::optional<rollout_declared> declared_;
  std::vector<vm_id> order_;
  std::set<vm_id> live_;
  struct peer_state {
    replica_report report;
    time_point received_at;
  };
  std::map<vm_id, peer_state> peers_;
  std::uint64_t version_revision_ = 0;  // Revision that declared the version.
  time_point declared_at_;
  std::set<model_version> staged_;
  bool stopped_ = false;

  replica_state state_ = replica_state::kServing;
  model_version version_;  // Served, being loaded, or failed.
  time_point serving_since_;
  std::optional<load_deferral_reason> last_reason_;
  std::optional<replica_report> last_report_;
  std::optional<time_point> next_report_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_ROLLOUT_ROLLOUT_CONTROLLER_H_
