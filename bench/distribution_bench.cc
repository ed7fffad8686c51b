// Fluid-flow simulation of weight distribution in virtual time. Drives one
// chunk_fetcher for each VM and prints one line for each case.
//
// Capacities are relative to the link rate d of a VM, which is the same in both
// directions. The origin's link carries four copies within the fluid bound
// F / d, so its rate is 4 d; the link between regions has the rate 2 d. A flow
// gets the smaller of the equal shares at its two ends, which is less than
// max-min fair sharing would give, so the completion times are upper bounds.
// Messages take 1 ms. The baselines are closed-form solutions of the same model
// without losses.

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <string_view>
#include <vector>

#include "fireflyslip/distribution.h"

namespace fireflyslip {
namespace {

constexpr double kLinkRate = 64e6;  // Bytes per second, in each direction.
constexpr double kOriginRate = 4 * kLinkRate;
constexpr double kRegionRate = 2 * kLinkRate;
constexpr double kModelSize = 8e9;  // Bytes.
constexpr duration kMessageDelay = milliseconds(1);
constexpr duration kLinkFailureDelay =
    seconds(3);  // Detection of a silent link.
constexpr duration kMemberListInterval =
    seconds(10);  // Delay of the member list.

struct bench_case {
  std::size_t vms = 16;
  std::size_t data_centres = 1;
  std::size_t regions = 1;
  std::size_t chunks = 256;
  double failing_share = 0;
  double corrupt_share = 0;
  std::uint64_t seed = 1;
  bool sequential = false;
  transfer_limits limits;
};

// Type-erased interface of chunk_fetcher for all policies.
class any_fetcher {
 public:
  any_fetcher() = default;
  any_fetcher(const any_fetcher&) = delete;
  any_fetcher& operator=(const any_fetcher&) = delete;
  virtual ~any_fetcher() = default;
  virtual std::vector<chunk_fetcher_action> Handle(
      const chunk_fetcher_event& event,
      time_point now) = 0;
  virtual std::optional<time_point> NextDeadline() const = 0;
  virtual const chunk_bitmap& staged() const = 0;
};

template <typename Policy>
class fetcher_of : public any_fetcher {
 public:
  fetcher_of(chunk_fetcher_settings settings, std::uint64_t seed)
      : core_(std::move(settings), seed) {}
  std::vector<chunk_fetcher_action> Handle(const chunk_fetcher_event& event,
                                           time_point now) override {
    return core_.Handle(event, now);
  }
  std::optional<time_point> NextDeadline() const override {
    return core_.NextDeadline();
  }
  const chunk_bitmap& staged() const override { return core_.staged(); }

 private:
  chunk_fetcher<Policy> core_;
};

class simulation {
 public:
  explicit simulation(const bench_case& options)
      : options_(options), random_(options.seed), agents_(options.vms + 1) {}

  void Run() {
    Start();
    while (!queue_.empty() && remaining_ > 0) {
      const queued next = queue_.top();
      queue_.pop();
      now_ = next.time;
      if (now_ > time_point(seconds(20000))) {
        break;
      }
      Dispatch(next);
    }
    Print();
  }

 private:
  enum class kind { kTick, kEvent, kRequest, kFinish, kAgentFailure, kMembers };

  struct queued {
    time_point time;
    std::uint64_t sequence;
    kind type;
    std::size_t subject;  // Agent, flow or slot of a pending event.
    std::uint64_t stamp;
    bool operator<(const queued& other) const {
      return time != other.time ? time > other.time : sequence > other.sequence;
    }
  };

  struct agent {
    std::unique_ptr<any_fetcher> core;
    fetch_member member;
    bool alive = true;
    bool complete = false;
    std::vector<std::size_t> uploads;
    std::vector<std::size_t> downloads;
    time_point tick_at = time_point::max();
    std::uint64_t messages = 0;
    std::uint64_t refused = 0;
  };

  struct flow {
    std::size_t source = 0;
    std::size_t target = 0;
    std::size_t chunk = 0;
    double remaining = 0;
    double rate = 0;
    time_point updated;
    std::uint64_t stamp = 0;
    bool active = false;
    bool crosses_regions = false;
  };

  struct pending {
    std::size_t agent = 0;
    chunk_fetcher_event event;
  };

  std::size_t origin() const { return options_.vms; }

