#include "fireflyslip/staging/weight_stager.h"

#include <algorithm>
#include <string>
#include <utility>

#include "fireflyslip/core/rendezvous.h"
#include "fireflyslip/core/result.h"

namespace fireflyslip {

std::vector<weight_stager::action> weight_stager::Handle(const event& event,
                                                         time_point now) {
  now_ = now;
  actions_.clear();
  std::visit([this](const auto& happened) { On(happened); }, event);
  Advance();
  return std::exchange(actions_, {});
}

std::optional<time_point> weight_stager::NextDeadline() const {
  std::optional<time_point> earliest;
  const auto consider = [&](time_point moment) {
    earliest = earliest ? std::min(*earliest, moment) : moment;
  };
  for (std::size_t index = 0; index < chunks_.size(); ++index) {
    // A chunk that is due waits for the end of another transfer.
    if (chunks_[index].phase == chunk_phase::kMissing &&
        chunks_[index].not_before > now_) {
      consider(chunks_[index].not_before);
    }
  }
  const bool idle = load_phase_ == load_phase::kNone && AllStaged() &&
                    !IsServing() && !replica_.loading;
  if (idle || load_phase_ == load_phase::kAnnounced) {
    consider(load_not_before_);
  }
  return earliest;
}

bool weight_stager::IsFetched() const {
  return !chunks_.empty() &&
         std::none_of(chunks_.begin(), chunks_.end(),
                      [](const chunk_state& chunk) {
                        return chunk.phase == chunk_phase::kMissing ||
                               chunk.phase == chunk_phase::kFetching;
                      });
}

bool weight_stager::IsReplaceable(time_point now) const {
  const time_point stalled_since =
      std::max(last_progress_, AllStaged() ? load_not_before_ : last_progress_);
  return target_.version == 0 || load_accepted_ || IsServing() ||
         now - stalled_since > policy_.stall_timeout;
}

void weight_stager::On(const tick& /*event*/) {}

void weight_stager::On(const target_assigned& event) {
  if (event.version <= target_.version) {
    return;
  }
  target_ = event;
  assigned_at_ = now_;
  chunk_state initial;
  initial.try_local_replica = event.may_be_staged;
  chunks_.assign(event.chunks, initial);
  active_fetches_ = 0;
  fetch_window_ = policy_.max_parallel_fetches;
  active_origin_fetches_ = 0;
  origin_failing_ = false;
  origin_failed_until_.reset();
  load_phase_ = load_phase::kNone;
  max_reads_ = policy_.min_parallel_reads;
  load_not_before_ = now_;
  load_accepted_ = false;
  last_progress_ = now_;
  PlanSources();
  ScheduleOriginFetches();
}

void weight_stager::ScheduleOriginFetches() {
  for (std::size_t chunk = 0; chunk < chunks_.size(); ++chunk) {
    if (sources_[chunk].front().kind == source_kind::kOrigin) {
      chunks_[chunk].not_before = OriginSlot(chunk);
    }
  }
}

duration weight_stager::OriginLinkTime(std::size_t chunks_before) const {
  const std::size_t position =
      std::max(chunks_before, policy_.origin_pipeline) -
      policy_.origin_pipeline;
  return target_.origin_chunk_time * static_cast<duration::rep>(position);
}

time_point weight_stager::OriginSlot(std::size_t chunk) const {
  return assigned_at_ + OriginLinkTime(chunk);
}

duration weight_stager::Overdue(std::size_t chunk, time_point now) const {
  const chunk_state& state = chunks_[chunk];
  time_point due = std::max(OriginSlot(chunk), state.origin_due);
  if (origin_failing_ && origin_ranks_[chunk] == 0 &&
      state.phase == chunk_phase::kFetching) {
    due = std::max(due, now);
  }
  return now - due;
}

void weight_stager::On(const peers_changed& event) {
  peers_ = event.peers;
  origin_region_ = event.origin_region;
  PlanSources();
}

void weight_stager::On(const fetch_ended& event) {
  if (event.chunk >= chunks_.size()) {
    return;
  }
  chunk_state& chunk = chunks_[event.chunk];
  if (chunk.phase != chunk_phase::kFetching) {
    return;
  }
  --active_fetches_;
  active_origin_fetches_ -= event.source.kind == source_kind::kOrigin ? 1 : 0;
  if (event.transfer > policy_.slow_transfer_threshold) {
    fetch_window_ = std::max<std::size_t>(1, fetch_window_ / 2);
  } else if (event.result == fetch_result::kFetched) {
    fetch_window_ = std::min(fetch_window_ + 1, policy_.max_parallel_fetches);
  }
  const bool from_local_replica =
      event.source.kind == source_kind::kLocalReplica;
  ObserveFetchers(event);
  switch (event.result) {
    case fetch_result::kFetched:
      last_progress_ = now_;
      chunk.phase =
          from_local_replica ? chunk_phase::kStaged : chunk_phase::kFetched;
      return;
    case fetch_result::kMissing:
    case fetch_result::kBusy:
      chunk.not_before = now_ + policy_.missing_retry_delay;
      // Whoever waits for the chunk is told when it is requested from the
      // origin. The next sources would not have it earlier.
      if (!event.overdue || *event.overdue >= policy_.origin_patience ||
          IsOriginRetryDue(event.chunk)) {
        ++chunk.attempts;
      }
      break;
    case fetch_result::kFailed:
      chunk.not_before = now_ + policy_.failure_retry_delay;
      chunk.local_replica_failures += from_local_replica ? 1 : 0;
      if (event.source.kind == source_kind::kOrigin) {
        RecordOriginFailure(event.chunk);
      }
      break;
  }
  const bool try_next_source =
      event.result == fetch_result::kFailed ||
      (event.result == fetch_result::kMissing && !event.source.blocking_call);
  if (from_local_replica &&
      (event.result == fetch_result::kMissing ||
       chunk.local_replica_failures >= policy_.max_local_replica_failures)) {
    chunk = {};
  } else if (!from_local_replica &&
             (try_next_source ||
              chunk.attempts >= policy_.max_attempts_per_source)) {
    ++chunk.source;
    chunk.attempts = 0;
    if (chunk.source % sources_[event.chunk].size() == 0) {
      chunk.fetchers_silent = true;
    }
  }
  chunk.phase = chunk_phase::kMissing;
}

void weight_stager::ObserveFetchers(const fetch_ended& event) {
  chunk_state& chunk = chunks_[event.chunk];
  if (event.source.kind == source_kind::kOrigin) {
    if (origin_failing_ && event.result == fetch_result::kFetched) {
      origin_failing_ = false;
      origin_failed_until_ = now_;
    }
  }
  if (event.source.kind != source_kind::kPeer || !event.source.blocking_call) {
    return;
  }
  if (event.overdue) {
    chunk.origin_due = std::max(chunk.origin_due, now_ - *event.overdue);
  }
  if (event.result == fetch_result::kBusy) {  // the peer has the chunk
    chunk.origin_due = std::max(chunk.origin_due, now_);
    chunk.fetchers_silent = false;
    return;
  }
  if (event.result == fetch_result::kFailed) {
    chunk.fetchers_silent = true;
  } else if (event.overdue && *event.overdue < OriginPatience(event.chunk)) {
    chunk.fetchers_silent = false;
  }
}

void weight_stager::RecordOriginFailure(std::size_t chunk) {
  chunk_state& state = chunks_[chunk];
  // Requests of the assigned agents after the return of the origin are spread
  // over the time that its link takes for the missing chunks. A single failure
  // is not taken for an outage.
  if (origin_failing_ && origin_ranks_[chunk] == 0) {
    const auto missing = std::count_if(
        chunks_.begin(), chunks_.begin() + static_cast<std::ptrdiff_t>(chunk),
        [](const chunk_state& earlier) {
          return earlier.phase == chunk_phase::kMissing ||
                 earlier.phase == chunk_phase::kFetching;
        });
    state.not_before += OriginLinkTime(static_cast<std::size_t>(missing));
  }
  state.origin_due = std::max(state.origin_due, state.not_before);
  origin_failing_ = true;
  origin_failed_until_ = now_;
}

void weight_stager::On(const stage_ended& event) {
  if (event.chunk >= chunks_.size()) {
    return;
  }
  chunk_state& chunk = chunks_[event.chunk];
  if (chunk.phase != chunk_phase::kStaging) {
    return;
  }
  chunk.phase = event.staged ? chunk_phase::kStaged : chunk_phase::kFetched;
  if (!event.staged) {
    chunk.not_before = now_ + policy_.failure_retry_delay;
  }
}

void weight_stager::On(const verify_ended& event) {
  if (event.chunk >= chunks_.size() || !chunks_[event.chunk].verifying) {
    return;
  }
  chunk_state& chunk = chunks_[event.chunk];
  chunk.verifying = false;
  if (event.intact) {
    chunk.verified_at = event.read_at;
    return;
  }
  chunk.phase = chunk_phase::kFetched;
  if (load_phase_ == load_phase::kVerifying) {
    load_phase_ = load_phase::kNone;
  }
}

void weight_stager::On(const load_ended& event) {
  if (load_phase_ != load_phase::kRequested) {
    return;
  }
  load_phase_ = load_phase::kNone;
  // The effect of an accepted request shows in the next observation of the
  // replica.
  load_not_before_ = now_ + policy_.load_retry_delay;
  if (event.accepted) {
    replica_.loading = true;
    load_accepted_ = true;
  }
}

void weight_stager::On(const replica_observed& event) {
  // A replica that has lost its weights serves no requests, so it does not wait
  // for its batch.
  if (replica_known_ && replica_.version != 0 && event.version == 0) {
    load_not_before_ = now_;
  }
  replica_ = event;
  replica_known_ = true;
}

void weight_stager::Advance() {
  if (target_.version == 0) {
    return;
  }
  StageFetched();
  StartFetches();
  AdvanceLoad();
}

void weight_stager::StartFetches() {
  for (const std::size_t index : fetch_order_) {
    const chunk_state& chunk = chunks_[index];
    if (chunk.phase != chunk_phase::kMissing || chunk.not_before > now_) {
      continue;
    }
    const staging_source& source = SourceOf(index);
    if (HasCapacityFor(source)) {
      StartFetch(index, source);
    }
  }
}

bool weight_stager::HasCapacityFor(const staging_source& source) const {
  if (fetch_window_ == 1) {  // the link is congested
    return active_fetches_ == 0;
  }
  // Transfers from the origin are limited apart: all others may be waiting for
  // peers that in turn wait for this agent.
  return source.kind == source_kind::kOrigin
             ? active_origin_fetches_ <
                   std::min(policy_.max_origin_fetches, fetch_window_)
             : active_fetches_ - active_origin_fetches_ < fetch_window_;
}

void weight_stager::StartFetch(std::size_t chunk,
                               const staging_source& source) {
  chunks_[chunk].phase = chunk_phase::kFetching;
  ++active_fetches_;
  active_origin_fetches_ += source.kind == source_kind::kOrigin ? 1 : 0;
  actions_.emplace_back(fetch{chunk, source});
}

void weight_stager::StageFetched() {
  for (std::size_t index = 0; index < chunks_.size(); ++index) {
    chunk_state& chunk = chunks_[index];
    if (chunk.phase == chunk_phase::kFetched && chunk.not_before <= now_) {
      chunk.phase = chunk_phase::kStaging;
      actions_.emplace_back(stage{index});
    }
  }
}

void weight_stager::AdvanceLoad() {
  if (load_phase_ == load_phase::kAnnounced) {
    if (load_not_before_ <= now_) {
      StartVerification();
    }
    return;
  }
  if (load_phase_ == load_phase::kVerifying) {
    AdvanceVerification();
    return;
  }
  if (load_phase_ != load_phase::kNone || !replica_known_ || replica_.loading ||
      IsServing() || !AllStaged()) {
    return;
  }
  if (replica_.version != 0 && IsInSecondBatch()) {
    load_not_before_ =
        std::max(load_not_before_, assigned_at_ + policy_.second_batch_delay);
  }
  if (load_not_before_ > now_) {
    return;
  }
  if (replica_.version == 0) {
    StartVerification();
    return;
  }
  load_phase_ = load_phase::kAnnounced;
  load_not_before_ = now_ + policy_.announce_lead_time;
  actions_.emplace_back(announce_load{});
}

void weight_stager::StartVerification() {
  load_phase_ = load_phase::kVerifying;
  ForgetVerification();
  AdvanceVerification();
}

void weight_stager::ForgetVerification() {
  for (chunk_state& chunk : chunks_) {
    chunk.verified_at.reset();
  }
}

void weight_stager::AdvanceVerification() {
  const bool expired = std::any_of(
      chunks_.begin(), chunks_.end(), [this](const chunk_state& chunk) {
        return chunk.verified_at && !IsVerified(chunk);
      });
  if (expired) {
    // All are read again at the same time: otherwise, some chunk might expire
    // whenever another one has been read.
    ForgetVerification();
    max_reads_ = std::min(max_reads_ * 2, chunks_.size());
  }
  std::size_t reads = 0;
  bool complete = true;
  time_point oldest = now_;
  for (const chunk_state& chunk : chunks_) {
    reads += chunk.verifying ? 1 : 0;
    complete = complete && chunk.verified_at;
    oldest = std::min(oldest, chunk.verified_at.value_or(now_));
  }
  if (complete) {
    load_phase_ = load_phase::kRequested;
    actions_.emplace_back(
        load{target_.version, oldest + policy_.verification_lifetime});
    return;
  }
  for (std::size_t index = 0; index < chunks_.size(); ++index) {
    chunk_state& chunk = chunks_[index];
    if (reads < max_reads_ && !chunk.verifying && !chunk.verified_at) {
      chunk.verifying = true;
      ++reads;
      actions_.emplace_back(verify{index});
    }
  }
}

bool weight_stager::IsVerified(const chunk_state& chunk) const {
  return chunk.verified_at &&
         now_ + policy_.load_request_timeout <=
             *chunk.verified_at + policy_.verification_lifetime;
}

bool weight_stager::AllStaged() const {
  return !chunks_.empty() &&
         std::all_of(chunks_.begin(), chunks_.end(),
                     [](const chunk_state& chunk) {
                       return chunk.phase == chunk_phase::kStaged;
                     });
}

bool weight_stager::IsInSecondBatch() const {
  std::vector<vm_id> same_region{vm_id(self_.address)};
  for (const staging_peer& peer : peers_) {
    if (peer.region == self_.region && peer.address != self_.address) {
      same_region.emplace_back(peer.address);
    }
  }
  const std::string key = "wave/" + std::to_string(target_.version);
  const std::vector<vm_id> order = RendezvousOrder(key, std::move(same_region));
  const auto found =
      std::find(order.begin(), order.end(), vm_id(self_.address));
  return static_cast<std::size_t>(found - order.begin()) * 2 >= order.size();
}

void weight_stager::PlanSources() {
  sources_.clear();
  origin_ranks_.clear();
  for (std::size_t chunk = 0; chunk < chunks_.size(); ++chunk) {
    sources_.push_back(ChunkSources(chunk, self_, peers_, origin_region_));
    origin_ranks_.push_back(OriginRank(chunk, self_, peers_, origin_region_));
  }
  fetch_order_ = FetchOrder(chunks_.size(), self_, peers_);
}

const staging_source& weight_stager::SourceOf(std::size_t chunk) const {
  static const staging_source local_replica{source_kind::kLocalReplica, "",
                                            false};
  const chunk_state& state = chunks_[chunk];
  if (state.try_local_replica) {
    return local_replica;
  }
  const std::vector<staging_source>& sources = sources_[chunk];
  const staging_source& source = sources[state.source % sources.size()];
  const bool is_left_to_others =
      (source.is_replacement && !state.fetchers_silent) ||
      (source.kind == source_kind::kOrigin && LeavesOriginToOthers(chunk));
  return is_left_to_others ? sources.front() : source;
}

duration weight_stager::OriginPatience(std::size_t chunk) const {
  return policy_.origin_patience *
         static_cast<duration::rep>(origin_ranks_[chunk]);
}

bool weight_stager::LeavesOriginToOthers(std::size_t chunk) const {
  const chunk_state& state = chunks_[chunk];
  const bool is_replaced =
      state.fetchers_silent &&
      now_ >=
          std::max(OriginSlot(chunk), state.origin_due) + OriginPatience(chunk);
  return origin_ranks_[chunk] > 0 && !is_replaced && !IsOriginRetryDue(chunk);
}

bool weight_stager::IsOriginRetryDue(std::size_t chunk) const {
  const std::size_t rank = origin_ranks_[chunk];
  const bool is_replacement = rank <= kOriginReplacements;
  if (rank > kOriginReplacements + 1) {
    return false;
  }
  const duration interval = is_replacement
                                ? policy_.origin_retry_interval
                                : policy_.remote_origin_retry_interval;
  const time_point slot = OriginSlot(chunk);
  return now_ >= slot + (is_replacement ? OriginPatience(chunk) : interval) &&
         (!origin_failed_until_ || now_ >= *origin_failed_until_ + interval);
}

}  // namespace fireflyslip
