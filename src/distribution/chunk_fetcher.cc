#include "fireflyslip/distribution/chunk_fetcher.h"

#include <algorithm>
#include <bit>
#include <cassert>
#include <cstddef>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "fireflyslip/core/rendezvous.h"
#include "fireflyslip/core/result.h"

namespace fireflyslip::internal {
namespace {

constexpr std::size_t kInvalidIndex = std::numeric_limits<std::size_t>::max();
constexpr std::size_t kMaxDownloadsPerPeer = 2;
constexpr unsigned kMaxDoublings = 4;
// Number of consecutive valid chunks that resets the corruption count of a
// peer.
constexpr unsigned kCorruptionResetThreshold = 8;
// Ranks sources in other regions after all sources in the own region.
constexpr std::size_t kOtherRegionPenalty = 1U << 20U;
// Interval at which timeouts, backoffs and overdue chunks are checked.
constexpr duration kCheckInterval = milliseconds(250);
constexpr duration kProbeInterval = milliseconds(500);
constexpr std::string_view kHashDomain = "chunk_fetcher";

std::uint64_t HashOf(std::string_view text) {
  return RendezvousScore(kHashDomain, text);
}

// Rendezvous score of two precomputed hashes. All agents score every member for
// every chunk, and hashing the strings each time is too slow.
std::uint64_t Score(std::uint64_t key, std::uint64_t node) {
  std::uint64_t x = key ^ (node * 0x9e3779b97f4a7c15ULL);
  x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27U)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31U);
}

struct member_state {
  fetch_member member;
  std::uint64_t hash = 0;
};

struct data_centre_state {
  data_centre_id id;
  region_id region;
  std::uint64_t hash = 0;
  std::vector<std::size_t> members;  // Indices of members.
};

enum class chunk_phase { kMissing, kFetching, kReceived, kStaged };

struct chunk_status {
  chunk_phase phase = chunk_phase::kMissing;
  chunk_source source;
  time_point deadline;  // Of the transfer or of staging.
  unsigned retries = 0;
  bool imported = false;        // This agent imports it into the data centre.
  time_point fetch_not_before;  // Earliest import, if assigned.
  std::size_t origin_position = kInvalidIndex;  // Index in `origin_order_`.
  std::optional<time_point> overdue_since;
  std::size_t next_probe = 0;
};

struct peer_state {
  chunk_bitmap known_chunks;  // Empty before the first announcement.
  bool same_data_centre = false;
  bool same_region = false;
  bool neighbour = false;
  bool complete = false;
  bool announced = false;
  std::size_t transfers = 0;
  time_point backoff_until;
  unsigned timeouts = 0;
  unsigned corruptions = 0;
  unsigned consecutive_valid = 0;  // Chunks since the last corrupt one.
};

duration Doubled(duration base, unsigned times) {
  return base * (1U << std::min(times, kMaxDoublings));
}

}  // namespace

class chunk_fetcher_state {
 public:
  chunk_fetcher_state(chunk_fetcher_settings settings, std::uint64_t seed)
      : settings_(std::move(settings)),
        limits_(settings_.limits),
        random_(seed),
        self_hash_(HashOf(settings_.self.vm.value())) {}

  std::vector<chunk_fetcher_action> Handle(const chunk_fetcher_event& event,
                                           time_point now,
                                           const chunk_selector& selector) {
    actions_.clear();
    std::visit([&](const auto& e) { On(e, now); }, event);
    if (target_ && !members_.empty()) {
      CheckTimeouts(now);
      Schedule(now, selector);
      Announce(now);
    }
    return std::move(actions_);
  }

  std::optional<time_point> NextDeadline() const {
    if (!target_ || members_.empty()) {
      return std::nullopt;
    }
    std::optional<time_point> next;
    const auto take = [&next](time_point t) {
      next = next ? std::min(*next, t) : t;
    };
    if (!complete_sent_) {
      take(next_check_);
    }
    if (announcement_pending_) {
      take(next_announce_);
    }
    if (NeedsRefresh()) {
      take(next_refresh_);
    }
    return next;
  }

  bool IsComplete() const { return complete_sent_; }
  const chunk_bitmap& staged() const { return staged_; }

 private:
  // Events.