  void Start() {
    auto content = std::make_shared<manifest>();
    content->model = model_name("m");
    content->version = model_version("v1");
    content->name = digest::Of("manifest");
    const auto size = static_cast<std::uint64_t>(
        kModelSize / static_cast<double>(options_.chunks));
    for (std::size_t i = 0; i < options_.chunks; ++i) {
      const digest name = digest::Of("chunk" + std::to_string(i));
      content->chunks.push_back({name, size});
      content->size += size;
      chunk_index_[name] = i;
    }
    chunk_size_ = static_cast<double>(size);
    origin_chunk_copies_.resize(options_.data_centres);
    for (std::size_t i = 0; i < options_.vms; ++i) {
      const std::size_t centre = i % options_.data_centres;
      fetch_member member{
          vm_id("vm" + std::to_string(i)),
          data_centre_id("dc" + std::to_string(centre)),
          region_id("r" + std::to_string(centre * options_.regions /
                                         options_.data_centres))};
      vm_index_[member.vm] = i;
      members_.push_back(member);
      agents_[i].member = member;
      const chunk_fetcher_settings settings{member, region_id("r0"),
                                            options_.limits};
      const std::uint64_t seed = random_.Next();
      if (options_.sequential) {
        agents_[i].core =
            std::make_unique<fetcher_of<sequential_policy>>(settings, seed);
      } else {
        agents_[i].core =
            std::make_unique<fetcher_of<rarest_first_policy>>(settings, seed);
      }
    }
    agents_[origin()].member.region = region_id("r0");
    remaining_ = options_.vms;
    for (std::size_t i = 0; i < options_.vms; ++i) {
      Post(i, fetch_members_changed{members_}, duration(0));
      Post(i, target_changed{content->model, content->version, content},
           duration(random_.Below(100000)));
    }
    const auto failures = static_cast<std::size_t>(
        std::round(options_.failing_share * static_cast<double>(options_.vms)));
    std::vector<std::size_t> order(options_.vms);
    for (std::size_t i = 0; i < order.size(); ++i) {
      order[i] = i;
      std::swap(order[i], order[random_.Below(i + 1)]);
    }
    for (std::size_t i = 0; i < failures; ++i) {
      Push(FromSeconds(random_.Fraction() * kModelSize / kLinkRate),
           kind::kAgentFailure, order[i], 0);
    }
    if (failures > 0) {
      Push(kMemberListInterval, kind::kMembers, 0, 0);
    }
  }

  void Push(duration after,
            kind type,
            std::size_t subject,
            std::uint64_t stamp) {
    queue_.push({now_ + after, sequence_++, type, subject, stamp});
  }

  void Post(std::size_t agent, chunk_fetcher_event event, duration after) {
    std::size_t slot = pending_.size();
    if (!free_.empty()) {
      slot = free_.back();
      free_.pop_back();
      pending_[slot] = {agent, std::move(event)};
    } else {
      pending_.push_back({agent, std::move(event)});
    }
    Push(after, kind::kEvent, slot, 0);
  }

  void Dispatch(const queued& next) {
    switch (next.type) {
      case kind::kTick:
        if (agents_[next.subject].tick_at == next.time) {
          agents_[next.subject].tick_at = time_point::max();
          Feed(next.subject, tick{});
        }
        break;
      case kind::kEvent: {
        const pending item = std::move(pending_[next.subject]);
        free_.push_back(next.subject);
        Feed(item.agent, item.event);
        break;
      }
      case kind::kRequest:
        StartFlow(next.subject, next.stamp);
        break;
      case kind::kFinish:
        if (flows_[next.subject].active &&
            flows_[next.subject].stamp == next.stamp) {
          Finish(next.subject);
        }
        break;
      case kind::kAgentFailure:
        FailAgent(next.subject);
        break;
      case kind::kMembers:
        if (members_stale_) {
          members_stale_ = false;
          for (std::size_t i = 0; i < options_.vms; ++i) {
            Feed(i, fetch_members_changed{members_});
          }
        }
        Push(kMemberListInterval, kind::kMembers, 0, 0);
        break;
    }
  }

  void Feed(std::size_t index, const chunk_fetcher_event& event) {
    agent& a = agents_[index];
    if (!a.alive) {
      return;
    }
    for (const chunk_fetcher_action& action : a.core->Handle(event, now_)) {
      std::visit([&](const auto& x) { Apply(index, x); }, action);
    }
    if (const auto deadline = a.core->NextDeadline()) {
      const time_point at = std::max(*deadline, now_ + duration(1));
      if (at < a.tick_at) {
        a.tick_at = at;
        Push(at - now_, kind::kTick, index, 0);
      }
    }
  }

