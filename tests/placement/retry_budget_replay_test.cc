#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fireflyslip/placement.h"

namespace fireflyslip {
namespace {

constexpr seconds kWindow{10};
constexpr double kRatio = 0.2;
constexpr double kReserve = 100;
constexpr time_point kStart{seconds(1000)};

/// \brief Gateways that retry the requests that upstreams refuse, and the sum
/// of their retries as the service sees it.
class retry_budget_replay {
 public:
  struct period {
    seconds begin;
    seconds end;
    double value = 0;
  };

  struct load_pattern {
    std::size_t gateways = 6;
    double requests_per_s = 1000;   ///< Of all gateways together.
    std::vector<period> traffic;    ///< Factors of the rate.
    std::vector<period> refusing;   ///< Fractions of attempts refused.
    double agents_restart_at = -1;  ///< They count gateways anew, in s.
    bool gateways_change = false;   ///< Half restart, others join and leave.
    seconds places_free_at{0};      ///< Retries of the 3 s before wait for it.
    std::uint64_t seed = 1;
  };

  explicit retry_budget_replay(load_pattern load)
      : load_(std::move(load)), random_(load_.seed) {
    Play();
  }

  /// \brief Greatest excess over the budget of a window, in retries, and the
  /// start of that window.
  std::pair<double, double> WorstExcess() const {
    std::pair<double, double> worst{-kReserve, 0};
    for (std::size_t i = kWindowSteps; i + kWindowSteps < kSteps; ++i) {
      const double most =
          std::max({Sum(requests_, i), Sum(requests_, i - kWindowSteps / 2),
                    Sum(requests_, i - kWindowSteps)});
      const double excess = Sum(retries_, i) - kRatio * most - kReserve;
      worst = std::max(worst, {excess, SecondsAt(i)});
    }
    return worst;
  }

  /// \brief Least retries in a window within the given seconds, as a fraction
  /// of those that the ratio allows for the requests of that window.
  double LeastUsedFraction(double begin, double end) const {
    double least = 1;
    for (std::size_t i = 0; i + kWindowSteps < kSteps; ++i) {
      if (SecondsAt(i) >= begin && SecondsAt(i + kWindowSteps) <= end) {
        least =
            std::min(least, Sum(retries_, i) / (kRatio * Sum(requests_, i)));
      }
    }
    return least;
  }

 private:
  static constexpr milliseconds kStep{20};
  static constexpr std::size_t kWindowSteps = kWindow / kStep;
  /// Seconds before the first request; the windows before it are empty.
  static constexpr seconds kLead{10};
  static constexpr seconds kLength{48};
  static constexpr std::size_t kSteps = (kLead + kLength + kWindow) / kStep;
  static constexpr int kMaxAttempts = 5;

  struct gateway_state {
    gateway_state(time_point now, double rounding)
        : started_at(now),
          window(kWindow, kRatio, rounding),
          allowance(kReserve, kWindow, now) {}

    time_point started_at;
    retry_window window;
    retry_allowance allowance;
  };

  struct request {
    std::size_t gateway = 0;
    std::shared_ptr<gateway_state> process;
    int attempts = 0;
  };

  static double SecondsAt(std::size_t step) {
    return ToSeconds(kStep) * static_cast<double>(step) - ToSeconds(kLead);
  }

  static std::size_t StepAt(time_point at) {
    return static_cast<std::size_t>((at - kStart + kLead) / kStep);
  }

  static double Sum(const std::vector<double>& counts, std::size_t step) {
    double sum = 0;
    for (std::size_t i = 0; i < kWindowSteps; ++i) {
      sum += counts[step + i];
    }
    return sum;
  }

  static double At(const std::vector<period>& periods,
                   time_point now,
                   double otherwise) {
    for (const period& part : periods) {
      if (now >= kStart + part.begin && now < kStart + part.end) {
        return part.value;
      }
    }
    return otherwise;
  }

  duration Between(duration shortest, duration longest) {
    return shortest +
           FromSeconds(ToSeconds(longest - shortest) * random_.Fraction());
  }

  void After(duration delay, std::function<void()> what) {
    scheduled_.emplace(now_ + delay, std::move(what));
  }

