#ifndef FIREFLYSLIP_STAGING_WEIGHT_STAGER_H_
#define FIREFLYSLIP_STAGING_WEIGHT_STAGER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "fireflyslip/core/decision_core.h"
#include "fireflyslip/core/ids.h"
#include "fireflyslip/core/time.h"
#include "fireflyslip/staging/chunk_sources.h"

namespace fireflyslip {

/// \brief Parameters of weight staging.
struct staging_policy {
  /// Concurrent transfers. Most of them wait at a peer that is still receiving
  /// the chunk; the active ones share the link of the VM with streams.
  std::size_t max_parallel_fetches = 10;
  /// Concurrent transfers from the origin: the second one uses the link while
  /// the first one starts or ends. Chunks that arrive one by one can be
  /// forwarded to peers while the next ones are being fetched.
  std::size_t max_origin_fetches = 2;
  /// Chunks that all agents together transfer from the origin at a time. More
  /// would all arrive late instead of one after the other, and the transfers
  /// would exceed their timeout.
  std::size_t origin_pipeline = 4;
  /// Duration of a transfer above which the link of the VM is taken to be
  /// congested. The number of concurrent transfers is then reduced, so that
  /// requests to the replica are not delayed.
  duration slow_transfer_threshold = milliseconds(250);
  /// Time after a chunk is due at the origin, per rank, for which an agent that
  /// is not assigned to the chunk leaves the origin to others.
  duration origin_patience = milliseconds(1500);
  /// Time after a failed request to the origin for which the agents that
  /// replace the assigned one do not turn to it, unless those before them are
  /// silent. It exceeds the time in which the origin sends one copy, so that
  /// after its return the assigned agents come first.
  duration origin_retry_interval = seconds(3);
  /// The same for the fetchers of the other regions. They outnumber the
  /// replacements, so that only a long outage justifies their requests.
  duration remote_origin_retry_interval = seconds(30);
  /// Retry delay after a source did not have the chunk. It is short because the
  /// call has already waited at the source.
  duration missing_retry_delay = milliseconds(30);
  duration failure_retry_delay = milliseconds(150);
  /// Failed reads of the local replica before other sources are tried; the
  /// replica may be restarting.
  std::size_t max_local_replica_failures = 3;
  /// Attempts at a source that did not have the chunk after a blocking call, or
  /// whose link is busy.
  std::size_t max_attempts_per_source = 3;
  /// Time for which a staged chunk counts as intact after the start of the
  /// read that verified it. The replica must accept the load by then, because
  /// staged bytes may become corrupted at any time.
  duration verification_lifetime = seconds(3);
  /// Time that the load request may take until the replica accepts it.
  duration load_request_timeout = seconds(1);
  /// Concurrent reads of staged chunks. Doubled while verified chunks expire
  /// before all are verified, because the replica responds slowly.
  std::size_t min_parallel_reads = 4;
  /// Retry delay after a load request that was not carried out.
  duration load_retry_delay = milliseconds(300);
  /// Time between the announcement of a load and the load request, in which
  /// gateways stop sending, so that no request waits at the replica for the
  /// load.
  duration announce_lead_time = milliseconds(350);
  /// Time without progress after which a newer version may replace a target
  /// that has not been loaded yet.
  duration stall_timeout = milliseconds(1200);
  /// Time after the assignment of a target at which the second half of the
  /// replicas loads it. The first half loads it as soon as it is staged, so
  /// that at most half of the capacity is unavailable at a time. A replica is
  /// unavailable until its longest stream has ended, about two seconds.
  duration second_batch_delay = milliseconds(5200);

  auto operator<=>(const staging_policy&) const = default;
};

/// \brief Decision core that delivers the target version to one replica.
///
/// It fetches and stages the chunks, has all staged bytes verified right before
/// it requests the load, verifies those again that were read too long ago, and
/// starts again when the replica has lost its weights. A newer version replaces
/// the target only if `IsReplaceable()`: versions in quick succession are each
/// delivered, because the origin may fail during the newest one and leave the
/// replica with weights that are too old.
class weight_stager {
 public:
  struct target_assigned {
    std::uint64_t version = 0;
    std::size_t chunks = 0;
    /// Whether the local replica may already hold staged chunks of it.
    bool may_be_staged = false;
    /// Time that the origin's link takes for one chunk; zero if unknown.
    duration origin_chunk_time = {};

