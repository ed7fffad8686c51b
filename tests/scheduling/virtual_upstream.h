#ifndef FIREFLYSLIP_TESTS_SCHEDULING_VIRTUAL_UPSTREAM_H_
#define FIREFLYSLIP_TESTS_SCHEDULING_VIRTUAL_UPSTREAM_H_

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <map>
#include <numeric>
#include <queue>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "fireflyslip/core.h"
#include "fireflyslip/scheduling.h"

namespace fireflyslip::testing_support {

/// \brief One request of a workload and its result.
struct job {
  request_scheduler::enqueue request;
  time_point arrival;
  double tokens = 0;  ///< Required tokens; the estimate may differ.
  double generated = 0;
  time_point started;
  time_point ended;
  int starts = 0;
  std::vector<std::pair<time_point, time_point>> runs;  ///< Ended runs.
  bool is_done = false;

  bool MetDeadline() const { return is_done && ended <= request.deadline; }
};

/// \brief Requests of one workspace and rank with Poisson arrivals.
struct load {
  std::string workspace = "w";
  request_rank rank = request_rank::kStandard;
  double per_second = 1;
  duration deadline = seconds(8);
  bool resumable = true;
  double weight = 1;
};

inline constexpr double kMeanTokens = 100;
inline constexpr double kSlotRate = 100;  // tokens per second

inline std::vector<job> MakeJobs(const std::vector<load>& loads,
                                 duration length,
                                 std::uint64_t seed) {
  std::vector<job> jobs;
  for (const load& load : loads) {
    // Each load has its own generator, so that adding a load does not change
    // the arrivals of the others.
    random_source random(seed + std::hash<std::string>{}(load.workspace) +
                         IndexOf(load.rank));
    double at = 0;
    while (true) {
      at -= std::log(1 - random.Fraction()) / load.per_second;
      if (FromSeconds(at) >= length) {
        break;
      }
      job job;
      job.arrival = time_point(FromSeconds(at));
      const double estimate = kMeanTokens * (0.5 + random.Fraction());
      job.tokens = std::round(estimate * (0.8 + 0.4 * random.Fraction()));
      job.request = {{},
                     workspace_id(load.workspace),
                     load.weight,
                     load.rank,
                     job.arrival + load.deadline,
                     static_cast<std::uint64_t>(estimate),
                     load.resumable,
                     false};
      jobs.push_back(job);
    }
  }
  std::stable_sort(jobs.begin(), jobs.end(), [](const job& a, const job& b) {
    return a.arrival < b.arrival;
  });
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    jobs[i].request.attempt = {{vm_id("e"), 1, i}, 0};
  }
  return jobs;
}

/// \brief Discrete-event simulation of a scheduler in front of an upstream.
template <typename Scheduler>
void RunJobs(Scheduler& scheduler, std::vector<job>& jobs, duration length) {
  struct scheduled_event {
    time_point at;
    std::size_t job;
    int start;  // sequence number of the start that it belongs to
    bool is_preemption;
    bool operator>(const scheduled_event& other) const { return at > other.at; }
  };
  constexpr duration kPreemptionLatency = milliseconds(5);
  std::priority_queue<scheduled_event, std::vector<scheduled_event>,
                      std::greater<>>
      events;
  std::size_t next = 0;
  time_point now;
  const auto apply =
      [&](const std::vector<request_scheduler::action>& actions) {
        for (const auto& action : actions) {
          std::visit(
              overloaded{[&](const request_scheduler::start& value) {
                           const std::size_t i = value.attempt.request.sequence;
                           job& job = jobs.at(i);
                           job.started = now;
                           ++job.starts;
                           events.push(
                               {now + FromSeconds((job.tokens - job.generated) /
                                                  kSlotRate),
                                i, job.starts, false});
                         },
                         [&](const request_scheduler::preempt& value) {
                           const std::size_t i = value.attempt.request.sequence;
                           events.push({now + kPreemptionLatency, i,
                                        jobs.at(i).starts, true});
                         },
                         [](const request_scheduler::refuse& /*value*/) {}},
              action);
        }
      };
  while (true) {
    time_point at = time_point(length);
    if (next < jobs.size()) {
      at = std::min(at, jobs[next].arrival);
    }
    if (!events.empty()) {
      at = std::min(at, events.top().at);
    }
    if (const auto deadline = scheduler.NextDeadline()) {
      at = std::min(at, std::max(*deadline, now));
    }
    now = at;
    if (now >= time_point(length)) {
      return;
    }
    if (!events.empty() && events.top().at == now) {
      const scheduled_event event = events.top();
      events.pop();
      job& job = jobs.at(event.job);
      if (job.is_done || job.starts != event.start) {
        continue;
      }
      const double since_start = ToSeconds(now - job.started) * kSlotRate;
      job.runs.emplace_back(job.started, now);
      if (event.is_preemption) {
        job.generated = std::min(job.generated + since_start, job.tokens - 1);
        ++job.starts;  // invalidates the pending end
        apply(scheduler.Handle(
            request_scheduler::preemption_completed{
                job.request.attempt, static_cast<std::uint64_t>(since_start)},
            now));
      } else {
        job.is_done = true;
        job.ended = now;
        apply(scheduler.Handle(
            request_scheduler::finished{
                job.request.attempt, static_cast<std::uint64_t>(since_start)},
            now));
      }
    } else if (next < jobs.size() && jobs[next].arrival == now) {
      const std::size_t arrived = next++;
      apply(scheduler.Handle(jobs[arrived].request, now));
    } else {
      apply(scheduler.Handle(tick{}, now));
    }
  }
}

