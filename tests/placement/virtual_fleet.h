#ifndef FIREFLYSLIP_TESTS_PLACEMENT_VIRTUAL_FLEET_H_
#define FIREFLYSLIP_TESTS_PLACEMENT_VIRTUAL_FLEET_H_

#include <array>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <numbers>
#include <optional>
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
  std::optional<int> urgency = std::nullopt;  ///< By default the index.
};

struct kind_outcome {
  std::size_t submitted = 0;
  std::size_t started_on_time = 0;  ///< First event within the target.
  std::size_t on_time = 0;          ///< And no gap above the limit.
  std::size_t late = 0;
  std::size_t refused = 0;

  /// \brief Fraction of the submitted requests.
  double Share(std::size_t count) const {
    return static_cast<double>(count) / static_cast<double>(submitted);
  }
};

/// \brief Discrete-event simulation of several gateways in front of engines.
/// The gateways learn of each other only from the reports of the engines.
class virtual_fleet {
 public:
  static constexpr duration kReportInterval = milliseconds(100);
  static constexpr duration kPathDelay = milliseconds(2);
  static constexpr duration kMaxGap = milliseconds(400);

  virtual_fleet(placement_policy policy,
                std::size_t gateways,
                std::size_t engines,
                std::uint64_t seed,
                const dispatcher::service_traits& traits = {})
      : random_(seed), engines_(engines), pass_running_(engines, false) {
    auto upstreams = std::make_shared<upstream_map>();
    const std::array<data_centre_id, 3> data_centres = {
        data_centre_id("a"), data_centre_id("b"), data_centre_id("c")};
    for (std::size_t i = 0; i < engines; ++i) {
      upstream_entry entry;
      entry.id = EngineId(i);
      entry.service = service_name("engine");
      entry.address = entry.id.value() + ":1";
      entry.data_centre = data_centres[i % data_centres.size()];
      entry.slots = virtual_engine::kSlots;
      entry.model_versions[model_] = 1;
      upstreams->emplace(entry.id, entry);
      const duration phase =
          kReportInterval * static_cast<int>(i) / static_cast<int>(engines);
      At(now_ + phase, [this, i] { Report(i); });
    }
    for (std::size_t i = 0; i < gateways; ++i) {
      policy.data_centre = data_centres[i % data_centres.size()];
      gateways_.push_back(std::make_unique<dispatcher>(
          policy, version_targets(seconds(8)), random_source(seed * 100 + i)));
      gateways_.back()->Handle(dispatcher::platform_responded{}, now_);
      gateways_.back()->Handle(
          dispatcher::services_changed{{{service_name("engine"), traits}}},
          now_);
      Deliver(i, dispatcher::upstreams_changed{upstreams});
    }
  }

