#include "fireflyslip/admission/share_ledger.h"

#include <algorithm>
#include <set>
#include <utility>

namespace fireflyslip {
namespace {

// Time for which a grant may be used. Short, so that a lender with demand gets
// its share back soon; long against the round trip between regions.
constexpr duration kGrantTime = seconds(3);

// The lender holds its reduction longer than the grant lasts: clocks may run
// at rates that differ by 1 % each way, and timers fire late.
constexpr duration kHoldTime = kGrantTime * 103 / 100 + milliseconds(50);

// Part of the static share that may be lent. A restarted entry does not know
// what it has lent, so it uses only the rest until the longest hold has ended.
constexpr double kLendablePart = 0.8;

constexpr duration kLostTime = seconds(10);

constexpr duration kRequestInterval = milliseconds(500);

// A grant that ends within this time is renewed.
constexpr duration kRenewTime = milliseconds(1500);

// Demand may grow by this factor before it is measured again.
constexpr double kHeadroom = 1.1;

// Smaller amounts, as parts of the static share, are not worth a message.
constexpr double kSmallestPart = 0.02;

// Bounds the messages of one workspace in one interval.
constexpr std::size_t kPeersPerRound = 8;

constexpr int kIncarnationShift = 32;

}  // namespace

share_ledger::share_ledger(incarnation_number incarnation, random_source random)
    : random_(random), next_number_(incarnation << kIncarnationShift) {}

std::vector<share_ledger::action> share_ledger::Handle(const event& event,
                                                       time_point now) {
  now_ = now;
  if (!whole_share_at_) {
    whole_share_at_ = now + kHoldTime;
  }
  Expire();
  std::visit([this](const auto& value) { On(value); }, event);
  return std::exchange(actions_, {});
}

std::optional<time_point> share_ledger::NextDeadline() const {
  std::optional<time_point> next;
  const auto add = [&next](time_point at) {
    next = std::min(next.value_or(at), at);
  };
  if (whole_share_at_ && *whole_share_at_ > now_) {
    add(*whole_share_at_);
  }
  if (larger_share_) {
    add(larger_share_->first);
  }
  for (const auto& [workspace, account] : accounts_) {
    if (account.next_request > now_) {
      add(account.next_request);
    }
    for (const auto& [peer, loans] : account.loans) {
      for (const loan& loan : loans) {
        add(loan.held_until);
      }
    }
    for (const auto& [peer, grant] : account.borrowed) {
      add(grant.expiry);
    }
  }
  return next;
}

double share_ledger::share(const workspace_id& workspace) const {
  const auto found = accounts_.find(workspace);
  return found == accounts_.end() ? 0 : std::max(found->second.share, 0.0);
}

void share_ledger::On(const tick& /*event*/) {
  for (auto& [workspace, account] : accounts_) {
    Ask(workspace, account);
  }
}

void share_ledger::On(const peers_changed& event) {
  peers_ = event.peers;
  lost_until_.clear();
  const double share = 1.0 / static_cast<double>(peers_.size() + 1);
  larger_share_.reset();
  if (static_share_ > 0 && share > static_share_) {
    // The removed entry may still use its share and what was lent to it.
    larger_share_ = {now_ + kHoldTime, share};
  } else {
    static_share_ = share;
  }
  const std::set<workspace_id> kept(event.workspaces.begin(),
                                    event.workspaces.end());
  std::erase_if(accounts_, [&kept](const auto& item) {
    return !kept.contains(item.first);
  });
  for (const workspace_id& workspace : kept) {
    Announce(workspace, accounts_[workspace]);
  }
}

void share_ledger::On(const demand_changed& event) {
  const auto found = accounts_.find(event.workspace);
  if (found != accounts_.end()) {
    found->second.demand = event.fraction;
    Ask(event.workspace, found->second);
  }
}

void share_ledger::On(const request_received& event) {
  lost_until_.erase(event.peer);
  const auto found = accounts_.find(event.workspace);
  if (found == accounts_.end() ||
      std::find(peers_.begin(), peers_.end(), event.peer) == peers_.end()) {
    return;
  }
  account& account = found->second;
  // The peer uses one grant of this entry at a time, so a new grant may
  // contain what an earlier one holds.
  const double lent = Lent(account, &event.peer);
  const double amount =
      std::min({event.amount, OwnedShare() * kLendablePart - lent,
                OwnedShare() - lent - account.demand * kHeadroom});
  if (now_ < *whole_share_at_ || amount < kSmallestPart * static_share_) {
    return;
  }
  std::vector<loan>& loans = account.loans[event.peer];
  for (const loan& loan : loans) {
    if (loan.number >= event.number) {
      return;  // duplicated or overtaken request
    }
  }
  loans.push_back({amount, now_ + kHoldTime, event.number});
  Announce(event.workspace, account);
  actions_.emplace_back(send_grant{event.peer, event.workspace, amount,
                                   kGrantTime, event.number});
}

void share_ledger::On(const grant_received& event) {
  lost_until_.erase(event.peer);
  const auto request = pending_.find(event.number);
  if (request == pending_.end() || request->second.peer != event.peer ||
      request->second.workspace != event.workspace) {
    return;
  }
  const time_point expiry = request->second.sent + event.expiry;
  pending_.erase(request);
  const auto found = accounts_.find(event.workspace);
  if (found == accounts_.end() || expiry <= now_) {
    return;
  }
  grant& grant = found->second.borrowed[event.peer];
  if (grant.number < event.number) {
    grant = {event.amount, expiry, event.number};
    Announce(event.workspace, found->second);
  }
}

void share_ledger::On(const peer_lost& event) {
  lost_until_[event.peer] = now_ + kLostTime;
}

double share_ledger::OwnedShare() const {
  return now_ < *whole_share_at_ ? static_share_ * (1 - kLendablePart)
                                 : static_share_;
}

double share_ledger::Lent(const account& account, const vm_id* except) {
  double sum = 0;
  for (const auto& [peer, loans] : account.loans) {
    double held = 0;
    for (const loan& loan : loans) {
      held = std::max(held, loan.amount);
    }
    sum += except != nullptr && peer == *except ? 0 : held;
  }
  return sum;
}

double share_ledger::Usable(const account& account, time_point until) const {
  double sum = std::max(0.0, OwnedShare() - Lent(account, nullptr));
  for (const auto& [peer, grant] : account.borrowed) {
    sum += grant.expiry > until ? grant.amount : 0;
  }
  return sum;
}

void share_ledger::Expire() {
  if (larger_share_ && larger_share_->first <= now_) {
    static_share_ = larger_share_->second;
    larger_share_.reset();
  }
  std::erase_if(lost_until_,
                [this](const auto& item) { return item.second <= now_; });
  std::erase_if(pending_, [this](const auto& item) {
    return item.second.sent + kGrantTime <= now_;
  });
  for (auto& [workspace, account] : accounts_) {
    for (auto& [peer, loans] : account.loans) {
      std::erase_if(
          loans, [this](const loan& loan) { return loan.held_until <= now_; });
    }
    std::erase_if(account.loans,
                  [](const auto& item) { return item.second.empty(); });
    std::erase_if(account.borrowed, [this](const auto& item) {
      return item.second.expiry <= now_;
    });
    Announce(workspace, account);
  }
}

void share_ledger::Announce(const workspace_id& workspace, account& account) {
  const double share = Usable(account, now_);
  if (share != account.share) {
    account.share = share;
    actions_.emplace_back(set_share{workspace, share});
  }
}

void share_ledger::Ask(const workspace_id& workspace, account& account) {
  if (account.next_request > now_) {
    return;
  }
  // Grants that end soon do not count, so that they are renewed in time.
  double missing = std::min(account.demand * kHeadroom, 1.0) -
                   Usable(account, now_ + kRenewTime);
  if (peers_.empty() || missing < kSmallestPart * static_share_) {
    return;
  }
  account.next_request = now_ + kRequestInterval;
  std::vector<vm_id> candidates;
  for (const vm_id& peer : peers_) {
    const auto grant = account.borrowed.find(peer);
    const bool is_lending = grant != account.borrowed.end() &&
                            grant->second.expiry > now_ + kRenewTime;
    if (!lost_until_.contains(peer) && !is_lending) {
      candidates.push_back(peer);
    }
  }
  // Those that lend already are asked first; their grants need renewal.
  for (std::size_t i = candidates.size(); i > 1; --i) {
    std::swap(candidates[i - 1], candidates[random_.Below(i)]);
  }
  std::stable_partition(candidates.begin(), candidates.end(),
                        [&account](const vm_id& peer) {
                          return account.borrowed.contains(peer);
                        });
  if (candidates.size() > kPeersPerRound) {
    candidates.resize(kPeersPerRound);
  }
  for (const vm_id& peer : candidates) {
    if (missing < kSmallestPart * static_share_) {
      return;
    }
    const double amount = std::min(missing, static_share_ * kLendablePart);
    missing -= amount;
    const std::uint64_t number = ++next_number_;
    pending_.emplace(number, pending_request{peer, workspace, now_});
    actions_.emplace_back(send_request{peer, workspace, amount, number});
  }
}

}  // namespace fireflyslip
