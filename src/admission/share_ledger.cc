#include "fireflyslip/admission/share_ledger.h"

#include <algorithm>
#include <set>
#include <utility>

namespace fireflyslip {
namespace {

// Lifetime of a grant: short, so that a lender with demand soon regains its
// share, but long compared with the round-trip time between regions.
constexpr duration kGrantDuration = seconds(3);

// The lender keeps its reduction longer than the grant lasts, because clocks
// may drift by 1 % in either direction, and timers fire late.
constexpr duration kLoanHoldTime =
    kGrantDuration * 103 / 100 + milliseconds(50);

// Fraction of the static share that may be lent. A restarted gateway does not
// know what it has lent, so it uses only the rest until the longest possible
// loan has expired.
constexpr double kLendableFraction = 0.8;

constexpr duration kLostPeerTimeout = seconds(10);

constexpr duration kRequestInterval = milliseconds(500);

// A grant is renewed if it expires within this time.
constexpr duration kRenewalThreshold = milliseconds(1500);

// Factor by which demand may grow before it is measured again.
constexpr double kHeadroom = 1.1;

// Minimum amount of a request or grant as a fraction of the static share;
// smaller ones are not worth a message.
constexpr double kMinTransferFraction = 0.02;

// Bounds the requests for one workspace per interval.
constexpr std::size_t kMaxPeersPerRound = 8;

constexpr int kIncarnationShift = 32;

}  // namespace

share_ledger::share_ledger(incarnation_number incarnation, random_source random)
    : random_(random), next_request_number_(incarnation << kIncarnationShift) {}

std::vector<share_ledger::action> share_ledger::Handle(const event& event,
                                                       time_point now) {
  now_ = now;
  if (!full_share_at_) {
    full_share_at_ = now + kLoanHoldTime;
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
  if (full_share_at_ && *full_share_at_ > now_) {
    add(*full_share_at_);
  }
  if (pending_share_increase_) {
    add(pending_share_increase_->first);
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
    RequestShares(workspace, account);
  }
}

void share_ledger::On(const peers_changed& event) {
  peers_ = event.peers;
  lost_until_.clear();
  const double share = 1.0 / static_cast<double>(peers_.size() + 1);
  pending_share_increase_.reset();
  if (static_share_ > 0 && share > static_share_) {
    // A removed gateway may still use its share and what it has borrowed.
    pending_share_increase_ = {now_ + kLoanHoldTime, share};
  } else {
    static_share_ = share;
  }
  const std::set<workspace_id> workspaces(event.workspaces.begin(),
                                          event.workspaces.end());
  std::erase_if(accounts_, [&workspaces](const auto& item) {
    return !workspaces.contains(item.first);
  });
  for (const workspace_id& workspace : workspaces) {
    PublishShare(workspace, accounts_[workspace]);
  }
}

void share_ledger::On(const demand_changed& event) {
  const auto found = accounts_.find(event.workspace);
  if (found != accounts_.end()) {
    found->second.demand = event.fraction;
    RequestShares(event.workspace, found->second);
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
  // The peer uses only its latest grant from this gateway, so a new grant may
  // include the amount of an earlier one.
  const double lent = LentShare(account, &event.peer);
  const double amount =
      std::min({event.amount, OwnedShare() * kLendableFraction - lent,
                OwnedShare() - lent - account.demand * kHeadroom});
  if (now_ < *full_share_at_ || amount < kMinTransferFraction * static_share_) {
    return;
  }
  std::vector<loan>& loans = account.loans[event.peer];
  for (const loan& loan : loans) {
    if (loan.number >= event.number) {
      return;  // duplicate or reordered request
    }
  }
  loans.push_back({amount, now_ + kLoanHoldTime, event.number});
  PublishShare(event.workspace, account);
  actions_.emplace_back(send_grant{event.peer, event.workspace, amount,
                                   kGrantDuration, event.number});
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
    PublishShare(event.workspace, found->second);
  }
}

void share_ledger::On(const peer_lost& event) {
  lost_until_[event.peer] = now_ + kLostPeerTimeout;
}

double share_ledger::OwnedShare() const {
  return now_ < *full_share_at_ ? static_share_ * (1 - kLendableFraction)
                                : static_share_;
}

double share_ledger::LentShare(const account& account,
                               const vm_id* excluded_peer) {
  double sum = 0;
  for (const auto& [peer, loans] : account.loans) {
    double held = 0;
    for (const loan& loan : loans) {
      held = std::max(held, loan.amount);
    }
    sum += excluded_peer != nullptr && peer == *excluded_peer ? 0 : held;
  }
  return sum;
}

double share_ledger::UsableShare(const account& account,
                                 time_point until) const {
  double sum = std::max(0.0, OwnedShare() - LentShare(account, nullptr));
  for (const auto& [peer, grant] : account.borrowed) {
    sum += grant.expiry > until ? grant.amount : 0;
  }
  return sum;
}

void share_ledger::Expire() {
  if (pending_share_increase_ && pending_share_increase_->first <= now_) {
    static_share_ = pending_share_increase_->second;
    pending_share_increase_.reset();
  }
  std::erase_if(lost_until_,
                [this](const auto& item) { return item.second <= now_; });
  std::erase_if(pending_, [this](const auto& item) {
    return item.second.sent + kGrantDuration <= now_;
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
    PublishShare(workspace, account);
  }
}

void share_ledger::PublishShare(const workspace_id& workspace,
                                account& account) {
  const double share = UsableShare(account, now_);
  if (share != account.share) {
    account.share = share;
    actions_.emplace_back(set_share{workspace, share});
  }
}

void share_ledger::RequestShares(const workspace_id& workspace,
                                 account& account) {
  if (account.next_request > now_) {
    return;
  }
  // Grants that expire soon are not counted, so that they are renewed in time.
  double shortfall = std::min(account.demand * kHeadroom, 1.0) -
                     UsableShare(account, now_ + kRenewalThreshold);
  if (peers_.empty() || shortfall < kMinTransferFraction * static_share_) {
    return;
  }
  account.next_request = now_ + kRequestInterval;
  std::vector<vm_id> candidates;
  for (const vm_id& peer : peers_) {
    const auto grant = account.borrowed.find(peer);
    const bool has_grant = grant != account.borrowed.end() &&
                           grant->second.expiry > now_ + kRenewalThreshold;
    if (!lost_until_.contains(peer) && !has_grant) {
      candidates.push_back(peer);
    }
  }
  // Peers in random order, but current lenders first, because their grants need
  // renewal.
  for (std::size_t i = candidates.size(); i > 1; --i) {
    std::swap(candidates[i - 1], candidates[random_.Below(i)]);
  }
  std::stable_partition(candidates.begin(), candidates.end(),
                        [&account](const vm_id& peer) {
                          return account.borrowed.contains(peer);
                        });
  if (candidates.size() > kMaxPeersPerRound) {
    candidates.resize(kMaxPeersPerRound);
  }
  for (const vm_id& peer : candidates) {
    if (shortfall < kMinTransferFraction * static_share_) {
      return;
    }
    const double amount =
        std::min(shortfall, static_share_ * kLendableFraction);
    shortfall -= amount;
    const std::uint64_t number = ++next_request_number_;
    pending_.emplace(number, pending_request{peer, workspace, now_});
    actions_.emplace_back(send_request{peer, workspace, amount, number});
  }
}

}  // namespace fireflyslip