/// \brief Quantile of the latency of the completed jobs.
inline double LatencyQuantile(const std::vector<job>& jobs,
                              request_rank rank,
                              double quantile) {
  std::vector<double> latencies;
  for (const job& job : jobs) {
    if (job.is_done && job.request.rank == rank) {
      latencies.push_back(ToSeconds(job.ended - job.arrival));
    }
  }
  if (latencies.empty()) {
    return INFINITY;
  }
  std::sort(latencies.begin(), latencies.end());
  return latencies.at(static_cast<std::size_t>(
      quantile * static_cast<double>(latencies.size() - 1)));
}

/// \brief Tokens of the jobs that met their deadline, per workspace.
inline std::map<std::string, double> Goodput(const std::vector<job>& jobs) {
  std::map<std::string, double> sums;
  for (const job& job : jobs) {
    sums[job.request.workspace.value()] += job.MetDeadline() ? job.tokens : 0;
  }
  return sums;
}

inline double TotalGoodput(const std::vector<job>& jobs) {
  double sum = 0;
  for (const auto& [workspace, tokens] : Goodput(jobs)) {
    sum += tokens;
  }
  return sum;
}

/// \brief Minimum share of the capacity that a rank received in any window
/// after `warm_up`. Tokens are spread over the time in which a job ran.
inline double MinShare(const std::vector<job>& jobs,
                       request_rank rank,
                       duration warm_up,
                       duration length,
                       duration window,
                       double capacity) {
  constexpr duration kStep = milliseconds(100);
  std::vector<double> steps(static_cast<std::size_t>(length / kStep) + 1);
  for (const job& job : jobs) {
    if (job.request.rank != rank) {
      continue;
    }
    for (const auto& [start, end] : job.runs) {
      for (time_point at = start; at < end; at += kStep) {
        const duration ran = std::min<duration>(kStep, end - at);
        steps.at(static_cast<std::size_t>(at.time_since_epoch() / kStep)) +=
            ToSeconds(ran) * kSlotRate;
      }
    }
  }
  double min_share = INFINITY;
  const auto width = static_cast<std::size_t>(window / kStep);
  for (auto from = static_cast<std::size_t>(warm_up / kStep);
       from + width < steps.size(); ++from) {
    const auto first = steps.begin() + static_cast<std::ptrdiff_t>(from);
    const double sum =
        std::accumulate(first, first + static_cast<std::ptrdiff_t>(width), 0.0);
    min_share = std::min(min_share, sum / (ToSeconds(window) * capacity));
  }
  return min_share;
}

inline double JainIndex(const std::map<std::string, double>& shares) {
  double sum = 0;
  double squares = 0;
  for (const auto& [name, share] : shares) {
    sum += share;
    squares += share * share;
  }
  return sum * sum / (static_cast<double>(shares.size()) * squares);
}

}  // namespace fireflyslip::testing_support

#endif  // FIREFLYSLIP_TESTS_SCHEDULING_VIRTUAL_UPSTREAM_H_
