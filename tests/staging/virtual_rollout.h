#ifndef TESTS_STAGING_VIRTUAL_ROLLOUT_H_
#define TESTS_STAGING_VIRTUAL_ROLLOUT_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "fireflyslip/staging.h"

namespace fireflyslip {

/// \brief Discrete-event simulation of agents that bring one version to their
/// replicas. The origin and each agent send one chunk at a time; a call to an
/// agent that does not have the chunk blocks for a while if it may.
class virtual_rollout {
 public:
  struct parameters {
    std::size_t regions = 5;
    std::size_t agents_per_region = 6;
    std::size_t chunks = 48;
    duration origin_chunk_time = milliseconds(44);
    duration peer_chunk_time = milliseconds(49);
    /// Time after which the origin fails; it does not return.
    duration origin_lifetime = seconds(3600);
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
  }

  void Run(duration length) {
    for (std::size_t i = 0; i < agents_.size(); ++i) {
      Handle(i, weight_stager::peers_changed{peers_, region_id("a")});
      Handle(i, weight_stager::target_assigned{2, options_.chunks, false,
                                               options_.origin_chunk_time});
    }
    const time_point end = now_ + length;
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
    return static_cast<double>(origin_sent_) /
           static_cast<double>(options_.chunks);
  }
  /// Agents that have all chunks.
  std::size_t Complete() const {
    return static_cast<std::size_t>(std::count_if(
        agents_.begin(), agents_.end(),
        [](const auto& agent) { return agent->core.IsFetched(); }));
  }
  std::size_t size() const { return agents_.size(); }
  /// Requests to the origin and to agents.
  std::size_t requests() const { return requests_; }

 private:
  struct agent {
    explicit agent(weight_stager stager) : core(std::move(stager)) {}

    weight_stager core;
    std::vector<bool> has_chunk;
    time_point link_free;
    time_point tick_at;
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

  void At(time_point moment, std::function<void()> run) {
    events_.push({moment, next_order_++, std::move(run)});
  }

  void Handle(std::size_t index, const weight_stager::event& event) {
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
      if (now_ > kStart + options_.origin_lifetime) {
        End(index, order, weight_stager::fetch_result::kFailed,
            now_ + kLatency);
        return;
      }
      origin_free_ = std::max(origin_free_, now_) + options_.origin_chunk_time;
      ++origin_sent_;
      const bool lost = origin_free_ > kStart + options_.origin_lifetime;
      End(index, order,
          lost ? weight_stager::fetch_result::kFailed
               : weight_stager::fetch_result::kFetched,
          origin_free_ + kLatency);
      return;
    }
    At(now_ + kLatency, [this, index, order, arrived = now_] {
      ServeAtPeer(index, order, arrived);
    });
  }

  void ServeAtPeer(std::size_t index,
                   const weight_stager::fetch& order,
                   time_point arrived) {
    agent& peer = *agents_[index_.at(order.source.address)];
    if (peer.has_chunk[order.chunk]) {
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
      End(index, order, weight_stager::fetch_result::kMissing, now_ + kLatency);
    }
  }

  void End(std::size_t index,
           const weight_stager::fetch& order,
           weight_stager::fetch_result result,
           time_point moment) {
    At(moment, [this, index, order, result] {
      if (result == weight_stager::fetch_result::kFetched) {
        agents_[index]->has_chunk[order.chunk] = true;
      }
      Handle(index, weight_stager::fetch_ended{order.chunk, order.source,
                                               result, milliseconds(50)});
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
  time_point origin_free_ = kStart;
  std::size_t origin_sent_ = 0;
  std::size_t requests_ = 0;
};

}  // namespace fireflyslip

#endif  // TESTS_STAGING_VIRTUAL_ROLLOUT_H_
