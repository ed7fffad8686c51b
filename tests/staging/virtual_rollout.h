#ifndef TESTS_STAGING_VIRTUAL_ROLLOUT_H_
#define TESTS_STAGING_VIRTUAL_ROLLOUT_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "fireflyslip/staging.h"

namespace fireflyslip {

/// \brief Discrete-event simulation of agents that bring one version to their
/// replicas. The transfers from the origin share its link and have a timeout.
/// Each agent sends one chunk at a time; a call to an agent that does not have
/// the chunk blocks for a while if it may.
class virtual_rollout {
 public:
  struct parameters {
    std::size_t regions = 5;
    std::size_t agents_per_region = 6;
    std::size_t chunks = 48;
    duration origin_chunk_time = milliseconds(44);
    duration peer_chunk_time = milliseconds(49);
    /// Time after which the origin is away; transfers in progress are lost.
    duration origin_lifetime = seconds(3600);
    /// Time for which the origin is away.
    duration origin_outage = seconds(3600);
    /// Whether calls to the absent origin time out, instead of being refused.
    bool origin_hangs = false;
    /// Agents of the origin's region that fail with the origin's outage.
    std::size_t failed_agents = 0;
    /// Agents of the origin's region that can never reach the origin.
    std::size_t agents_cut_from_origin = 0;
  };

  explicit virtual_rollout(const parameters& options) : options_(options) {
    for (std::size_t i = 0; i < options.regions * options.agents_per_region;
         ++i) {
      const std::string region(1, static_cast<char>('a' + i % options.regions));
      peers_.push_back({"10.0.0." + std::to_string(i), region_id(region)});
    }
    for (const staging_peer& peer : peers_) {
      index_[peer.address] = agents_.size();
      agents_.push_back(
          std::make_unique<agent>(weight_stager(staging_policy{}, peer)));
      agents_.back()->has_chunk.resize(options.chunks);
    }
    std::size_t in_origin_region = 0;
    for (std::size_t i = 0; i < agents_.size(); i += options.regions) {
      agent& affected = *agents_[i];
      affected.fails = in_origin_region < options.failed_agents;
      affected.reaches_origin =
          affected.fails ||
          in_origin_region >=
              options.failed_agents + options.agents_cut_from_origin;
      ++in_origin_region;
    }
  }

  void Run(duration length) {
    for (std::size_t i = 0; i < agents_.size(); ++i) {
      Handle(i, weight_stager::peers_changed{peers_, region_id("a")});
      Handle(i, weight_stager::target_assigned{2, options_.chunks, false,
                                               options_.origin_chunk_time});
    }
    const time_point end = now_ + length;
    At(AwayFrom(), [this] { LoseOriginTransfers(); });
    while (!events_.empty() && events_.top().at <= end) {
      const scheduled next = events_.top();
      events_.pop();
      now_ = next.at;
      next.run();
    }
    now_ = end;
  }

  /// Copies of the weights that the origin has sent.
  double origin_copies() const {
    return ToSeconds(origin_sending_) / (ToSeconds(options_.origin_chunk_time) *
                                         static_cast<double>(options_.chunks));
  }
  /// Agents that have all chunks.
  std::size_t Complete() const {
    return static_cast<std::size_t>(
        std::count_if(agents_.begin(), agents_.end(), [](const auto& agent) {
          return !agent->fails && agent->core.IsFetched();
        }));
  }
  /// Agents that do not fail.
  std::size_t size() const { return agents_.size() - options_.failed_agents; }
  /// Time from the start until all agents that do not fail had all chunks;
  /// nothing if some do not have them yet.
  std::optional<duration> Completion() const {
    return Complete() == size() ? std::optional(last_fetched_ - kStart)
                                : std::nullopt;
  }
  /// Lower bound of the time of a rollout from an origin that is available.
  duration FluidBound() const {
    const auto count = static_cast<double>(agents_.size());
    const double origin = ToSeconds(options_.origin_chunk_time);
    const double peer = ToSeconds(options_.peer_chunk_time);
    const double all = count / (1 / origin + count / peer);
    return FromSeconds(std::max({origin, peer, all}) *
                       static_cast<double>(options_.chunks));
  }
  /// Requests to the origin and to agents.
  std::size_t requests() const { return requests_; }