    auto operator<=>(const target_assigned&) const = default;
  };
  struct peers_changed {
    std::vector<staging_peer> peers;
    region_id origin_region;

    bool operator==(const peers_changed&) const = default;
  };
  enum class fetch_result {
    kFetched,
    kMissing,  ///< The source does not have the chunk yet.
    kBusy,     ///< The link of the source is reserved for too long.
    kFailed
  };
  /// \brief A transfer ended; the digest of its bytes has been verified.
  struct fetch_ended {
    std::size_t chunk = 0;
    staging_source source;
    fetch_result result = fetch_result::kFetched;
    /// From the first byte to the last one.
    duration transfer = {};
    /// `Overdue()` of the peer; nothing if it did not tell.
    std::optional<duration> overdue;

    bool operator==(const fetch_ended&) const = default;
  };
  struct stage_ended {
    std::size_t chunk = 0;
    bool staged = false;

    auto operator<=>(const stage_ended&) const = default;
  };
  /// \brief A staged chunk was read back.
  struct verify_ended {
    std::size_t chunk = 0;
    bool intact = false;  ///< The bytes match the digest.
    time_point read_at;   ///< Start of the read.

    auto operator<=>(const verify_ended&) const = default;
  };
  struct load_ended {
    bool accepted = false;

    auto operator<=>(const load_ended&) const = default;
  };
  /// \brief State that the replica reported.
  struct replica_observed {
    std::uint64_t version = 0;  ///< 0 if it holds no weights.
    bool loading = false;

    auto operator<=>(const replica_observed&) const = default;
  };
  using event = std::variant<tick,
                             target_assigned,
                             peers_changed,
                             fetch_ended,
                             stage_ended,
                             verify_ended,
                             load_ended,
                             replica_observed>;

  struct fetch {
    std::size_t chunk = 0;
    staging_source source;

    auto operator<=>(const fetch&) const = default;
  };
  struct stage {
    std::size_t chunk = 0;

    auto operator<=>(const stage&) const = default;
  };
  /// \brief Tell the gateways to send no more requests, because the replica is
  /// about to load weights.
  struct announce_load {
    auto operator<=>(const announce_load&) const = default;
  };
  /// \brief Read a staged chunk back and compare its digest.
  struct verify {
    std::size_t chunk = 0;

    auto operator<=>(const verify&) const = default;
  };
  /// \brief Request the replica to load the staged weights. The request must
  /// not be sent after `accept_by`, when the verification has expired.
  struct load {
    std::uint64_t version = 0;
    time_point accept_by;

    auto operator<=>(const load&) const = default;
  };
  using action = std::variant<fetch, stage, announce_load, verify, load>;

  weight_stager(staging_policy policy, staging_peer self)
      : policy_(policy), self_(std::move(self)) {}

  std::vector<action> Handle(const event& event, time_point now);
  std::optional<time_point> NextDeadline() const;

  std::uint64_t target() const { return target_.version; }
  /// \brief Whether all chunks of the target have been fetched.
  bool IsFetched() const;
  /// \brief `OriginRank()` of this agent for a chunk of the target.
  std::size_t origin_rank(std::size_t chunk) const {
    return origin_ranks_[chunk];
  }
  /// \brief Time since a chunk of the target has been due at the origin, as far
  /// as this agent knows; negative if it is due later.
  ///
  /// A failed request to the origin postpones the moment, and the agents that
  /// wait for this one learn the new moment. They can thus tell an outage of
  /// the origin from a failure of the agent that is assigned to the chunk.
  duration Overdue(std::size_t chunk, time_point now) const;
  /// \brief Whether gateways should send no requests because of a load.
  bool IsLoadPending() const { return load_phase_ != load_phase::kNone; }
  /// \brief Whether a newer version may replace the target, because the replica
  /// has accepted to load it or staging has stalled.
  bool IsReplaceable(time_point now) const;
  /// \brief Whether the replica serves the target.
  bool IsServing() const {
    return target_.version > 0 && replica_.version == target_.version;
  }