  void On(const target_changed& e, time_point now) {
    assert(e.content != nullptr);
    if (target_ && target_->name == e.content->name &&
        target_->version == e.version) {
      return;
    }
    std::set<digest> names;
    for (const chunk_entry& chunk : e.content->chunks) {
      names.insert(chunk.name);
    }
    CancelTransfers(
        [&](std::size_t i) { return !names.contains(chunks_[i].name); });
    const std::map<digest, std::size_t> old_indices = std::move(indices_);
    const std::vector<chunk_status> old_status = std::move(status_);
    model_ = e.model;
    version_ = e.version;
    target_ = e.content;
    chunks_ = DistinctChunks(*target_);
    indices_.clear();
    hashes_.clear();
    std::set<digest> kept;
    for (std::size_t i = 0; i < chunks_.size(); ++i) {
      indices_[chunks_[i].name] = i;
      hashes_.push_back(HashOf(chunks_[i].name.ToHex()));
      if (staged_names_.contains(chunks_[i].name)) {
        kept.insert(chunks_[i].name);
      }
    }
    // Staged chunks of the superseded version are kept for a rollback.
    for (const auto& [name, index] : old_indices) {
      if (staged_names_.contains(name)) {
        kept.insert(name);
      }
    }
    staged_names_ = std::move(kept);
    status_.assign(chunks_.size(), {});
    // Chunks that are not part of the superseded version come first, so that
    // the origin window covers chunks that the data centre does not have yet.
    import_order_.clear();
    for (std::size_t i = 0; i < chunks_.size(); ++i) {
      if (!old_indices.contains(chunks_[i].name)) {
        import_order_.push_back(i);
      }
    }
    for (std::size_t i = 0; i < chunks_.size(); ++i) {
      if (old_indices.contains(chunks_[i].name)) {
        import_order_.push_back(i);
      }
    }
    staged_ = chunk_bitmap(chunks_.size());
    missing_ = chunk_bitmap(chunks_.size());
    known_local_ = chunk_bitmap(chunks_.size());
    holders_.assign(chunks_.size(), 0);
    for (std::size_t i = 0; i < chunks_.size(); ++i) {
      missing_.Set(i);
    }
    for (auto& [vm, peer] : peers_) {
      peer.known_chunks = {};
      peer.complete = false;
      peer.announced = false;
    }
    received_ = 0;
    in_flight_.clear();
    for (std::size_t i = 0; i < chunks_.size(); ++i) {
      const auto old = old_indices.find(chunks_[i].name);
      if (old != old_indices.end()) {
        AdoptTransfer(i, old_status[old->second]);
      }
    }
    complete_sent_ = false;
    origin_window_start_ = 0;
    last_progress_ = now;
    for (std::size_t i = 0; i < chunks_.size(); ++i) {
      if (staged_names_.contains(chunks_[i].name)) {
        MarkStaged(i, now);
      }
    }
    fetchers_.assign(chunks_.size(), {});
    AssignFetchers(now, /*initial=*/true);
    ScheduleAnnouncement();
    next_announce_ = now;
    next_refresh_ = now + limits_.refresh_interval;
    next_check_ = now;
    ReportCompletion();
  }

  void On(const fetch_members_changed& e, time_point now) {
    const bool initial = members_.empty();
    members_.clear();
    data_centres_.clear();
    std::map<vm_id, fetch_member> unique;
    for (const fetch_member& m : e.members) {
      unique.emplace(m.vm, m);
    }
    unique[settings_.self.vm] = settings_.self;
    std::map<data_centre_id, data_centre_state> centres;
    for (const auto& [vm, member] : unique) {
      data_centre_state& centre = centres[member.data_centre];
      centre.id = member.data_centre;
      centre.region = member.region;
      centre.members.push_back(members_.size());
      members_.push_back({member, HashOf(vm.value())});
    }
    for (auto& [id, centre] : centres) {
      centre.hash = HashOf(id.value());
      if (id == settings_.self.data_centre) {
        own_data_centre_ = data_centres_.size();
      }
      data_centres_.push_back(std::move(centre));
    }
    origin_region_ = settings_.origin_region;
    if (origin_region_.empty()) {
      origin_region_ = data_centres_.front().region;
      for (const data_centre_state& centre : data_centres_) {
        origin_region_ = std::min(origin_region_, centre.region);
      }
    }
    for (auto it = peers_.begin(); it != peers_.end();) {
      if (unique.contains(it->first)) {
        ++it;
        continue;
      }
      ResetPeer(it->first, it->second);
      it = peers_.erase(it);
    }
    SelectNeighbours();
    AssignFetchers(now, initial);
    ScheduleAnnouncement();
  }

  void On(const peer_announcement& e, time_point now) {
    if (!target_ || e.manifest_name != target_->name ||
        e.chunks.size() != chunks_.size() || e.vm == settings_.self.vm) {
      return;
    }
    peer_state* peer = FindPeer(e.vm);
    if (peer == nullptr) {
      return;
    }
    const bool unknown = peer->known_chunks.size() == 0;
    bool lost_chunks = false;
    if (unknown) {
      peer->known_chunks = chunk_bitmap(chunks_.size());
    }
    const auto& before = peer->known_chunks.words();
    const auto& after = e.chunks.words();
    for (std::size_t w = 0; w < after.size(); ++w) {
      std::uint64_t changed = before[w] ^ after[w];
      while (changed != 0) {
        const auto bit = static_cast<std::size_t>(std::countr_zero(changed));
        changed &= changed - 1;
        const std::size_t index = (w * chunk_bitmap::kWordBits) + bit;
        if (e.chunks.Test(index)) {
          if (peer->same_data_centre) {
            ++holders_[index];
            MarkKnownLocal(index, now);
          }
        } else {
          lost_chunks = true;
          if (peer->same_data_centre) {
            --holders_[index];
          }
        }
      }
    }
    peer->known_chunks = e.chunks;
    peer->complete = e.chunks.IsFull();
    // A new or restarted peer gets the own bitmap immediately.
    if ((unknown && !peer->announced) || lost_chunks) {
      AnnounceBitmap(e.vm, *peer);
    }
  }