 private:
  struct agent {
    explicit agent(weight_stager stager) : core(std::move(stager)) {}

    weight_stager core;
    std::vector<bool> has_chunk;
    time_point link_free;
    time_point tick_at;
    bool fails = false;
    bool reaches_origin = true;
  };
  struct origin_transfer {
    std::size_t agent = 0;
    weight_stager::fetch order;
    time_point deadline;
    double remaining = 0;  // seconds of the whole link
    bool hangs = false;
  };
  struct scheduled {
    time_point at;
    std::size_t order;
    std::function<void()> run;

    bool operator<(const scheduled& other) const {
      return std::tie(other.at, other.order) < std::tie(at, order);
    }
  };

  static constexpr milliseconds kLatency{2};
  static constexpr milliseconds kMaxChunkWait{1200};
  static constexpr milliseconds kMaxLinkWait{800};
  static constexpr milliseconds kWaitStep{10};
  static constexpr milliseconds kTransferTimeout{2500};

  void At(time_point moment, std::function<void()> run) {
    events_.push({moment, next_order_++, std::move(run)});
  }

  time_point AwayFrom() const { return kStart + options_.origin_lifetime; }
  bool IsOriginAway() const {
    return now_ >= AwayFrom() && now_ < AwayFrom() + options_.origin_outage;
  }
  bool HasFailed(const agent& subject) const {
    return subject.fails && now_ >= AwayFrom();
  }

  void Handle(std::size_t index, const weight_stager::event& event) {
    if (HasFailed(*agents_[index])) {
      return;
    }
    for (const auto& action : agents_[index]->core.Handle(event, now_)) {
      if (const auto* fetch = std::get_if<weight_stager::fetch>(&action)) {
        StartFetch(index, *fetch);
      } else if (const auto* stage =
                     std::get_if<weight_stager::stage>(&action)) {
        const std::size_t chunk = stage->chunk;
        At(now_ + kLatency, [this, index, chunk] {
          Handle(index, weight_stager::stage_ended{chunk, true});
        });
      }
    }
    const auto deadline = agents_[index]->core.NextDeadline();
    if (deadline && *deadline != agents_[index]->tick_at && *deadline > now_) {
      agents_[index]->tick_at = *deadline;
      At(*deadline, [this, index] { Handle(index, tick{}); });
    }
  }

  void StartFetch(std::size_t index, const weight_stager::fetch& order) {
    ++requests_;
    if (order.source.kind == source_kind::kOrigin) {
      FetchFromOrigin(index, order);
      return;
    }
    At(now_ + kLatency, [this, index, order, arrived = now_] {
      ServeAtPeer(index, order, arrived);
    });
  }

  void FetchFromOrigin(std::size_t index, const weight_stager::fetch& order) {
    const bool unreachable = IsOriginAway() || !agents_[index]->reaches_origin;
    if (unreachable && !options_.origin_hangs) {
      End(index, order, weight_stager::fetch_result::kFailed, now_ + kLatency);
      return;
    }
    AdvanceOrigin();
    origin_transfers_.push_back({index, order, now_ + kTransferTimeout,
                                 ToSeconds(options_.origin_chunk_time),
                                 unreachable});
    ScheduleOrigin();
  }

  /// Transfers that are using the origin's link.
  std::size_t SharingOriginLink() const {
    return static_cast<std::size_t>(
        std::count_if(origin_transfers_.begin(), origin_transfers_.end(),
                      [](const auto& transfer) { return !transfer.hangs; }));
  }