  void Play() {
    for (std::size_t i = 0; i < load_.gateways; ++i) {
      StartGateway(i);
    }
    After(duration(0), [this] { SendFromClients(); });
    After(duration(0), [this] { Report(); });
    if (load_.gateways_change) {
      After(seconds(14), [this] { Restart(0, 2); });
      After(seconds(19), [this] { Restart(0, 2); });
      After(seconds(21), [this] { Join(load_.gateways / 2); });
      After(seconds(30), [this] { Leave(load_.gateways / 3); });
      After(seconds(34), [this] { Restart(1, 2); });
    }
    while (!scheduled_.empty()) {
      const auto next = scheduled_.begin();
      now_ = next->first;
      const std::function<void()> what = std::move(next->second);
      scheduled_.erase(next);
      what();
    }
  }

  void StartGateway(std::size_t index) {
    processes_.resize(std::max(processes_.size(), index + 1));
    processes_[index] =
        std::make_shared<gateway_state>(now_, random_.Fraction());
  }

  void Restart(std::size_t first, std::size_t step) {
    for (std::size_t i = first; i < processes_.size(); i += step) {
      if (processes_[i]) {
        StartGateway(i);
      }
    }
  }

  void Join(std::size_t count) {
    const std::size_t first = processes_.size();
    for (std::size_t i = 0; i < count; ++i) {
      StartGateway(first + i);
    }
  }

  void Leave(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      processes_[i * 2].reset();
    }
  }

  /// The agents count the gateways of which they have heard.
  void Report() {
    const auto known =
        std::count_if(processes_.begin(), processes_.end(),
                      [](const auto& process) { return process != nullptr; });
    const double restarted = load_.agents_restart_at;
    const double since = ToSeconds(now_ - kStart) - restarted;
    const bool counts_anew = restarted >= 0 && since >= 0 && since < 1;
    const double reported = counts_anew ? 2 : static_cast<double>(known);
    for (const auto& process : processes_) {
      // The first report follows the first subscription.
      if (process && process->started_at + milliseconds(500) <= now_) {
        process->allowance.SetGatewayCount(reported, now_);
      }
    }
    if (now_ < kStart + kLength) {
      After(milliseconds(100), [this] { Report(); });
    }
  }

  void SendFromClients() {
    const double rate =
        load_.requests_per_s * At(load_.traffic, now_, 1) * ToSeconds(kStep);
    for (double expected = rate; expected > random_.Fraction(); --expected) {
      // Addresses of clients are spread unevenly over the gateways.
      const std::size_t index = std::min(random_.Below(processes_.size()),
                                         random_.Below(processes_.size() * 3));
      if (!processes_[index]) {
        continue;
      }
      ++requests_[StepAt(now_)];
      const request item{index, processes_[index], 0};
      After(Between(milliseconds(1), milliseconds(15)), [this, item] {
        item.process->window.CountRequest(now_);
        Send(item, duration(0));
      });
    }
    if (now_ < kStart + kLength) {
      After(kStep, [this] { SendFromClients(); });
    }
  }

  void Send(request item, duration wait) {
    if (processes_[item.gateway] != item.process) {
      return;  // the process has ended
    }
    ++item.attempts;
    const duration latency = Between(milliseconds(1), milliseconds(30));
    After(wait + latency, [this, item] {
      if (item.attempts > 1) {
        ++retries_[StepAt(now_)];
      }
      if (random_.Fraction() < At(load_.refusing, now_, 0)) {
        After(milliseconds(5), [this, item] { Retry(item); });
      }
    });
  }

  duration Wait() {
    const duration until_free = kStart + load_.places_free_at - now_;
    return until_free > duration(0) && until_free <= seconds(3)
               ? until_free
               : Between(duration(0), milliseconds(20));
  }

  /// A retry is taken when it is decided, and again when it leaves the queue.
  void Retry(const request& item) {
    gateway_state& process = *item.process;
    if (item.attempts >= kMaxAttempts ||
        !process.window.Take(now_, process.allowance.Share(now_))) {
      return;
    }
    const time_point taken_at = now_;
    After(Wait(), [this, item, taken_at] {
      gateway_state& sender = *item.process;
      sender.window.Return(taken_at, now_);
      if (sender.window.Take(now_, sender.allowance.Share(now_))) {
        Send(item, duration(0));
      }
    });
  }