  void On(const peer_lost& e, time_point /*now*/) {
    const auto it = peers_.find(e.vm);
    if (it != peers_.end()) {
      ResetPeer(e.vm, it->second);
    }
  }

  void On(const chunk_received& e, time_point now) {
    const std::size_t index = IndexOf(e.chunk);
    if (index == kInvalidIndex ||
        status_[index].phase != chunk_phase::kFetching ||
        status_[index].source != e.source) {
      return;
    }
    EndTransfer(index);
    switch (e.check) {
      case chunk_check::kOk:
        status_[index].phase = chunk_phase::kReceived;
        status_[index].deadline = now + limits_.staging_timeout;
        missing_.Reset(index);
        ++received_;
        last_progress_ = now;
        if (e.source.peer) {
          peer_state& peer = peers_[*e.source.peer];
          peer.timeouts = 0;
          if (++peer.consecutive_valid >= kCorruptionResetThreshold) {
            peer.corruptions = 0;
          }
        } else {
          origin_failures_ = 0;
        }
        break;
      case chunk_check::kCorrupt:
        if (e.source.peer) {
          peer_state& peer = peers_[*e.source.peer];
          BackOff(peer, now + CorruptBackoff(peer.corruptions++));
          peer.consecutive_valid = 0;
        } else {
          BackOffOrigin(limits_.timeout_backoff, now);
        }
        break;
      case chunk_check::kNotFound:
        if (!e.source.peer) {
          BackOffOrigin(limits_.timeout_backoff, now);
        } else {
          ClearPeerChunk(peers_[*e.source.peer], index);
        }
        break;
    }
  }

  void On(const transfer_failed& e, time_point now) {
    const std::size_t index = IndexOf(e.chunk);
    if (index == kInvalidIndex ||
        status_[index].phase != chunk_phase::kFetching ||
        status_[index].source != e.source) {
      return;
    }
    EndTransfer(index);
    if (e.reason == transfer_failure::kTimeout) {
      BackOffAfterTimeout(e.source, now);
      ++status_[index].retries;
    } else if (e.source.peer) {
      BackOff(peers_[*e.source.peer], now + Jittered(limits_.refused_backoff));
    } else {
      BackOffOrigin(limits_.refused_backoff, now);
    }
  }

  void On(const chunk_staged& e, time_point now) {
    staged_names_.insert(e.chunk);
    const std::size_t index = IndexOf(e.chunk);
    if (index == kInvalidIndex ||
        status_[index].phase == chunk_phase::kStaged) {
      return;
    }
    if (status_[index].phase == chunk_phase::kFetching) {
      actions_.emplace_back(cancel_fetch{e.chunk, status_[index].source});
      EndTransfer(index);
    }
    MarkStaged(index, now);
    ScheduleAnnouncement();
    if (status_[index].imported) {
      NotifyWaitingFetchers(index);
    }
    ReportCompletion();
  }

  void On(const staging_listed& e, time_point now) {
    staged_names_ = std::set<digest>(e.chunks.begin(), e.chunks.end());
    for (std::size_t i = 0; i < chunks_.size(); ++i) {
      const bool listed = staged_names_.contains(chunks_[i].name);
      if (listed && status_[i].phase != chunk_phase::kStaged) {
        if (status_[i].phase == chunk_phase::kFetching) {
          actions_.emplace_back(
              cancel_fetch{chunks_[i].name, status_[i].source});
          EndTransfer(i);
        }
        MarkStaged(i, now);
        ScheduleAnnouncement();
      } else if (!listed && status_[i].phase == chunk_phase::kStaged) {
        status_[i].phase = chunk_phase::kMissing;
        staged_.Reset(i);
        missing_.Set(i);
        complete_sent_ = false;
        ScheduleAnnouncement();
      }
    }
    if (target_) {
      ReportCompletion();
    }
  }

  void On(const tick& /*e*/, time_point /*now*/) {}

  // Members, fetcher assignment and neighbours.

  peer_state* FindPeer(const vm_id& vm) {
    const auto it = peers_.find(vm);
    if (it != peers_.end()) {
      return &it->second;
    }
    const auto member = std::lower_bound(
        members_.begin(), members_.end(), vm,
        [](const member_state& m, const vm_id& v) { return m.member.vm < v; });
    if (member == members_.end() || member->member.vm != vm) {
      return nullptr;
    }
    peer_state peer;
    peer.same_data_centre =
        member->member.data_centre == settings_.self.data_centre;
    peer.same_region = member->member.region == settings_.self.region;
    return &peers_.emplace(vm, std::move(peer)).first->second;
  }

