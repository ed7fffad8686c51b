// Compares static and lent shares of a contract in virtual time. Prints one
// line of key=value pairs per figure.

#include <algorithm>
#include <cstdio>
#include <deque>
#include <variant>
#include <vector>

#include "admission/share_network.h"
#include "fireflyslip/admission.h"
#include "fireflyslip/core.h"

namespace fireflyslip {
namespace {

using testing_support::network_faults;
using testing_support::share_network;

constexpr std::size_t kGateways = 8;
constexpr double kRate = 1000;
constexpr double kBurst = 2;
constexpr int kSteps = 12000;
constexpr int kWindowSteps = 1000;  // 10 s

struct outcome_figures {
  double used = 0;    // fraction of the contract, after the first 10 s
  double excess = 0;  // highest in any 10 s, relative to rate · (10 s + burst)
};

// One workspace whose clients send `demand_factor` times the contract, spread
// over `busy_gateways` of the gateways, which change every 20 s.
outcome_figures Run(bool lend,
                    bool partitions,
                    const network_faults& faults,
                    double demand_factor,
                    std::size_t busy_gateways) {
  random_source random(5);
  share_network network(kGateways, faults, 11);
  const workspace_limits limits{workspace_id("w"), kRate, 1e9, kBurst, 1};
  std::vector<admission_controller> controllers(kGateways);
  for (auto& controller : controllers) {
    controller.Handle(
        admission_controller::limits_changed{{limits}, 1.0 / kGateways}, {});
  }
  std::deque<int> window;
  int in_window = 0;
  int max_in_window = 0;
  double total = 0;
  for (int step = 0; step < kSteps; ++step) {
    const auto first = static_cast<std::size_t>(step / 2000) * busy_gateways;
    const auto is_busy = [&](std::size_t i) {
      return (i + kGateways * kSteps - first) % kGateways < busy_gateways;
    };
    const double demand = demand_factor / static_cast<double>(busy_gateways);
    if (step % 100 == 0) {
      for (std::size_t i = 0; i < kGateways; ++i) {
        network.SetDemand(i, is_busy(i) ? demand : 0);
      }
    }
    if (partitions && step % 1500 == 0) {
      for (std::size_t i = 0; i < kGateways; ++i) {
        network.SetPartition(i, static_cast<int>(random.Below(2)));
      }
    }
    network.Step();
    int admitted = 0;
    for (std::size_t i = 0; i < kGateways; ++i) {
      const time_point local = network.LocalTime(i);
      if (lend) {
        controllers[i].Handle(
            admission_controller::share_changed{limits.workspace,
                                                network.share(i)},
            local);
      }
      const double arrivals = is_busy(i) ? kRate * demand / 100 : 0;
      for (int n = 0; n < static_cast<int>(arrivals); ++n) {
        const auto actions = controllers[i].Handle(
            admission_controller::request_arrived{{}, limits.workspace, 1},
            local);
        admitted +=
            std::holds_alternative<admission_controller::admit>(actions[0]) ? 1
                                                                            : 0;
      }
    }
    window.push_back(admitted);
    in_window += admitted;
    if (window.size() > kWindowSteps) {
      in_window -= window.front();
      window.pop_front();
    }
    max_in_window = std::max(max_in_window, in_window);
    total += step >= kWindowSteps ? admitted : 0;
  }
  return {total / (kRate * (kSteps - kWindowSteps) / 100),
          max_in_window / (kRate * (10 + kBurst)) - 1};
}

void Report(const char* name,
            bool partitions,
            const network_faults& faults,
            double demand_factor,
            std::size_t busy_gateways) {
  for (const bool lend : {false, true}) {
    const outcome_figures figures =
        Run(lend, partitions, faults, demand_factor, busy_gateways);
    std::printf(
        "figure=contract case=%s shares=%s used=%.3f highest_excess_10s=%.4f\n",
        name, lend ? "lent" : "static", figures.used, figures.excess);
  }
}

}  // namespace
}  // namespace fireflyslip

int main() {
  using fireflyslip::milliseconds;
  fireflyslip::Report("uneven_demand", false, {}, 1, 1);
  fireflyslip::Report("uneven_20x", false, {}, 20, 1);
  fireflyslip::Report("all_busy", false, {}, 20, 8);
  fireflyslip::Report("lost_messages", false,
                      {0.2, 0.1, milliseconds(500), 0.01}, 20, 4);
  fireflyslip::Report("partitions", true, {0.2, 0.1, milliseconds(500), 0.01},
                      20, 4);
}