  const load_pattern load_;
  random_source random_;
  time_point now_ = kStart;
  std::multimap<time_point, std::function<void()>> scheduled_;
  std::vector<std::shared_ptr<gateway_state>> processes_;
  std::vector<double> requests_ = std::vector<double>(kSteps + 1);  // as sent
  std::vector<double> retries_ =
      std::vector<double>(kSteps + 1);  // as received
};

using load_pattern = retry_budget_replay::load_pattern;

/// Numbers of gateways, and requests per second of all of them together.
const std::vector<std::pair<std::size_t, double>> kFleets{{6, 1000},
                                                          {8, 1000},
                                                          {33, 1500},
                                                          {149, 3000}};

class retry_budget_replay_test : public testing::Test {
 protected:
  using period = retry_budget_replay::period;

  static void ExpectWithinBudget(const load_pattern& load,
                                 std::optional<period> used = std::nullopt) {
    for (const auto& [gateways, rate] : kFleets) {
      for (const std::uint64_t seed : {1, 2, 3}) {
        SCOPED_TRACE(std::to_string(gateways) + " gateways, seed " +
                     std::to_string(seed));
        load_pattern fleet = load;
        fleet.gateways = gateways;
        fleet.requests_per_s = rate;
        fleet.seed = seed;
        const retry_budget_replay replay(fleet);
        const auto [excess, at] = replay.WorstExcess();
        EXPECT_LE(excess, 0) << "in the window that begins at " << at << " s";
        if (used) {
          EXPECT_GE(replay.LeastUsedFraction(ToSeconds(used->begin),
                                             ToSeconds(used->end)),
                    0.8);
        }
      }
    }
  }
};

// Guards against retries that exceed the budget because each gateway uses the
// window in which it had most requests, and against a bound that leaves the
// budget unused.
TEST_F(retry_budget_replay_test, ConstantTraffic_Refusals_WithinBudgetAndUsed) {
  load_pattern load;
  load.refusing = {{seconds(12), seconds(48), 0.5}};
  ExpectWithinBudget(load, period{seconds(12), seconds(48)});
}

// Guards against retries that are paid by requests of a burst that is only
// partly in the window in which the retries arrive.
TEST_F(retry_budget_replay_test,
       Burst_RefusalsBeginWithin_WithinBudgetAndUsed) {
  load_pattern load;
  load.traffic = {{seconds(6), seconds(16), 3}};
  load.refusing = {{seconds(8), seconds(22), 0.5},
                   {seconds(24), seconds(34), 0.5}};
  ExpectWithinBudget(load, period{seconds(8), seconds(22)});
}

// Guards against a budget that cannot be used while traffic rises.
TEST_F(retry_budget_replay_test, Burst_RefusalsBefore_UsedWhileTrafficRises) {
  load_pattern load;
  load.traffic = {{seconds(20), seconds(35), 3}};
  load.refusing = {{seconds(0), seconds(48), 0.6}};
  ExpectWithinBudget(load, period{seconds(0), seconds(35)});
}

// Guards against a window in which short bursts are counted twice.
TEST_F(retry_budget_replay_test, ShortBursts_Refusals_WithinBudget) {
  load_pattern load;
  load.traffic = {{seconds(12), seconds(14), 5},
                  {seconds(15), seconds(23), 0.1},
                  {seconds(23), seconds(25), 5},
                  {seconds(25), seconds(48), 0.1}};
  load.refusing = {{seconds(13), seconds(16), 0.7},
                   {seconds(20), seconds(48), 0.7}};
  ExpectWithinBudget(load);
}

// Guards against gateways that forget their retries at a restart, and against
// those that do not know how many others there are.
TEST_F(retry_budget_replay_test, GatewaysRestartJoinLeave_WithinBudget) {
  load_pattern load;
  load.refusing = {{seconds(0), seconds(48), 0.5}};
  load.gateways_change = true;
  ExpectWithinBudget(load);
}

// Guards against agents that count the gateways anew after a restart, so that
// each gateway takes a large part of the fixed allowance.
TEST_F(retry_budget_replay_test, AgentsRestart_MostRefused_WithinBudget) {
  load_pattern load;
  load.refusing = {{seconds(15), seconds(48), 0.9}};
  load.agents_restart_at = 20;
  ExpectWithinBudget(load);
}

// Guards against retries that are counted when they are decided but wait for a
// place, so that those of a longer time arrive in one window.
TEST_F(retry_budget_replay_test, RetriesWaitForPlaces_WithinBudget) {
  load_pattern load;
  load.refusing = {{seconds(0), seconds(48), 0.5}};
  load.places_free_at = seconds(20);
  ExpectWithinBudget(load);
}

}  // namespace
}  // namespace fireflyslip