  void Apply(std::size_t index, const fetch_from_origin& x) {
    Request(index, origin(), x.chunk);
  }
  void Apply(std::size_t index, const fetch_from_peer& x) {
    Request(index, vm_index_.at(x.vm), x.chunk);
  }
  void Apply(std::size_t index, const cancel_fetch& x) {
    const std::size_t source =
        x.source.peer ? vm_index_.at(*x.source.peer) : origin();
    const std::size_t chunk = chunk_index_.at(x.chunk);
    for (std::size_t f = 0; f < flows_.size(); ++f) {
      if (flows_[f].active && flows_[f].target == index &&
          flows_[f].source == source && flows_[f].chunk == chunk) {
        Remove(f);
      }
    }
  }
  void Apply(std::size_t index, const announce_chunks& x) {
    ++agents_[index].messages;
    Post(vm_index_.at(x.vm),
         peer_announcement{agents_[index].member.vm, x.manifest_name, x.chunks},
         kMessageDelay);
  }
  void Apply(std::size_t index, const distribution_complete& /*x*/) {
    if (!agents_[index].complete) {
      agents_[index].complete = true;
      --remaining_;
      finished_.push_back(ToSeconds(now_.time_since_epoch()));
    }
  }

  void Request(std::size_t target, std::size_t source, const digest& chunk) {
    ++agents_[target].messages;
    std::size_t f = flows_.size();
    if (!free_flows_.empty()) {
      f = free_flows_.back();
      free_flows_.pop_back();
    } else {
      flows_.emplace_back();
    }
    const std::uint64_t stamp = flows_[f].stamp + 1;
    flows_[f] = {
        source,
        target,
        chunk_index_.at(chunk),
        chunk_size_,
        0,
        now_,
        stamp,
        true,
        agents_[source].member.region != agents_[target].member.region};
    Push(kMessageDelay, kind::kRequest, f, stamp);
  }

  chunk_source SourceOf(const flow& x) const {
    return x.source == origin() ? chunk_source{}
                                : chunk_source{agents_[x.source].member.vm};
  }

  digest NameOf(std::size_t chunk) const {
    return digest::Of("chunk" + std::to_string(chunk));
  }

  void StartFlow(std::size_t f, std::uint64_t stamp) {
    flow& x = flows_[f];
    if (!x.active || x.stamp != stamp) {
      return;
    }
    agent& source = agents_[x.source];
    if (!agents_[x.target].alive) {
      x.active = false;
      free_flows_.push_back(f);
      return;
    }
    const flow copy = x;
    if (!source.alive) {
      x.active = false;
      free_flows_.push_back(f);
      Post(copy.target,
           transfer_failed{NameOf(copy.chunk), SourceOf(copy),
                           transfer_failure::kTimeout},
           kLinkFailureDelay);
      return;
    }
    if (x.source != origin()) {
      if (!source.core->staged().Test(x.chunk)) {
        x.active = false;
        free_flows_.push_back(f);
        Post(copy.target,
             chunk_received{NameOf(copy.chunk), SourceOf(copy),
                            chunk_check::kNotFound},
             kMessageDelay);
        return;
      }
      if (source.uploads.size() >= options_.limits.max_uploads) {
        x.active = false;
        free_flows_.push_back(f);
        ++source.refused;
        Post(copy.target,
             transfer_failed{NameOf(copy.chunk), SourceOf(copy),
                             transfer_failure::kRefused},
             kMessageDelay);
        return;
      }
    }
    x.updated = now_;
    source.uploads.push_back(f);
    agents_[x.target].downloads.push_back(f);
    if (x.crosses_regions) {
      cross_region_flows_.push_back(f);
    }
    Rebalance(copy);
  }

  void Rebalance(const flow& changed) {
    const std::vector<std::size_t> up = agents_[changed.source].uploads;
    const std::vector<std::size_t> down = agents_[changed.target].downloads;
    for (const std::size_t f : up) {
      UpdateRate(f);
    }
    for (const std::size_t f : down) {
      UpdateRate(f);
    }
    if (changed.crosses_regions) {
      for (const std::size_t f : cross_region_flows_) {
        UpdateRate(f);
      }
    }
  }

