#ifndef FIREFLYSLIP_TESTS_PLACEMENT_VIRTUAL_FLEET_H_
#define FIREFLYSLIP_TESTS_PLACEMENT_VIRTUAL_FLEET_H_

#include <array>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <numbers>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "placement/virtual_engine.h"

namespace fireflyslip::testing_support {

/// \brief A kind of stream of a workload.
struct stream_kind {
  double per_second = 1;
  double prompt = 1000;  ///< Mean tokens.
  double output = 100;   ///< Mean tokens.
  duration target = milliseconds(400);
};

struct kind_outcome {
  std::size_t asked = 0;
  std::size_t begun_in_time = 0;  ///< First event within the target.
  std::size_t in_time = 0;        ///< And no pause that was too long.
  std::size_t late = 0;
  std::size_t refused = 0;

  /// \brief Part of the requests that were asked for.
  double Share(std::size_t count) const {
    return static_cast<double>(count) / static_cast<double>(asked);
  }
};

/// \brief Several entries in front of engines, all in virtual time. Entries
/// know of each other only by the reports of the engines.
class virtual_fleet {
 public:
  static constexpr duration kReportInterval = milliseconds(100);
  static constexpr duration kPath = milliseconds(2);
  static constexpr duration kLongestPause = milliseconds(400);

  virtual_fleet(placement_policy policy,
                std::size_t entries,
                std::size_t engines,
                std::uint64_t seed)
      : random_(seed), engines_(engines), pass_running_(engines, false) {
    auto upstreams = std::make_shared<upstream_map>();
    const std::array<data_centre_id, 3> places = {
        data_centre_id("a"), data_centre_id("b"), data_centre_id("c")};
    for (std::size_t i = 0; i < engines; ++i) {
      upstream_entry entry;
      entry.id = EngineId(i);
      entry.service = service_name("engine");
      entry.address = entry.id.value() + ":1";
      entry.data_centre = places[i % places.size()];
      entry.slots = virtual_engine::kSlots;
      entry.model_versions[model_] = 1;
      upstreams->emplace(entry.id, entry);
      const duration phase =
          kReportInterval * static_cast<int>(i) / static_cast<int>(engines);
      At(now_ + phase, [this, i] { Report(i); });
    }
    for (std::size_t i = 0; i < entries; ++i) {
      policy.data_centre = places[i % places.size()];
      entries_.push_back(std::make_unique<dispatcher>(
          policy, version_targets(seconds(8), seconds(5)),
          random_source(seed * 100 + i)));
      entries_.back()->Handle(dispatcher::platform_responded{}, now_);
      Give(i, dispatcher::upstreams_changed{upstreams});
    }
  }

  /// \brief Poisson arrivals of all kinds for `length`; urgency is the index.
  void Play(const std::vector<stream_kind>& kinds, duration length) {
    for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
      time_point at = now_;
      for (;;) {
        at += FromSeconds(-std::log(1 - random_.Fraction()) /
                          kinds[kind].per_second);
        if (at > now_ + length) {
          break;
        }
        AddJob(static_cast<int>(kind), kinds[kind], at);
      }
    }
    const time_point end = now_ + length + seconds(8);
    while (!events_.empty() && events_.top().at <= end) {
      const planned next = events_.top();
      events_.pop();
      now_ = next.at;
      next.run();
      Tick();
    }
  }

  kind_outcome Outcome(int urgency) const {
    kind_outcome outcome;
    for (const auto& [id, job] : jobs_) {
      if (job.urgency != urgency) {
        continue;
      }
      ++outcome.asked;
      if (!job.done) {
        ++outcome.refused;
        continue;
      }
      const bool begun = *job.first_event - job.arrived <= job.target;
      const bool in_time = begun && job.longest_pause <= kLongestPause;
      outcome.begun_in_time += begun ? 1 : 0;
      ++(in_time ? outcome.in_time : outcome.late);
    }
    return outcome;
  }

 private:
  struct planned {
    time_point at;
    std::uint64_t order = 0;
    std::function<void()> run;

