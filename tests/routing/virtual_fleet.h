#ifndef FIREFLYSLIP_TESTS_ROUTING_VIRTUAL_FLEET_H_
#define FIREFLYSLIP_TESTS_ROUTING_VIRTUAL_FLEET_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "fireflyslip/core.h"
#include "fireflyslip/routing.h"

namespace fireflyslip::testing_support {

struct fleet_metrics {
  double p95_wait = 0;       ///< Seconds from arrival until service starts.
  double longest_queue = 0;  ///< Queued tokens at one upstream.
};

/// \brief Simulates entries that route Poisson arrivals at 80 % of the capacity
/// to upstreams of two speeds, whose load reports arrive with delay `age`. Each
/// upstream serves its queue in FIFO order.
template <typename Policy>
fleet_metrics SimulateFleet(duration age, std::uint64_t seed) {
  constexpr std::size_t kEntries = 4;
  constexpr std::size_t kUpstreams = 16;
  constexpr double kMeanTokens = 100;
  constexpr duration kReportInterval = milliseconds(200);
  constexpr duration kSimulatedTime = seconds(120);
  using router = request_router<Policy>;
  random_source random(seed);
  std::vector<router> routers;
  std::vector<double> rates;
  double capacity = 0;
  for (std::size_t i = 0; i < kUpstreams; ++i) {
    rates.push_back(i % 2 == 0 ? 1000 : 700);
    capacity += rates.back();
  }
  for (std::size_t i = 0; i < kEntries; ++i) {
    routers.emplace_back(
        routing_settings{region_id("r"), data_centre_id("d"), milliseconds(100),
                         0, seconds(1), kEntries},
        random_source(random.Next()));
    for (std::size_t j = 0; j < kUpstreams; ++j) {
      routers.back().Handle(
          routing_types::upstream_changed{upstream_id(std::to_string(j)),
                                          region_id("r"), data_centre_id("d"),
                                          "m", model_version("v"), true},
          {});
    }
  }
  struct completion {
    std::size_t entry;
    routing_types::request_finished event;
  };
  std::vector<time_point> free_at(kUpstreams);
  std::multimap<time_point, completion> completions;
  std::multimap<time_point, routing_types::load_reported> reports;
  std::vector<double> waits;
  fleet_metrics metrics;
  time_point now;
  time_point next_report;
  for (std::uint64_t sequence = 0; now < time_point(kSimulatedTime);
       ++sequence) {
    now += FromSeconds(-std::log(1 - random.Fraction()) * kMeanTokens /
                       (0.8 * capacity));
    while (next_report <= now) {
      for (std::size_t j = 0; j < kUpstreams; ++j) {
        const double busy = std::max(0.0, ToSeconds(free_at[j] - next_report));
        reports.emplace(
            next_report + age,
            routing_types::load_reported{
                upstream_id(std::to_string(j)), 0,
                static_cast<std::uint64_t>(busy * rates[j]), rates[j], age});
      }
      next_report += kReportInterval;
    }
    while (!completions.empty() && completions.begin()->first <= now) {
      const auto& [at, done] = *completions.begin();
      routers[done.entry].Handle(done.event, at);
      completions.erase(completions.begin());
    }
    while (!reports.empty() && reports.begin()->first <= now) {
      for (router& router : routers) {
        router.Handle(reports.begin()->second, reports.begin()->first);
      }
      reports.erase(reports.begin());
    }
    const std::size_t entry = random.Below(kEntries);
    const auto tokens = static_cast<std::uint64_t>(
        kMeanTokens * (0.2 + 1.6 * random.Fraction()));
    const request_id id{vm_id("e"), 1, sequence};
    const auto actions = routers[entry].Handle(
        routing_types::request_arrived{id, "m", request_rank::kStandard, 0,
                                       tokens},
        now);
    const auto& routed = std::get<routing_types::route>(actions.at(0));
    const std::size_t j = std::stoul(routed.upstream.value());
    const time_point start = std::max(now, free_at[j]);
    free_at[j] = start + FromSeconds(static_cast<double>(tokens) / rates[j]);
    completions.emplace(free_at[j],
                        completion{entry, {id, routed.upstream, tokens}});
    if (now > time_point(seconds(20))) {  // excludes the slow start
      waits.push_back(ToSeconds(start - now));
      metrics.longest_queue = std::max(metrics.longest_queue,
                                       ToSeconds(free_at[j] - now) * rates[j]);
    }
  }
  std::sort(waits.begin(), waits.end());
  metrics.p95_wait = waits.at(waits.size() * 95 / 100);
  return metrics;
}

}  // namespace fireflyslip::testing_support

#endif  // FIREFLYSLIP_TESTS_ROUTING_VIRTUAL_FLEET_H_