  // The union of several rings in different hash orders is a random regular
  // graph: it is connected, has a small diameter, and both ends of an edge
  // compute the same edge.
  void SelectNeighbours() {
    for (auto& [vm, peer] : peers_) {
      peer.neighbour = false;
    }
    const std::vector<std::size_t>& local =
        data_centres_[own_data_centre_].members;
    std::set<std::size_t> chosen;
    if (local.size() <= limits_.neighbours + 1) {
      chosen.insert(local.begin(), local.end());
    } else {
      for (std::size_t ring = 0; ring < limits_.neighbours / 2; ++ring) {
        const std::uint64_t mine = Score(ring, self_hash_);
        // Unsigned subtraction yields the distance on the ring of 64-bit
        // hashes.
        std::pair<std::uint64_t, std::size_t> next{UINT64_MAX, kInvalidIndex};
        std::pair<std::uint64_t, std::size_t> previous{UINT64_MAX,
                                                       kInvalidIndex};
        for (const std::size_t m : local) {
          if (members_[m].hash == self_hash_) {
            continue;
          }
          const std::uint64_t score = Score(ring, members_[m].hash);
          next = std::min(next, {score - mine, m});
          previous = std::min(previous, {mine - score, m});
        }
        chosen.insert(next.second);
        chosen.insert(previous.second);
      }
    }
    for (const std::size_t m : chosen) {
      if (members_[m].member.vm != settings_.self.vm) {
        FindPeer(members_[m].member.vm)->neighbour = true;
      }
    }
  }

  // Data centres that download the chunk from the origin: one in each region
  // other than the origin's, so that a region is entered by one copy only, and
  // the remaining ones in the region of the origin.
  std::vector<bool> OriginCentres(std::size_t chunk) const {
    std::vector<bool> chosen(data_centres_.size());
    std::vector<std::pair<std::uint64_t, std::size_t>> order;
    for (std::size_t c = 0; c < data_centres_.size(); ++c) {
      order.emplace_back(Score(hashes_[chunk], data_centres_[c].hash), c);
    }
    std::sort(order.rbegin(), order.rend());
    std::set<region_id> regions;
    const bool has_origin_region =
        std::any_of(data_centres_.begin(), data_centres_.end(),
                    [this](const data_centre_state& centre) {
                      return centre.region == origin_region_;
                    });
    std::size_t budget = std::max<std::size_t>(limits_.max_origin_copies, 1);
    std::size_t remote_budget = has_origin_region ? budget - 1 : budget;
    for (const auto& [score, c] : order) {
      const data_centre_state& centre = data_centres_[c];
      if (centre.region != origin_region_ && remote_budget > 0 &&
          regions.insert(centre.region).second) {
        chosen[c] = true;
        --remote_budget;
        --budget;
      }
    }
    for (const auto& [score, c] : order) {
      if (data_centres_[c].region == origin_region_ && budget > 0) {
        chosen[c] = true;
        --budget;
      }
    }
    return chosen;
  }

  // Whether the data centre is the first of its region in the rendezvous order
  // of the chunk. Only this one imports the chunk from another region.
  bool IsRegionImporter(std::size_t chunk, std::size_t centre) const {
    const std::uint64_t mine =
        Score(hashes_[chunk], data_centres_[centre].hash);
    return std::none_of(data_centres_.begin(), data_centres_.end(),
                        [&](const data_centre_state& other) {
                          return other.region == data_centres_[centre].region &&
                                 Score(hashes_[chunk], other.hash) > mine;
                        });
  }

  // Index of the member that is the fetcher of the chunk in a data centre.
  std::size_t FetcherOf(std::size_t chunk, std::size_t centre) const {
    std::size_t best = kInvalidIndex;
    std::uint64_t best_score = 0;
    for (const std::size_t m : data_centres_[centre].members) {
      const std::uint64_t score = Score(hashes_[chunk], members_[m].hash);
      if (best == kInvalidIndex || score > best_score) {
        best = m;
        best_score = score;
      }
    }
    return best;
  }

  std::size_t OwnPosition(std::size_t chunk) const {
    const std::uint64_t mine = Score(hashes_[chunk], self_hash_);
    const std::vector<std::size_t>& local =
        data_centres_[own_data_centre_].members;
    return static_cast<std::size_t>(
        std::count_if(local.begin(), local.end(), [&](std::size_t m) {
          return Score(hashes_[chunk], members_[m].hash) > mine;
        }));
  }

  void AssignFetchers(time_point now, bool initial) {
    if (!target_ || members_.empty()) {
      return;
    }
    assigned_chunks_.clear();
    origin_order_.clear();
    from_origin_ = chunk_bitmap(chunks_.size());
    for (const std::size_t i : import_order_) {
      status_[i].origin_position = kInvalidIndex;
      if (OriginCentres(i)[own_data_centre_]) {
        from_origin_.Set(i);
        status_[i].origin_position = origin_order_.size();
        origin_order_.push_back(i);
      }
      const vm_id fetcher = members_[FetcherOf(i, own_data_centre_)].member.vm;
      if (fetcher == settings_.self.vm) {
        assigned_chunks_.push_back(i);
        if (fetchers_[i] != fetcher) {
          // A new fetcher does not know whether its predecessor imported the
          // chunk, so it waits for announcements first.
          status_[i].fetch_not_before =
              now + (initial ? limits_.discovery_delay
                             : Jittered(limits_.takeover_timeout));
        }
      }
      fetchers_[i] = fetcher;
    }
    origin_window_start_ = 0;
    for (std::size_t i = 0; i < chunks_.size(); ++i) {
      if (known_local_.Test(i)) {
        AdvanceOriginWindow(i);
      }
    }
  }

  // Chunk state.

