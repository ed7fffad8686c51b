#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fireflyslip/placement.h"

namespace fireflyslip {
namespace {

/// \brief Gateways before one cold replica that each of them could fill alone,
/// in virtual time. Requests last 0.6 s.
class cold_replay_test : public testing::Test {
 protected:
  static constexpr double kRate = 17;  // requests/s that the replica tolerates
  /// Requests in any second from which it may crash.
  static constexpr std::size_t kMaxPerSecond = 30;
  static constexpr duration kRequestTime = milliseconds(600);

  struct gateway_model {
    vm_id vm;
    duration report_interval = {};
    std::unique_ptr<dispatcher> core;
    time_point starts_at;
    bool started = false;
    time_point next_report;
    std::deque<std::pair<time_point, dispatch_id>> running;
  };

  cold_replay_test() {
    entry_.id = upstream_id("i-1");
    entry_.service = service_name("s");
    entry_.address = "10.0.0.1:80";
    entry_.data_centre = data_centre_id("akl");
    entry_.slots = 12;
    entry_.started_ms = 1;
    entry_.sequence = 1;
    entry_.cold_for = seconds(30);
    pool_.SetRate(kRate);
  }

  /// \param starts_within the gateways start within this time, in turn.
  void AddGateways(std::size_t count, duration starts_within) {
    for (std::size_t i = 0; i < count; ++i) {
      gateway_model& added = gateways_.emplace_back();
      added.vm = vm_id("g" + std::to_string(i));
      added.report_interval = milliseconds(i % 3 == 0 ? 100 : 300);
      placement_policy policy;
      policy.data_centre = data_centre_id("akl");
      added.core = std::make_unique<dispatcher>(
          policy, version_targets(seconds(8)), random_source(i + 1));
      added.starts_at =
          now_ + starts_within * static_cast<int>(i) / static_cast<int>(count);
      added.next_report = added.starts_at;
    }
  }

  void Apply(gateway_model& sender, const dispatcher::event& event) {
    for (const auto& action : sender.core->Handle(event, now_)) {
      if (const auto* start = std::get_if<dispatcher::start>(&action)) {
        arrivals_.push_back(now_);
        sender.running.emplace_back(now_ + kRequestTime, start->id);
      }
    }
  }

  void Start(gateway_model& gateway) {
    dispatcher::services_changed services;
    services.traits[entry_.service].cold = cold_limit{seconds(30), kRate};
    Apply(gateway, services);
    upstream_map upstreams;
    upstreams[entry_.id] = entry_;
    Apply(gateway, dispatcher::upstreams_changed{
                       std::make_shared<const upstream_map>(upstreams)});
  }

  void SendReports() {
    std::vector<vm_id> receivers;
    std::uint32_t followers = 0;
    std::uint32_t active = 0;
    for (const gateway_model& gateway : gateways_) {
      active += static_cast<std::uint32_t>(gateway.running.size());
      followers += gateway.started ? 1 : 0;
      if (gateway.started && gateway.next_report <= now_) {
        receivers.push_back(gateway.vm);
      }
    }
    const auto permits = pool_.Take(receivers, now_);
    for (gateway_model& gateway : gateways_) {
      if (std::count(receivers.begin(), receivers.end(), gateway.vm) == 0) {
        continue;
      }
      gateway.next_report = now_ + gateway.report_interval;
      upstream_load load;
      load.active = active;
      load.gateways = followers;
      const auto granted = permits.find(gateway.vm);
      load.cold_permits = granted == permits.end() ? 0 : granted->second;
      Apply(gateway, dispatcher::load_reported{entry_.id, load, 0});
    }
  }

  /// \param reports whether the agent of the replica reports its load.
  void Run(duration length, bool reports) {
    const time_point end = now_ + length;
    for (; now_ < end; now_ += milliseconds(10)) {
      for (gateway_model& gateway : gateways_) {
        if (!gateway.started && gateway.starts_at <= now_) {
          gateway.started = true;
          Start(gateway);
        }
        while (!gateway.running.empty() &&
               gateway.running.front().first <= now_) {
          const dispatch_id id = gateway.running.front().second;
          gateway.running.pop_front();
          Apply(gateway,
                dispatcher::attempt_completed{id, attempt_status::kSucceeded});
        }
        if (gateway.started) {
          Submit(gateway);
          Apply(gateway, tick{});
        }
      }
      if (reports &&
          now_.time_since_epoch() % milliseconds(100) == duration(0)) {
        SendReports();
      }
    }
  }

  void Submit(gateway_model& gateway) {
    if (gateway.core->waiting() >= 4) {
      return;
    }
    dispatcher::submit work;
    work.id = next_id_++;
    work.service = entry_.service;
    work.workspace = workspace_id("w");
    work.response_due = now_ + seconds(2);
    work.client_deadline = now_ + seconds(6);
    Apply(gateway, work);
  }

  /// Most arrivals in any second.
  std::size_t MaxPerSecond() const {
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < arrivals_.size(); ++last) {
      while (arrivals_[last] - arrivals_[first] >= seconds(1)) {
        ++first;
      }
      most = std::max(most, last - first + 1);
    }
    return most;
  }

  upstream_entry entry_;
  permit_pool pool_;
  time_point now_ = time_point(seconds(100));
  std::vector<gateway_model> gateways_;
  std::vector<time_point> arrivals_;
  dispatch_id next_id_ = 1;
};

// Guards against gateways that fill a cold replica together, also while some of
// them start and none knows their number, and against giving up its rate.
TEST_F(cold_replay_test, Gateways_StartInTurn_RateKeptAndUsed) {
  for (const duration within :
       {duration(0), duration(milliseconds(460)), duration(seconds(5))}) {
    SCOPED_TRACE(ToSeconds(within));
    gateways_.clear();
    arrivals_.clear();
    pool_ = permit_pool();
    pool_.SetRate(kRate);
    entry_.has_engine = true;
    AddGateways(46, within);
    Run(seconds(8), true);
    EXPECT_LE(MaxPerSecond(), kMaxPerSecond);
    EXPECT_GE(static_cast<double>(arrivals_.size()), 0.8 * kRate * 7);
  }
}

// Guards against requests to a cold replica whose agent is dead or cut off, as
// nobody counts what it gets.
TEST_F(cold_replay_test, Agent_Silent_NothingSent) {
  entry_.has_engine = true;
  AddGateways(46, duration(0));
  Run(seconds(2), false);
  EXPECT_TRUE(arrivals_.empty());
}

// Guards against gateways that send together to a cold upstream that has no
// agent. Each assumes 16 gateways until it knows their number.
TEST_F(cold_replay_test, WithoutAgent_GatewaysAsAssumed_RateKeptAndUsed) {
  AddGateways(16, duration(0));
  Run(seconds(8), false);
  EXPECT_LE(MaxPerSecond(), kMaxPerSecond);
  EXPECT_GE(static_cast<double>(arrivals_.size()), 0.8 * kRate * 7);
}

}  // namespace
}  // namespace fireflyslip
