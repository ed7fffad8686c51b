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

/// \brief Constants of the staging of weights.
struct staging_policy {
  /// Transfers at a time. Most of them wait at a peer for a chunk that is on
  /// its way there; those that run share the link of the VM with streams.
  std::size_t parallel_fetches = 10;
  /// Transfers from the origin at a time. Chunks that arrive one after the
  /// other can be passed on while the next ones come.
  std::size_t parallel_from_origin = 1;
  /// A transfer that takes longer shows that the link of the VM is full: fewer
  /// are made at a time, so that requests to the replica are not held up.
  duration slow_transfer = milliseconds(250);
  /// Pause after a source did not have the chunk. It has been asked to wait.
  duration missing_pause = milliseconds(30);
  duration failure_pause = milliseconds(150);
  /// Reads of the own replica that may fail before others are asked; it may
  /// be restarting.
  std::size_t own_replica_failures = 3;
  /// A source that has been waited at for the chunk, or whose link is taken, is
  /// asked this often.
  std::size_t asks_of_source = 3;
  /// Pause after an order that could not be carried out.
  duration order_pause = milliseconds(300);
  /// Time between the announcement of a load and its order. Entries stop
  /// sending in it, so that no request waits at the replica for the load.
  duration announce_time = milliseconds(350);
  /// Time without progress after which a newer version replaces one that is
  /// not loaded yet.
  duration stall_time = milliseconds(1200);
  /// Time after the naming of a version at which the second half of the
  /// replicas change to it. The first half changes as soon as it can, so that
  /// only half of the capacity is missing at a time. A replica is away until
  /// its longest stream has ended, about two seconds.
  duration second_batch_delay = milliseconds(5200);

  auto operator<=>(const staging_policy&) const = default;
};

/// \brief Decision core that brings the named weights to one replica.
///
/// It fetches the chunks, stages them, has all staged bytes verified right
/// before the replica is ordered to load them, and starts again when the
/// replica has lost its weights. A newer version replaces the target when
/// `IsReplaceable()`: versions that follow each other quickly are each brought
/// to the replica, because the origin may fail during the newest one and leave
/// the replica with weights that are too old.
class weight_stager {
 public:
  struct target_assigned {
    std::uint64_t version = 0;
    std::size_t chunks = 0;
    /// Whether the own replica may hold chunks of it from before.
    bool may_be_staged = false;

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
    kBusy,     ///< The link of the source is taken for too long.
    kFailed
  };
  /// \brief A transfer ended; its bytes were checked against their digest.
  struct fetch_ended {
    std::size_t chunk = 0;
    staging_source source;
    fetch_result result = fetch_result::kFetched;
    /// From the first byte to the last one.
    duration transfer = {};

    bool operator==(const fetch_ended&) const = default;
  };
  struct stage_ended {
    std::size_t chunk = 0;
    bool staged = false;

    auto operator<=>(const stage_ended&) const = default;
  };
  /// \brief All staged chunks were read back; `spoilt` differ or are missing.
  struct verify_ended {
    std::vector<std::size_t> corrupt_chunks;

    bool operator==(const verify_ended&) const = default;
  };
  struct load_ended {
    bool accepted = false;

    auto operator<=>(const load_ended&) const = default;
  };
  /// \brief What the replica says of itself.
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
  /// \brief Tell the entries to send no more requests, because the replica
  /// will load.
  struct announce_load {
    auto operator<=>(const announce_load&) const = default;
  };
  /// \brief Read all staged chunks back and compare their digests.
  struct verify {
    auto operator<=>(const verify&) const = default;
  };
  /// \brief Order the replica to load what is staged.
  struct load {
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
  /// \brief Whether entries should send no requests, because of a load.
  bool IsLoadPending() const { return order_ != order_phase::kNone; }
  /// \brief Whether the target may give way to a newer version: the replica was
  /// ordered to load it, or it makes no progress.
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
    std::size_t source = 0;  // index of the next source, without a bound
    std::size_t asks = 0;    // of that source
    std::size_t own_replica_failures = 0;
    bool try_own_replica = false;
  };
  enum class order_phase { kNone, kAnnounced, kVerifying, kOrdering };

  void On(const tick& event);
  void On(const target_assigned& event);
  void On(const peers_changed& event);
  void On(const fetch_ended& event);
  void On(const stage_ended& event);
  void On(const verify_ended& event);
  void On(const load_ended& event);
  void On(const replica_observed& event);

  void Advance();
  void FetchNext();
  void StartFetch(std::size_t chunk, const staging_source& source);
  void StageNext();
  void OrderNext();
  bool AllStaged() const;
  bool IsSecondWave() const;
  const staging_source& SourceOf(std::size_t chunk) const;
  void PlanSources();

  staging_policy policy_;
  staging_peer self_;
  std::vector<staging_peer> peers_;
  region_id origin_region_;
  target_assigned target_;
  time_point named_at_;
  std::vector<chunk_state> chunks_;
  std::vector<std::vector<staging_source>> sources_;  // by chunk
  std::vector<std::size_t> fetch_order_;
  std::size_t fetching_ = 0;
  std::size_t parallel_ = 1;
  std::size_t fetching_from_origin_ = 0;
  replica_observed replica_;
  bool replica_known_ = false;
  order_phase order_ = order_phase::kNone;
  bool ordered_ = false;  // the replica has accepted to load the target
  time_point progress_at_;
  time_point order_not_before_;
  time_point now_;
  std::vector<action> actions_;
};

static_assert(decision_core<weight_stager>);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_STAGING_WEIGHT_STAGER_H_