  std::size_t IndexOf(const digest& name) const {
    const auto it = indices_.find(name);
    return it == indices_.end() ? kInvalidIndex : it->second;
  }

  void AdvanceOriginWindow(std::size_t index) {
    if (status_[index].origin_position != kInvalidIndex) {
      origin_window_start_ =
          std::max(origin_window_start_, status_[index].origin_position + 1);
    }
  }

  void MarkKnownLocal(std::size_t index, time_point now) {
    if (!known_local_.Test(index)) {
      known_local_.Set(index);
      last_progress_ = now;
      AdvanceOriginWindow(index);
    }
  }

  void MarkStaged(std::size_t index, time_point now) {
    if (status_[index].phase == chunk_phase::kReceived) {
      --received_;
    }
    status_[index].phase = chunk_phase::kStaged;
    missing_.Reset(index);
    staged_.Set(index);
    MarkKnownLocal(index, now);
  }

  void ReportCompletion() {
    if (!complete_sent_ && staged_.IsFull()) {
      complete_sent_ = true;
      actions_.emplace_back(distribution_complete{model_, version_});
    }
  }

  // Transfers.

  std::size_t TransferCount() const {
    return peer_transfers_ + origin_transfers_;
  }

  void StartTransfer(std::size_t index, chunk_source source, time_point now) {
    chunk_status& chunk = status_[index];
    chunk.phase = chunk_phase::kFetching;
    chunk.deadline = now + Doubled(limits_.transfer_timeout, chunk.retries);
    missing_.Reset(index);
    in_flight_.push_back(index);
    if (source.peer) {
      ++peer_transfers_;
      ++FindPeer(*source.peer)->transfers;
      actions_.emplace_back(fetch_from_peer{chunks_[index].name, *source.peer});
    } else {
      ++origin_transfers_;
      actions_.emplace_back(fetch_from_origin{chunks_[index].name});
    }
    chunk.source = std::move(source);
  }

  // Ends a transfer and marks the chunk as missing.
  void EndTransfer(std::size_t index) {
    chunk_status& chunk = status_[index];
    std::erase(in_flight_, index);
    if (chunk.source.peer) {
      --peer_transfers_;
      --peers_[*chunk.source.peer].transfers;
    } else {
      --origin_transfers_;
    }
    chunk.phase = chunk_phase::kMissing;
    missing_.Set(index);
  }

  // Adopts a chunk that is in flight or in memory from the superseded version.
  void AdoptTransfer(std::size_t index, const chunk_status& old) {
    if (old.phase != chunk_phase::kFetching &&
        old.phase != chunk_phase::kReceived) {
      return;
    }
    status_[index].phase = old.phase;
    status_[index].source = old.source;
    status_[index].deadline = old.deadline;
    status_[index].retries = old.retries;
    status_[index].imported = old.imported;
    missing_.Reset(index);
    if (old.phase == chunk_phase::kFetching) {
      in_flight_.push_back(index);
    } else {
      ++received_;
    }
  }

  template <typename Predicate>
  void CancelTransfers(const Predicate& matches) {
    const std::vector<std::size_t> in_flight = in_flight_;
    for (const std::size_t i : in_flight) {
      if (matches(i)) {
        actions_.emplace_back(cancel_fetch{chunks_[i].name, status_[i].source});
        EndTransfer(i);
      }
    }
  }

  void ResetPeer(const vm_id& vm, peer_state& peer) {
    CancelTransfers(
        [&](std::size_t i) { return status_[i].source.peer == vm; });
    if (peer.same_data_centre && peer.known_chunks.size() != 0) {
      for (std::size_t i = 0; i < chunks_.size(); ++i) {
        holders_[i] -= peer.known_chunks.Test(i) ? 1 : 0;
      }
    }
    peer.known_chunks = {};
    peer.complete = false;
    peer.announced = false;
  }

  void ClearPeerChunk(peer_state& peer, std::size_t index) {
    if (peer.known_chunks.size() != 0 && peer.known_chunks.Test(index)) {
      peer.known_chunks.Reset(index);
      peer.complete = false;
      holders_[index] -= peer.same_data_centre ? 1 : 0;
    }
  }

  void BackOffAfterTimeout(const chunk_source& source, time_point now) {
    if (source.peer) {
      peer_state& peer = peers_[*source.peer];
      BackOff(peer, now + Doubled(limits_.timeout_backoff, peer.timeouts++));
    } else {
      BackOffOrigin(limits_.timeout_backoff, now);
    }
  }

  duration CorruptBackoff(unsigned earlier) const {
    return earlier == 0 ? limits_.first_corrupt_backoff
                        : Doubled(limits_.corrupt_backoff, earlier - 1);
  }

  static void BackOff(peer_state& peer, time_point until) {
    peer.backoff_until = std::max(peer.backoff_until, until);
  }

  void BackOffOrigin(duration base, time_point now) {
    origin_backoff_until_ = now + Jittered(Doubled(base, origin_failures_++));
  }

  duration Jittered(duration base) {
    return base + FromSeconds(ToSeconds(base) * random_.Fraction());
  }

  // Periodic checks.