  void UpdateRate(std::size_t f) {
    flow& x = flows_[f];
    const double up = x.source == origin() ? kOriginRate : kLinkRate;
    double rate = std::min(
        up / static_cast<double>(agents_[x.source].uploads.size()),
        kLinkRate / static_cast<double>(agents_[x.target].downloads.size()));
    if (x.crosses_regions) {
      rate = std::min(
          rate, kRegionRate / static_cast<double>(cross_region_flows_.size()));
    }
    if (rate == x.rate) {
      return;
    }
    x.remaining -= x.rate * ToSeconds(now_ - x.updated);
    x.updated = now_;
    x.rate = rate;
    ++x.stamp;
    Push(FromSeconds(std::max(x.remaining, 0.0) / rate) + duration(1),
         kind::kFinish, f, x.stamp);
  }

  void Remove(std::size_t f) {
    flow& x = flows_[f];
    x.active = false;
    ++x.stamp;
    std::erase(agents_[x.source].uploads, f);
    std::erase(agents_[x.target].downloads, f);
    if (x.crosses_regions) {
      std::erase(cross_region_flows_, f);
    }
    free_flows_.push_back(f);
    const flow copy = x;
    Rebalance(copy);
  }

  void Finish(std::size_t f) {
    const flow done = flows_[f];
    Remove(f);
    const digest name = NameOf(done.chunk);
    const bool peer = done.source != origin();
    if (peer && random_.Fraction() < options_.corrupt_share) {
      Feed(done.target,
           chunk_received{name, SourceOf(done), chunk_check::kCorrupt});
      return;
    }
    const std::size_t centre = done.target % options_.data_centres;
    if (!peer) {
      ++origin_chunks_;
      ++origin_chunk_copies_[centre];
    }
    if (done.crosses_regions) {
      ++cross_region_chunks_;
    }
    Feed(done.target, chunk_received{name, SourceOf(done), chunk_check::kOk});
    Feed(done.target, chunk_staged{name});
  }

  void FailAgent(std::size_t index) {
    agent& a = agents_[index];
    a.alive = false;
    if (!a.complete) {
      --remaining_;
    }
    const std::vector<std::size_t> down = a.downloads;
    for (const std::size_t f : down) {
      Remove(f);
    }
    // Uploads stop without notice; targets detect the silent link.
    const std::vector<std::size_t> up = a.uploads;
    for (const std::size_t f : up) {
      const flow copy = flows_[f];
      Remove(f);
      Post(copy.target,
           transfer_failed{NameOf(copy.chunk), SourceOf(copy),
                           transfer_failure::kTimeout},
           kLinkFailureDelay);
    }
    for (std::size_t i = 0; i < options_.vms; ++i) {
      if (agents_[i].member.data_centre == a.member.data_centre) {
        Post(i, peer_lost{a.member.vm}, kLinkFailureDelay);
      }
    }
    std::erase(members_, a.member);
    members_stale_ = true;
  }

  void Print() {
    const double n = static_cast<double>(options_.vms);
    const double bound =
        std::max({kModelSize / kOriginRate, kModelSize / kLinkRate,
                  n * kModelSize / (kOriginRate + (n * kLinkRate))});
    const double time = finished_.empty() ? 0 : finished_.back();
    const double median =
        finished_.empty() ? 0 : finished_[finished_.size() / 2];
    const auto chunks = static_cast<double>(options_.chunks);
    std::uint64_t messages = 0;
    std::uint64_t most = 0;
    std::uint64_t refused = 0;
    for (const agent& a : agents_) {
      messages += a.messages;
      refused += a.refused;
      most = std::max(most, a.messages);
    }
    std::uint64_t worst = 0;
    for (const std::uint64_t copies : origin_chunk_copies_) {
      worst = std::max(worst, copies);
    }
    const double chunk_time = kModelSize / chunks / kLinkRate;
    std::printf(
        "n=%zu dcs=%zu regions=%zu chunks=%zu dying=%.2f corrupt=%.2f "
        "policy=%s seed=%llu complete=%s time_s=%.1f median_s=%.1f "
        "bound_s=%.1f ratio=%.3f origin_copies=%.3f max_copies_per_dc=%.3f "
        "region_crossings=%.3f messages_mean=%.0f messages_max=%llu "
        "refused_mean=%.0f all_from_origin_s=%.1f chain_s=%.1f tree_s=%.1f\n",
        options_.vms, options_.data_centres, options_.regions, options_.chunks,
        options_.failing_share, options_.corrupt_share,
        options_.sequential ? "sequential" : "rarest_first",
        static_cast<unsigned long long>(options_.seed),
        remaining_ == 0 ? "yes" : "no", time, median, bound, time / bound,
        static_cast<double>(origin_chunks_) / chunks,
        static_cast<double>(worst) / chunks,
        static_cast<double>(cross_region_chunks_) / chunks,
        static_cast<double>(messages) / n,
        static_cast<unsigned long long>(most), static_cast<double>(refused) / n,
        std::max(n * kModelSize / kOriginRate, kModelSize / kLinkRate),
        (kModelSize / kLinkRate) + ((n - 1) * chunk_time),
        // Binary tree: each inner VM sends every chunk twice.
        (2 * kModelSize / kLinkRate) + (2 * chunk_time * std::log2(n)));
    std::fflush(stdout);
  }

