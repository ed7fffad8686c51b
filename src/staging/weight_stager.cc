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
  if (fetching_ < parallel_) {
    for (const chunk_state& chunk : chunks_) {
      if (chunk.phase == chunk_phase::kMissing) {
        consider(chunk.not_before);
      }
    }
  }
  const bool idle = order_ == order_phase::kNone && AllStaged() &&
                    !IsServing() && !replica_.loading;
  if (idle || order_ == order_phase::kAnnounced) {
    consider(order_not_before_);
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
  const time_point waited_since =
      std::max(progress_at_, AllStaged() ? order_not_before_ : progress_at_);
  return target_.version == 0 || ordered_ || IsServing() ||
         now - waited_since > policy_.stall_time;
}

void weight_stager::On(const tick& /*event*/) {}

void weight_stager::On(const target_assigned& event) {
  if (event.version <= target_.version) {
    return;
  }
  target_ = event;
  named_at_ = now_;
  chunk_state initial;
  initial.try_own_replica = event.may_be_staged;
  chunks_.assign(event.chunks, initial);
  fetching_ = 0;
  parallel_ = policy_.parallel_fetches;
  fetching_from_origin_ = 0;
  order_ = order_phase::kNone;
  order_not_before_ = now_;
  ordered_ = false;
  progress_at_ = now_;
  PlanSources();
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
  --fetching_;
  fetching_from_origin_ -= event.source.kind == source_kind::kOrigin ? 1 : 0;
  if (event.transfer > policy_.slow_transfer) {
    parallel_ = std::max<std::size_t>(1, parallel_ / 2);
  } else if (event.result == fetch_result::kFetched) {
    parallel_ = std::min(parallel_ + 1, policy_.parallel_fetches);
  }
  const bool own = event.source.kind == source_kind::kLocalReplica;
  switch (event.result) {
    case fetch_result::kFetched:
      progress_at_ = now_;
      chunk.phase = own ? chunk_phase::kStaged : chunk_phase::kFetched;
      return;
    case fetch_result::kMissing:
    case fetch_result::kBusy:
      chunk.not_before = now_ + policy_.missing_pause;
      ++chunk.asks;
      break;
    case fetch_result::kFailed:
      chunk.not_before = now_ + policy_.failure_pause;
      chunk.own_replica_failures += own ? 1 : 0;
      break;
  }
  const bool asked_once =
      event.result == fetch_result::kFailed ||
      (event.result == fetch_result::kMissing && !event.source.blocking_call);
  if (own && (event.result == fetch_result::kMissing ||
              chunk.own_replica_failures >= policy_.own_replica_failures)) {
    chunk = {};
  } else if (!own && (asked_once || chunk.asks >= policy_.asks_of_source)) {
    ++chunk.source;
    chunk.asks = 0;
  }
  chunk.phase = chunk_phase::kMissing;
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
    chunk.not_before = now_ + policy_.failure_pause;
  }
}

void weight_stager::On(const verify_ended& event) {
  if (order_ != order_phase::kVerifying) {
    return;
  }
  order_ = order_phase::kNone;
  for (const std::size_t index : event.corrupt_chunks) {
    if (index < chunks_.size()) {
      chunks_[index].phase = chunk_phase::kFetched;
    }
  }
  if (event.corrupt_chunks.empty()) {
    order_ = order_phase::kOrdering;
    actions_.emplace_back(load{});
  }
}

void weight_stager::On(const load_ended& event) {
  if (order_ != order_phase::kOrdering) {
    return;
  }
  order_ = order_phase::kNone;
  // An accepted order is seen in the next observation of the replica.
  order_not_before_ = now_ + policy_.order_pause;
  if (event.accepted) {
    replica_.loading = true;
    ordered_ = true;
  }
}

void weight_stager::On(const replica_observed& event) {
  // A replica that lost its weights serves nothing, so it does not wait for
  // its wave.
  if (replica_known_ && replica_.version != 0 && event.version == 0) {
    order_not_before_ = now_;
  }
  replica_ = event;
  replica_known_ = true;
}