 private:
  enum class chunk_phase { kMissing, kFetching, kFetched, kStaging, kStaged };
  struct chunk_state {
    chunk_phase phase = chunk_phase::kMissing;
    time_point not_before;
    std::size_t source = 0;    // of the next source, modulo their number
    std::size_t attempts = 0;  // at that source
    std::size_t local_replica_failures = 0;
    bool try_local_replica = false;
    time_point origin_due;  // see `Overdue()`
    /// Whether none of the agents that were asked to wait for the chunk, since
    /// the first source was last tried, knew of a recent request to the origin.
    bool fetchers_silent = true;
    bool verifying = false;  // a read of the staged bytes is in progress
    std::optional<time_point> verified_at;  // start of the last intact read
  };
  enum class load_phase { kNone, kAnnounced, kVerifying, kRequested };

  void On(const tick& event);
  void On(const target_assigned& event);
  void On(const peers_changed& event);
  void On(const fetch_ended& event);
  void On(const stage_ended& event);
  void On(const verify_ended& event);
  void On(const load_ended& event);
  void On(const replica_observed& event);

  void Advance();
  void StartFetches();
  bool HasCapacityFor(const staging_source& source) const;
  void StartFetch(std::size_t chunk, const staging_source& source);
  void StageFetched();
  void AdvanceLoad();
  void StartVerification();
  void ForgetVerification();
  /// \brief Reads the chunks whose verification is missing or has expired, or
  /// requests the load if there are none.
  void AdvanceVerification();
  /// \brief Whether a chunk is verified for as long as a load request takes.
  bool IsVerified(const chunk_state& chunk) const;
  bool AllStaged() const;
  bool IsInSecondBatch() const;
  const staging_source& SourceOf(std::size_t chunk) const;
  duration OriginPatience(std::size_t chunk) const;
  /// \brief Whether this agent leaves the origin to those that are assigned to
  /// the chunk or replace them.
  bool LeavesOriginToOthers(std::size_t chunk) const;
  /// \brief Whether this agent may turn to the origin although the agents
  /// before it live, because they may be cut off from the origin.
  bool IsOriginRetryDue(std::size_t chunk) const;
  /// \brief Records what a source tells of the agents that ask the origin.
  void ObserveFetchers(const fetch_ended& event);
  /// \brief Postpones a chunk after a failed request to the origin.
  void RecordOriginFailure(std::size_t chunk);
  void PlanSources();
  /// \brief Delays the chunks that this agent fetches from the origin until the
  /// origin's link is expected to have capacity for them.
  void ScheduleOriginFetches();
  /// \brief Time that the origin's link takes for all chunks before one, except
  /// those that are transferred beside it.
  duration OriginLinkTime(std::size_t chunks_before) const;
  /// \brief Time from which the origin's link has capacity for a chunk.
  time_point OriginSlot(std::size_t chunk) const;

  staging_policy policy_;
  staging_peer self_;
  std::vector<staging_peer> peers_;
  region_id origin_region_;
  target_assigned target_;
  time_point assigned_at_;
  std::vector<chunk_state> chunks_;
  std::vector<std::vector<staging_source>> sources_;  // by chunk
  std::vector<std::size_t> origin_ranks_;             // by chunk
  std::vector<std::size_t> fetch_order_;
  std::size_t active_fetches_ = 0;
  std::size_t fetch_window_ = 1;
  std::size_t active_origin_fetches_ = 0;
  bool origin_failing_ = false;  // the last request to the origin failed
  std::optional<time_point> origin_failed_until_;  // as far as is known
  replica_observed replica_;
  bool replica_known_ = false;
  load_phase load_phase_ = load_phase::kNone;
  std::size_t max_reads_ = 0;   // of staged chunks at a time
  bool load_accepted_ = false;  // the replica has accepted to load the target
  time_point last_progress_;
  time_point load_not_before_;
  time_point now_;
  std::vector<action> actions_;
};

static_assert(decision_core<weight_stager>);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_STAGING_WEIGHT_STAGER_H_