    bool operator<(const planned& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  static upstream_id EngineId(std::size_t index) {
    return upstream_id("e" + std::to_string(index));
  }

  void At(time_point at, std::function<void()> run) {
    events_.push({at, next_order_++, std::move(run)});
  }

  /// Log-normal sizes: a few requests are several times the mean.
  double Size(double mean, double spread) {
    const double normal = std::sqrt(-2 * std::log(1 - random_.Fraction())) *
                          std::cos(2 * std::numbers::pi * random_.Fraction());
    constexpr double kLargest = 3;  // of the mean
    const double sigma = std::sqrt(std::log(1 + spread * spread));
    return std::min(mean * kLargest,
                    mean * std::exp(sigma * normal - sigma * sigma / 2));
  }

  void AddJob(int urgency, const stream_kind& kind, time_point at) {
    const dispatch_id id = next_work_++;
    stream_job& job = jobs_[id];
    job.urgency = urgency;
    job.prompt = Size(kind.prompt, 1.0);
    job.output = Size(kind.output, 0.8);
    job.target = kind.target;
    job.arrived = at;
    const std::size_t entry = random_.Below(entries_.size());
    entry_of_[id] = entry;
    At(at, [this, id] { Submit(id); });
  }

  void Submit(dispatch_id id) {
    const stream_job& job = jobs_.at(id);
    dispatcher::submit work;
    work.id = id;
    work.service = service_name("engine");
    work.model = model_;
    work.workspace = workspace_id("w" + std::to_string(id % 10));
    work.priority = job.urgency;
    work.urgency = job.urgency;
    work.cost = job.prompt / virtual_engine::kTokensReadPerMs + job.output;
    work.prefill_time =
        FromSeconds(job.prompt / virtual_engine::kTokensReadPerMs / 1000);
    // Entries cannot tell a client that returns from a new one.
    work.response_due = now_ + job.target;
    work.client_deadline = now_ + seconds(6);
    Give(entry_of_.at(id), work);
  }

  void Give(std::size_t entry, const dispatcher::event& event) {
    for (const auto& action : entries_[entry]->Handle(event, now_)) {
      if (const auto* start = std::get_if<dispatcher::start>(&action)) {
        const auto engine = std::stoul(start->upstream.id.value().substr(1));
        const dispatch_id id = start->id;
        At(now_ + kPath, [this, engine, id] {
          id_of_[&jobs_.at(id)] = id;
          engines_[engine].Arrive(jobs_.at(id));
          BeginPass(engine);
        });
      } else {
        const auto& refusal = std::get<dispatcher::refuse>(action);
        if (++jobs_.at(refusal.id).refusals == 1) {  // clients return once
          const dispatch_id id = refusal.id;
          entry_of_[id] = random_.Below(entries_.size());
          At(now_ + refusal.retry_after, [this, id] { Submit(id); });
        }
      }
    }
  }

  void Tick() {
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      const auto deadline = entries_[i]->NextDeadline();
      if (deadline && *deadline <= now_) {
        Give(i, tick{});
      } else if (deadline) {
        if (ticks_.insert(*deadline).second) {
          At(*deadline, [] {});
        }
      }
    }
  }

  void BeginPass(std::size_t engine) {
    if (pass_running_[engine]) {
      return;
    }
    const duration length = engines_[engine].BeginPass();
    if (length == duration(0)) {
      return;
    }
    pass_running_[engine] = true;
    At(now_ + length, [this, engine] {
      pass_running_[engine] = false;
      for (stream_job* job : engines_[engine].EndPass(now_)) {
        const dispatch_id id = id_of_.at(job);
        const bool first = *job->first_event == now_;
        const bool done = job->done;
        At(now_ + kPath, [this, id, first, done] {
          const std::size_t entry = entry_of_.at(id);
          if (first) {
            Give(entry, dispatcher::response_begun{id});
          }
          if (done) {
            Give(entry,
                 dispatcher::attempt_completed{id, attempt_status::kSucceeded});
          }
        });
      }
      BeginPass(engine);
    });
  }

  void Report(std::size_t engine) {
    upstream_load load;
    load.active = engines_[engine].active();
    load.queued = engines_[engine].queued();
    load.gateways = static_cast<std::uint32_t>(entries_.size());
    load.round_trip_time = kPath * 2;
    load.model_versions[model_] = 1;
    At(now_ + kPath, [this, engine, load] {
      for (std::size_t i = 0; i < entries_.size(); ++i) {
        Give(i, dispatcher::load_reported{EngineId(engine), load});
      }
    });
    At(now_ + kReportInterval, [this, engine] { Report(engine); });
  }

  const model_name model_{"m"};
  random_source random_;
  time_point now_ = time_point(seconds(100));
  std::vector<virtual_engine> engines_;
  std::vector<bool> pass_running_;
  std::vector<std::unique_ptr<dispatcher>> entries_;
  std::priority_queue<planned> events_;
  std::set<time_point> ticks_;
  std::uint64_t next_order_ = 0;
  dispatch_id next_work_ = 1;
  std::map<dispatch_id, stream_job> jobs_;
  std::map<dispatch_id, std::size_t> entry_of_;
  std::map<const stream_job*, dispatch_id> id_of_;
};

}  // namespace fireflyslip::testing_support

#endif  // FIREFLYSLIP_TESTS_PLACEMENT_VIRTUAL_FLEET_H_