void weight_stager::Advance() {
  if (target_.version == 0) {
    return;
  }
  StageNext();
  FetchNext();
  OrderNext();
}

void weight_stager::FetchNext() {
  for (const std::size_t index : fetch_order_) {
    if (fetching_ >= parallel_) {
      return;
    }
    const chunk_state& chunk = chunks_[index];
    if (chunk.phase != chunk_phase::kMissing || chunk.not_before > now_) {
      continue;
    }
    const staging_source& source = SourceOf(index);
    if (source.kind != source_kind::kOrigin ||
        fetching_from_origin_ < policy_.parallel_from_origin) {
      StartFetch(index, source);
    }
  }
}

void weight_stager::StartFetch(std::size_t chunk,
                               const staging_source& source) {
  chunks_[chunk].phase = chunk_phase::kFetching;
  ++fetching_;
  fetching_from_origin_ += source.kind == source_kind::kOrigin ? 1 : 0;
  actions_.emplace_back(fetch{chunk, source});
}

void weight_stager::StageNext() {
  for (std::size_t index = 0; index < chunks_.size(); ++index) {
    chunk_state& chunk = chunks_[index];
    if (chunk.phase == chunk_phase::kFetched && chunk.not_before <= now_) {
      chunk.phase = chunk_phase::kStaging;
      actions_.emplace_back(stage{index});
    }
  }
}

void weight_stager::OrderNext() {
  if (order_ == order_phase::kAnnounced) {
    if (order_not_before_ <= now_) {
      order_ = order_phase::kVerifying;
      actions_.emplace_back(verify{});
    }
    return;
  }
  if (order_ != order_phase::kNone || !replica_known_ || replica_.loading ||
      IsServing() || !AllStaged()) {
    return;
  }
  if (replica_.version != 0 && IsSecondWave()) {
    order_not_before_ =
        std::max(order_not_before_, named_at_ + policy_.second_batch_delay);
  }
  if (order_not_before_ > now_) {
    return;
  }
  if (replica_.version == 0) {
    order_ = order_phase::kVerifying;
    actions_.emplace_back(verify{});
    return;
  }
  order_ = order_phase::kAnnounced;
  order_not_before_ = now_ + policy_.announce_time;
  actions_.emplace_back(announce_load{});
}

bool weight_stager::AllStaged() const {
  return !chunks_.empty() &&
         std::all_of(chunks_.begin(), chunks_.end(),
                     [](const chunk_state& chunk) {
                       return chunk.phase == chunk_phase::kStaged;
                     });
}

bool weight_stager::IsSecondWave() const {
  std::vector<vm_id> nearby{vm_id(self_.address)};
  for (const staging_peer& peer : peers_) {
    if (peer.region == self_.region && peer.address != self_.address) {
      nearby.emplace_back(peer.address);
    }
  }
  const std::string key = "wave/" + std::to_string(target_.version);
  const std::vector<vm_id> order = RendezvousOrder(key, std::move(nearby));
  const auto found =
      std::find(order.begin(), order.end(), vm_id(self_.address));
  return static_cast<std::size_t>(found - order.begin()) * 2 >= order.size();
}

void weight_stager::PlanSources() {
  sources_.clear();
  for (std::size_t chunk = 0; chunk < chunks_.size(); ++chunk) {
    sources_.push_back(ChunkSources(chunk, self_, peers_, origin_region_));
  }
  fetch_order_ = FetchOrder(chunks_.size(), self_, peers_);
}

const staging_source& weight_stager::SourceOf(std::size_t chunk) const {
  static const staging_source own_replica{source_kind::kLocalReplica, "",
                                          false};
  const chunk_state& state = chunks_[chunk];
  if (state.try_own_replica) {
    return own_replica;
  }
  const std::vector<staging_source>& sources = sources_[chunk];
  return sources[state.source % sources.size()];
}

}  // namespace fireflyslip
