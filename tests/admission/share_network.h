#ifndef FIREFLYSLIP_TESTS_ADMISSION_SHARE_NETWORK_H_
#define FIREFLYSLIP_TESTS_ADMISSION_SHARE_NETWORK_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "fireflyslip/admission.h"
#include "fireflyslip/core.h"

namespace fireflyslip::testing_support {

struct network_faults {
  double loss = 0;
  double duplication = 0;
  duration max_delay = milliseconds(2);
  double clock_drift = 0;  ///< Clocks run at 1 ± this rate.
};

/// \brief Simulation of the share ledgers of several gateways on a faulty
/// network. Each gateway has its own clock.
class share_network {
 public:
  static constexpr duration kStep = milliseconds(10);

  share_network(std::size_t gateways, network_faults faults, std::uint64_t seed)
      : faults_(faults), random_(seed) {
    for (std::size_t i = 0; i < gateways; ++i) {
      names_.emplace_back("e" + std::to_string(i));
      clock_rates_.push_back(1 + faults.clock_drift * (i % 2 == 0 ? 1 : -1));
      partitions_.push_back(0);
      incarnations_.push_back(0);
    }
    ledgers_.assign(gateways, share_ledger(0, random_source(0)));
    for (std::size_t i = 0; i < gateways; ++i) {
      Restart(i);
    }
  }

  /// \brief Replaces the ledger of a gateway by that of a new process.
  void Restart(std::size_t gateway) {
    ledgers_.at(gateway) = share_ledger(++incarnations_.at(gateway),
                                        random_source(random_.Next()));
    share_ledger::peers_changed peers{{}, {workspace_}};
    for (std::size_t i = 0; i < names_.size(); ++i) {
      if (i != gateway) {
        peers.peers.push_back(names_[i]);
      }
    }
    Handle(gateway, peers);
  }

  /// \brief Gateways in different partitions cannot reach each other.
  void SetPartition(std::size_t gateway, int partition) {
    partitions_.at(gateway) = partition;
  }

  void SetDemand(std::size_t gateway, double fraction) {
    Handle(gateway, share_ledger::demand_changed{workspace_, fraction});
  }

  /// \brief Advances the reference time by one step.
  void Step() {
    now_ += kStep;
    while (!messages_.empty() && messages_.begin()->first <= now_) {
      const message delivered = messages_.begin()->second;
      messages_.erase(messages_.begin());
      if (partitions_.at(delivered.from) == partitions_.at(delivered.to)) {
        Handle(delivered.to, delivered.event);
      }
    }
    for (std::size_t i = 0; i < ledgers_.size(); ++i) {
      Handle(i, tick{});
    }
  }

  double share(std::size_t gateway) const {
    return ledgers_.at(gateway).share(workspace_);
  }
  double sum() const {
    double sum = 0;
    for (const share_ledger& ledger : ledgers_) {
      sum += ledger.share(workspace_);
    }
    return sum;
  }
  time_point now() const { return now_; }
  time_point LocalTime(std::size_t gateway) const {
    return time_point(FromSeconds(ToSeconds(now_.time_since_epoch()) *
                                  clock_rates_.at(gateway)));
  }

 private:
  struct message {
    std::size_t from;
    std::size_t to;
    share_ledger::event event;
  };

  void Handle(std::size_t gateway, const share_ledger::event& event) {
    for (const auto& action :
         ledgers_.at(gateway).Handle(event, LocalTime(gateway))) {
      std::visit(
          overloaded{[&](const share_ledger::send_request& value) {
                       Send(gateway, value.peer,
                            share_ledger::request_received{
                                names_[gateway], value.workspace, value.amount,
                                value.number});
                     },
                     [&](const share_ledger::send_grant& value) {
                       Send(gateway, value.peer,
                            share_ledger::grant_received{
                                names_[gateway], value.workspace, value.amount,
                                value.expiry, value.number});
                     },
                     [](const share_ledger::set_share& /*value*/) {}},
          action);
    }
  }

  void Send(std::size_t from,
            const vm_id& peer,
            const share_ledger::event& event) {
    const auto to = static_cast<std::size_t>(
        std::find(names_.begin(), names_.end(), peer) - names_.begin());
    const int copies = random_.Fraction() < faults_.duplication ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      const duration delay = std::chrono::duration_cast<duration>(
          faults_.max_delay * random_.Fraction());
      if (random_.Fraction() >= faults_.loss) {
        messages_.emplace(now_ + delay, message{from, to, event});
      }
    }
  }

  network_faults faults_;
  random_source random_;
  workspace_id workspace_{"w"};
  time_point now_;
  std::vector<vm_id> names_;
  std::vector<double> clock_rates_;
  std::vector<int> partitions_;
  std::vector<incarnation_number> incarnations_;
  std::vector<share_ledger> ledgers_;
  std::multimap<time_point, message> messages_;
};

}  // namespace fireflyslip::testing_support

#endif  // FIREFLYSLIP_TESTS_ADMISSION_SHARE_NETWORK_H_