  void CheckTimeouts(time_point now) {
    if (complete_sent_ || now < next_check_) {
      return;
    }
    next_check_ = now + kCheckInterval;
    const std::vector<std::size_t> in_flight = in_flight_;
    for (const std::size_t i : in_flight) {
      if (status_[i].deadline <= now) {
        const chunk_source source = status_[i].source;
        actions_.emplace_back(cancel_fetch{chunks_[i].name, source});
        EndTransfer(i);
        BackOffAfterTimeout(source, now);
        ++status_[i].retries;
      }
    }
    const std::size_t margin = 2 * limits_.origin_window;
    for (std::size_t i = 0; i < chunks_.size(); ++i) {
      chunk_status& chunk = status_[i];
      if (chunk.phase == chunk_phase::kReceived && chunk.deadline <= now) {
        --received_;
        chunk.phase = chunk_phase::kMissing;
        missing_.Set(i);
      }
      // When the origin order is exhausted, progress of other chunks must not
      // delay a chunk whose only holder sends corrupt bytes.
      const bool passed = !known_local_.Test(i) &&
                          chunk.origin_position + margin < origin_window_start_;
      const bool ended = origin_window_start_ == origin_order_.size();
      if (!chunk.overdue_since && chunk.origin_position != kInvalidIndex &&
          (passed || ended)) {
        chunk.overdue_since = now;
      }
    }
    check_overdue_ = true;
  }

  time_point OverdueReference(std::size_t index) const {
    const chunk_status& chunk = status_[index];
    return chunk.overdue_since ? std::min(*chunk.overdue_since, last_progress_)
                               : last_progress_;
  }

  // Scheduling.

  bool HasMemory() const {
    return TransferCount() + received_ < limits_.max_chunks_in_memory;
  }

  // A source that sent corrupt bytes is limited to one transfer at a time until
  // it proves reliable again.
  static bool IsUsable(const peer_state& peer, time_point now) {
    const std::size_t most = peer.corruptions > 0 ? 1 : kMaxDownloadsPerPeer;
    return peer.known_chunks.size() != 0 && peer.backoff_until <= now &&
           peer.transfers < most;
  }

  void Schedule(time_point now, const chunk_selector& selector) {
    if (staged_.IsFull()) {
      return;
    }
    for (const std::size_t i : assigned_chunks_) {
      if (missing_.Test(i) && status_[i].fetch_not_before <= now &&
          !HasRepeatedTimeouts(i)) {
        Import(i, now, /*overdue=*/false);
      }
    }
    if (check_overdue_) {
      check_overdue_ = false;
      ImportOverdue(now);
    }
    FetchFromNeighbours(now, selector);
  }