  /// Accounts for the bytes sent since the last call and ends transfers.
  void AdvanceOrigin() {
    constexpr double kResolution = 1e-6;
    const std::size_t sharing = SharingOriginLink();
    const duration elapsed = now_ - origin_updated_;
    origin_updated_ = now_;
    if (sharing > 0) {
      origin_sending_ += elapsed;
    }
    std::vector<origin_transfer> kept;
    for (origin_transfer& transfer : origin_transfers_) {
      if (!transfer.hangs) {
        transfer.remaining -= ToSeconds(elapsed) / static_cast<double>(sharing);
      }
      if (transfer.remaining <= kResolution) {
        End(transfer.agent, transfer.order,
            weight_stager::fetch_result::kFetched, now_ + kLatency);
      } else if (transfer.deadline <= now_) {
        End(transfer.agent, transfer.order,
            weight_stager::fetch_result::kFailed, now_);
      } else {
        kept.push_back(transfer);
      }
    }
    origin_transfers_ = std::move(kept);
  }

  void ScheduleOrigin() {
    const auto sharing = static_cast<double>(SharingOriginLink());
    std::optional<time_point> next;
    for (const origin_transfer& transfer : origin_transfers_) {
      time_point end = transfer.deadline;
      if (!transfer.hangs) {
        end = std::min(end, now_ + FromSeconds(transfer.remaining * sharing) +
                                duration(1));
      }
      next = next ? std::min(*next, end) : end;
    }
    const std::size_t schedule = ++origin_schedule_;
    if (next) {
      At(*next, [this, schedule] {
        if (schedule == origin_schedule_) {
          AdvanceOrigin();
          ScheduleOrigin();
        }
      });
    }
  }

  void LoseOriginTransfers() {
    AdvanceOrigin();
    for (origin_transfer& transfer : origin_transfers_) {
      transfer.hangs = true;
      if (!options_.origin_hangs) {
        transfer.deadline = now_;
      }
    }
    AdvanceOrigin();
    ScheduleOrigin();
  }

  void ServeAtPeer(std::size_t index,
                   const weight_stager::fetch& order,
                   time_point arrived) {
    agent& peer = *agents_[index_.at(order.source.address)];
    if (HasFailed(peer)) {
      End(index, order, weight_stager::fetch_result::kFailed,
          arrived + kTransferTimeout);
    } else if (peer.has_chunk[order.chunk]) {
      if (peer.link_free - now_ > kMaxLinkWait) {
        End(index, order, weight_stager::fetch_result::kBusy, now_ + kLatency);
        return;
      }
      peer.link_free =
          std::max(peer.link_free, now_) + options_.peer_chunk_time;
      End(index, order, weight_stager::fetch_result::kFetched,
          peer.link_free + kLatency);
    } else if (order.source.blocking_call && now_ - arrived < kMaxChunkWait) {
      At(now_ + kWaitStep,
         [this, index, order, arrived] { ServeAtPeer(index, order, arrived); });
    } else {
      End(index, order, weight_stager::fetch_result::kMissing, now_ + kLatency,
          peer.core.Overdue(order.chunk, now_));
    }
  }

  void End(std::size_t index,
           const weight_stager::fetch& order,
           weight_stager::fetch_result result,
           time_point moment,
           std::optional<duration> overdue = std::nullopt) {
    At(moment, [this, index, order, result, overdue] {
      if (result == weight_stager::fetch_result::kFetched) {
        agents_[index]->has_chunk[order.chunk] = true;
        last_fetched_ = now_;
      }
      Handle(index,
             weight_stager::fetch_ended{order.chunk, order.source, result,
                                        milliseconds(50), overdue});
    });
  }

  static constexpr time_point kStart{seconds(100)};

  parameters options_;
  time_point now_ = kStart;
  std::vector<staging_peer> peers_;
  std::map<std::string, std::size_t> index_;
  std::vector<std::unique_ptr<agent>> agents_;
  std::priority_queue<scheduled> events_;
  std::size_t next_order_ = 0;
  std::vector<origin_transfer> origin_transfers_;
  time_point origin_updated_ = kStart;
  duration origin_sending_{0};
  std::size_t origin_schedule_ = 0;
  time_point last_fetched_ = kStart;
  std::size_t requests_ = 0;
};

}  // namespace fireflyslip

#endif  // TESTS_STAGING_VIRTUAL_ROLLOUT_H_