  bench_case options_;
  random_source random_;
  std::vector<agent> agents_;  // The last element is the origin.
  std::vector<fetch_member> members_;
  bool members_stale_ = false;
  std::map<vm_id, std::size_t> vm_index_;
  std::map<digest, std::size_t> chunk_index_;
  double chunk_size_ = 0;
  std::vector<flow> flows_;
  std::vector<std::size_t> free_flows_;
  std::vector<std::size_t> cross_region_flows_;
  std::vector<pending> pending_;
  std::vector<std::size_t> free_;
  std::priority_queue<queued> queue_;
  std::uint64_t sequence_ = 0;
  time_point now_;
  std::size_t remaining_ = 0;
  std::vector<double> finished_;
  std::uint64_t origin_chunks_ = 0;
  std::vector<std::uint64_t> origin_chunk_copies_;
  std::uint64_t cross_region_chunks_ = 0;
};

int RunAll(int argc, char** argv) {
  std::map<std::string, std::string, std::less<>> options = {
      {"--n", ""},
      {"--dcs", ""},
      {"--regions", ""},
      {"--seed", "1"},
      {"--corrupt", "0"},
      {"--peers-dying", "0"},
      {"--chunks", "256"},
      {"--policy", "rarest_first"},
      {"--downloads", ""},
      {"--uploads", ""},
      {"--window", ""},
      {"--neighbours", ""},
      {"--origin-copies", ""}};
  for (int i = 1; i < argc; i += 2) {
    const auto it = options.find(std::string_view(argv[i]));
    if (it == options.end() || i + 1 >= argc) {
      std::fprintf(stderr, "unknown option or missing value: %s\n", argv[i]);
      return 2;
    }
    it->second = argv[i + 1];
  }
  const auto number = [&options](const char* name, std::size_t fallback) {
    const std::string& text = options.find(name)->second;
    return text.empty() ? fallback
                        : static_cast<std::size_t>(std::stoull(text));
  };
  const std::vector<std::pair<std::size_t, std::size_t>> shapes = {
      {1, 1}, {3, 1}, {6, 1}, {3, 2}, {6, 2}};
  for (const std::size_t n : {16U, 100U, 350U, 1400U}) {
    for (const auto& [centres, regions] : shapes) {
      if (n != number("--n", n) || centres != number("--dcs", centres) ||
          regions != number("--regions", regions)) {
        continue;
      }
      bench_case one;
      one.vms = n;
      one.data_centres = centres;
      one.regions = regions;
      one.chunks = number("--chunks", 256);
      one.failing_share = std::stod(options["--peers-dying"]);
      one.corrupt_share = std::stod(options["--corrupt"]);
      one.seed = number("--seed", 1);
      one.sequential = options["--policy"] == "sequential";
      transfer_limits& limits = one.limits;
      limits.max_peer_downloads =
          number("--downloads", limits.max_peer_downloads);
      limits.max_uploads = number("--uploads", limits.max_uploads);
      limits.origin_window = number("--window", limits.origin_window);
      limits.neighbours = number("--neighbours", limits.neighbours);
      limits.max_origin_copies =
          number("--origin-copies", limits.max_origin_copies);
      simulation(one).Run();
    }
  }
  return 0;
}

}  // namespace
}  // namespace fireflyslip

int main(int argc, char** argv) {
  return fireflyslip::RunAll(argc, argv);
}