  // Whether a peer of the data centre that is not in backoff offers the chunk.
  bool IsOffered(std::size_t index, time_point now) const {
    if (holders_[index] == 0) {
      return false;
    }
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
      const peer_state& peer = entry.second;
      return peer.same_data_centre && peer.known_chunks.size() != 0 &&
             peer.known_chunks.Test(index) &&
             peer.backoff_until <= now + limits_.refused_backoff * 2;
    });
  }

  // Whether transfers of the chunk timed out repeatedly. The peers that offer
  // it may then never deliver it, and would otherwise be retried in turn.
  bool HasRepeatedTimeouts(std::size_t index) const {
    return status_[index].retries >= 2;
  }

  // Starts the import of a chunk into the data centre.
  void Import(std::size_t index, time_point now, bool overdue) {
    if (!HasMemory() ||
        (!HasRepeatedTimeouts(index) && IsOffered(index, now))) {
      return;
    }
    const bool from_origin = from_origin_.Test(index);
    // An overdue chunk is requested from the origin or from peers at random,
    // because either may offer it without delivering it.
    const bool peers_first =
        overdue ? random_.Below(2) == 0 : !from_origin || origin_failures_ > 0;
    if (peers_first) {
      ImportFromPeer(index, now, overdue);
      if (!missing_.Test(index)) {
        return;
      }
    }
    const bool origin = from_origin || overdue;
    if (origin && origin_backoff_until_ <= now &&
        origin_transfers_ < limits_.max_origin_downloads) {
      const std::size_t origin_position = status_[index].origin_position;
      if (overdue ||
          origin_position < origin_window_start_ + limits_.origin_window) {
        status_[index].imported = true;
        StartTransfer(index, {}, now);
      }
    }
  }

  void ImportFromPeer(std::size_t index, time_point now, bool overdue) {
    if (peer_transfers_ >= limits_.max_peer_downloads) {
      return;
    }
    const bool may_cross_regions = overdue || origin_failures_ > 0 ||
                                   IsRegionImporter(index, own_data_centre_);
    const vm_id* best = nullptr;
    std::size_t best_rank = kInvalidIndex;
    for (const auto& [vm, peer] : peers_) {
      if (peer.same_data_centre || !IsUsable(peer, now) ||
          !peer.known_chunks.Test(index) ||
          (!peer.same_region && !may_cross_regions)) {
        continue;
      }
      const std::size_t rank = (peer.same_region ? 0 : kOtherRegionPenalty) +
                               peer.transfers + peer.timeouts;
      if (rank < best_rank) {
        best_rank = rank;
        best = &vm;
      }
    }
    if (best == nullptr) {
      return;
    }
    if (best_rank >= kOtherRegionPenalty && !AcquireRegionBudget(index, now)) {
      return;
    }
    status_[index].imported = true;
    StartTransfer(index, {*best}, now);
  }

  // Rate limit of transfers between regions. Each agent of the region uses an
  // equal part of the rate.
  bool AcquireRegionBudget(std::size_t index, time_point now) {
    if (limits_.region_bytes_per_second == 0) {
      return true;
    }
    if (now < next_region_transfer_) {
      return false;
    }
    const auto region_agents = static_cast<std::size_t>(std::count_if(
        members_.begin(), members_.end(), [this](const member_state& m) {
          return m.member.region == settings_.self.region;
        }));
    next_region_transfer_ =
        now +
        FromSeconds(static_cast<double>(chunks_[index].size * region_agents) /
                    static_cast<double>(limits_.region_bytes_per_second));
    return true;
  }

  // Handles chunks whose import makes no progress. First probes members that
  // may have them; after a delay that grows with the own position in the
  // rendezvous order, imports them in place of the fetcher.
  void ImportOverdue(time_point now) {
    for (std::size_t i = 0; i < chunks_.size(); ++i) {
      const duration overdue_by = now - OverdueReference(i);
      if (!missing_.Test(i) || overdue_by < limits_.takeover_timeout ||
          (IsOffered(i, now) &&
           (!HasRepeatedTimeouts(i) || random_.Below(2) == 0))) {
        continue;
      }
      // Some attempts go to a probed member, so that a source that offers the
      // chunk but never delivers it is not the only one used.
      if (random_.Below(3) == 0 && next_probe_ <= now) {
        Probe(i, now);
      }
      if (missing_.Test(i) &&
          overdue_by >=
              limits_.takeover_timeout * static_cast<int>(2 + OwnPosition(i))) {
        Import(i, now, /*overdue=*/true);
      }
      if (missing_.Test(i) && next_probe_ <= now) {
        Probe(i, now);
      }
    }
  }

  // Requests a chunk from a member that has not announced it.
  void Probe(std::size_t index, time_point now) {
    if (!HasMemory() || peer_transfers_ >= limits_.max_peer_downloads) {
      return;
    }
    // Probes the fetchers of the data centres first, then all members in turn.
    const std::size_t step = status_[index].next_probe++;
    const std::size_t centres = data_centres_.size();
    const std::size_t candidate = step % (centres + members_.size());
    const std::size_t m =
        candidate < centres
            ? FetcherOf(index, (own_data_centre_ + candidate) % centres)
            : (candidate - centres + hashes_[index]) % members_.size();
    const vm_id& vm = members_[m].member.vm;
    if (vm == settings_.self.vm) {
      return;
    }
    const peer_state& peer = *FindPeer(vm);
    if (peer.backoff_until > now || peer.transfers >= kMaxDownloadsPerPeer) {
      return;
    }
    next_probe_ = now + kProbeInterval;
    status_[index].imported = true;
    StartTransfer(index, {vm}, now);
  }

  void FetchFromNeighbours(time_point now, const chunk_selector& selector) {
    while (peer_transfers_ < limits_.max_peer_downloads && HasMemory()) {
      std::vector<std::uint64_t> offered(missing_.words().size());
      for (const auto& [vm, peer] : peers_) {
        if (peer.same_data_centre && IsUsable(peer, now)) {
          for (std::size_t w = 0; w < offered.size(); ++w) {
            offered[w] |= peer.known_chunks.words()[w];
          }
        }
      }
      candidates_.clear();
      for (std::size_t w = 0; w < offered.size(); ++w) {
        std::uint64_t word = offered[w] & missing_.words()[w];
        while (word != 0) {
          const auto bit = static_cast<std::size_t>(std::countr_zero(word));
          word &= word - 1;
          const std::size_t index = (w * chunk_bitmap::kWordBits) + bit;
          candidates_.push_back({index, holders_[index]});
        }
      }
      if (candidates_.empty()) {
        return;
      }
      const std::size_t choice = selector.Select(candidates_, random_);
      assert(choice < candidates_.size());
      const std::size_t index = candidates_[choice].index;
      StartTransfer(index, {SelectPeer(index, now)}, now);
    }
  }

  // Selects the eligible holder with the fewest transfers. Ties are broken at
  // random.
  vm_id SelectPeer(std::size_t index, time_point now) {
    const vm_id* best = nullptr;
    std::size_t best_transfers = kInvalidIndex;
    std::size_t equals = 0;
    for (const auto& [vm, peer] : peers_) {
      if (!peer.same_data_centre || !IsUsable(peer, now) ||
          !peer.known_chunks.Test(index)) {
        continue;
      }
      if (peer.transfers < best_transfers) {
        best = &vm;
        best_transfers = peer.transfers;
        equals = 1;
      } else if (peer.transfers == best_transfers &&
                 random_.Below(++equals) == 0) {
        best = &vm;
      }
    }
    assert(best != nullptr);
    return *best;
  }

  // Announcements.

  void ScheduleAnnouncement() { announcement_pending_ = true; }

  void AnnounceBitmap(const vm_id& vm, peer_state& peer) {
    peer.announced = true;
    actions_.emplace_back(announce_chunks{vm, target_->name, staged_});
  }

  void AnnounceTo(const vm_id& vm) {
    if (vm != settings_.self.vm) {
      AnnounceBitmap(vm, *FindPeer(vm));
    }
  }

  bool NeedsRefresh() const {
    return !complete_sent_ ||
           std::any_of(peers_.begin(), peers_.end(), [](const auto& entry) {
             return entry.second.neighbour && !entry.second.complete;
           });
  }

  void Announce(time_point now) {
    const bool refresh = NeedsRefresh() && now >= next_refresh_;
    const bool changed = announcement_pending_ && now >= next_announce_;
    if (!refresh && !changed) {
      return;
    }
    for (auto& [vm, peer] : peers_) {
      if (peer.neighbour && (refresh || !peer.complete || !peer.announced)) {
        AnnounceBitmap(vm, peer);
      }
    }
    announcement_pending_ = false;
    next_announce_ = now + limits_.announce_interval;
    next_refresh_ = now + limits_.refresh_interval;
  }

  // Announces an imported chunk to the agents that wait for it: the fetcher of
  // the chunk that enters the origin window next, and the fetchers of data
  // centres that do not download this chunk from the origin.
  void NotifyWaitingFetchers(std::size_t index) {
    if (members_.empty()) {
      return;
    }
    const std::size_t origin_position = status_[index].origin_position;
    if (origin_position != kInvalidIndex &&
        origin_position + limits_.origin_window < origin_order_.size()) {
      AnnounceTo(
          fetchers_[origin_order_[origin_position + limits_.origin_window]]);
    }
    const std::vector<bool> origin = OriginCentres(index);
    for (std::size_t c = 0; c < data_centres_.size(); ++c) {
      if (c == own_data_centre_ || origin[c]) {
        continue;
      }
      if (data_centres_[c].region == settings_.self.region ||
          IsRegionImporter(index, c)) {
        AnnounceTo(members_[FetcherOf(index, c)].member.vm);
      }
    }
  }

  chunk_fetcher_settings settings_;
  transfer_limits limits_;
  random_source random_;
  std::uint64_t self_hash_;
  std::vector<chunk_fetcher_action> actions_;

  model_name model_;
  model_version version_;
  std::shared_ptr<const manifest> target_;
  std::vector<chunk_entry> chunks_;
  std::vector<std::uint64_t> hashes_;
  std::map<digest, std::size_t> indices_;
  std::set<digest> staged_names_;
  std::vector<chunk_status> status_;
  chunk_bitmap staged_;
  chunk_bitmap missing_;              // Neither staged, received nor in flight.
  chunk_bitmap known_local_;          // In the data centre, now or earlier.
  std::vector<std::size_t> holders_;  // Number of holders in the data centre.
  std::vector<std::size_t> in_flight_;
  std::size_t peer_transfers_ = 0;
  std::size_t origin_transfers_ = 0;
  std::size_t received_ = 0;
  bool complete_sent_ = false;

  std::vector<member_state> members_;  // Ordered by VM.
  std::vector<data_centre_state> data_centres_;
  std::size_t own_data_centre_ = 0;
  region_id origin_region_;
  std::map<vm_id, peer_state> peers_;

  std::vector<std::size_t> import_order_;  // All chunks.
  std::vector<std::size_t> origin_order_;  // Chunks from the origin.
  std::vector<vm_id> fetchers_;            // Local fetcher of each chunk.
  std::vector<std::size_t> assigned_chunks_;
  chunk_bitmap from_origin_;
  std::size_t origin_window_start_ = 0;  // After the last known local chunk.
  time_point last_progress_;
  time_point origin_backoff_until_;
  unsigned origin_failures_ = 0;
  time_point next_region_transfer_;
  time_point next_probe_;
  time_point next_check_;
  bool check_overdue_ = false;
  bool announcement_pending_ = false;
  time_point next_announce_;
  time_point next_refresh_;
  std::vector<chunk_candidate> candidates_;
};

chunk_fetcher_base::chunk_fetcher_base(chunk_fetcher_settings settings,
                                       std::uint64_t seed)
    : state_(std::make_unique<chunk_fetcher_state>(std::move(settings), seed)) {
}
chunk_fetcher_base::chunk_fetcher_base(chunk_fetcher_base&& other) noexcept =
    default;
chunk_fetcher_base& chunk_fetcher_base::operator=(
    chunk_fetcher_base&& other) noexcept = default;
chunk_fetcher_base::~chunk_fetcher_base() = default;

std::vector<chunk_fetcher_action> chunk_fetcher_base::Handle(
    const chunk_fetcher_event& event,
    time_point now,
    const chunk_selector& selector) {
  return state_->Handle(event, now, selector);
}

std::optional<time_point> chunk_fetcher_base::NextDeadline() const {
  return state_->NextDeadline();
}

bool chunk_fetcher_base::IsComplete() const {
  return state_->IsComplete();
}

const chunk_bitmap& chunk_fetcher_base::staged() const {
  return state_->staged();
}

}  // namespace fireflyslip::internal