  /// \brief Poisson arrivals of all kinds for `length`.
  void Play(const std::vector<stream_kind>& kinds, duration length) {
    for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
      time_point at = now_;
      for (;;) {
        at += FromSeconds(-std::log(1 - random_.Fraction()) /
                          kinds[kind].per_second);
        if (at > now_ + length) {
          break;
        }
        AddJob(kinds[kind].urgency.value_or(static_cast<int>(kind)),
               kinds[kind], at);
      }
    }
    const time_point end = now_ + length + seconds(8);
    while (!events_.empty() && events_.top().at <= end) {
      const scheduled_event next = events_.top();
      events_.pop();
      now_ = next.at;
      next.run();
      Tick();
    }
  }

  /// \brief Makes some of the engines slower by a factor from a time after the
  /// start until another one.
  void SlowDown(std::size_t engines,
                int factor,
                duration from,
                duration until) {
    for (std::size_t i = 0; i < engines; ++i) {
      virtual_engine& engine = engines_[i];
      At(now_ + from, [&engine, factor] { engine.set_slowness(factor); });
      At(now_ + until, [&engine] { engine.set_slowness(1); });
    }
  }

  /// \brief Outcome of the requests that arrived from a time after the start
  /// until another one.
  kind_outcome OutcomeBetween(duration from, duration until) const {
    return Count([=, this](const stream_job& job) {
      return job.arrived >= start_ + from && job.arrived < start_ + until;
    });
  }

  kind_outcome Outcome(int urgency) const {
    return Count(
        [urgency](const stream_job& job) { return job.urgency == urgency; });
  }

 private:
  template <typename Predicate>
  kind_outcome Count(Predicate counts) const {
    kind_outcome outcome;
    for (const auto& [id, job] : jobs_) {
      if (!counts(job)) {
        continue;
      }
      ++outcome.submitted;
      if (!job.done) {
        ++outcome.refused;
        continue;
      }
      const bool started = *job.first_event - job.arrived <= job.target;
      const bool on_time = started && job.max_gap <= kMaxGap;
      outcome.started_on_time += started ? 1 : 0;
      ++(on_time ? outcome.on_time : outcome.late);
    }
    return outcome;
  }

  struct scheduled_event {
    time_point at;
    std::uint64_t order = 0;
    std::function<void()> run;

    bool operator<(const scheduled_event& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  static upstream_id EngineId(std::size_t index) {
    return upstream_id("e" + std::to_string(index));
  }

  void At(time_point at, std::function<void()> run) {
    events_.push({at, next_order_++, std::move(run)});
  }

  /// Log-normal size, capped at three times the mean.
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
    const std::size_t gateway = random_.Below(gateways_.size());
    gateway_of_[id] = gateway;
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
    work.cost = job.prompt / virtual_engine::kPrefillTokensPerMs + job.output;
    work.prefill_time =
        FromSeconds(job.prompt / virtual_engine::kPrefillTokensPerMs / 1000);
    // Gateways cannot tell a retry of a client from a new request.
    work.response_due = now_ + job.target;
    work.client_deadline = now_ + seconds(6);
    Deliver(gateway_of_.at(id), work);
  }

  void Deliver(std::size_t gateway, const dispatcher::event& event) {
    for (const auto& action : gateways_[gateway]->Handle(event, now_)) {
      if (const auto* start = std::get_if<dispatcher::start>(&action)) {
        const auto engine = std::stoul(start->upstream.id.value().substr(1));
        const dispatch_id id = start->id;
        At(now_ + kPathDelay, [this, engine, id] {
          id_of_[&jobs_.at(id)] = id;
          engines_[engine].Enqueue(jobs_.at(id));
          BeginPass(engine);
        });
      } else {
        const auto& refusal = std::get<dispatcher::refuse>(action);
        if (++jobs_.at(refusal.id).refusals == 1) {  // clients retry once
          const dispatch_id id = refusal.id;
          gateway_of_[id] = random_.Below(gateways_.size());
          At(now_ + refusal.retry_after, [this, id] { Submit(id); });
        }
      }
    }
  }

  void Tick() {
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
      const auto deadline = gateways_[i]->NextDeadline();
      if (deadline && *deadline <= now_) {
        Deliver(i, tick{});
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
        At(now_ + kPathDelay, [this, id, first, done] {
          const std::size_t gateway = gateway_of_.at(id);
          if (first) {
            Deliver(gateway, dispatcher::response_begun{id});
          }
          if (done) {
            Deliver(gateway, dispatcher::attempt_completed{
                                 id, attempt_status::kSucceeded});
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
    load.gateways = static_cast<std::uint32_t>(gateways_.size());
    load.round_trip_time = kPathDelay * 2;
    load.model_versions[model_] = 1;
    At(now_ + kPathDelay, [this, engine, load] {
      for (std::size_t i = 0; i < gateways_.size(); ++i) {
        Deliver(i, dispatcher::load_reported{EngineId(engine), load});
      }
    });
    At(now_ + kReportInterval, [this, engine] { Report(engine); });
  }

  const model_name model_{"m"};
  random_source random_;
  const time_point start_ = time_point(seconds(100));
  time_point now_ = start_;
  std::vector<virtual_engine> engines_;
  std::vector<bool> pass_running_;
  std::vector<std::unique_ptr<dispatcher>> gateways_;
  std::priority_queue<scheduled_event> events_;
  std::set<time_point> ticks_;
  std::uint64_t next_order_ = 0;
  dispatch_id next_work_ = 1;
  std::map<dispatch_id, stream_job> jobs_;
  std::map<dispatch_id, std::size_t> gateway_of_;
  std::map<const stream_job*, dispatch_id> id_of_;
};

}  // namespace fireflyslip::testing_support

#endif  // FIREFLYSLIP_TESTS_PLACEMENT_VIRTUAL_FLEET_H_
