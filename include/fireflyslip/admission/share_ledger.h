#ifndef FIREFLYSLIP_ADMISSION_SHARE_LEDGER_H_
#define FIREFLYSLIP_ADMISSION_SHARE_LEDGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "fireflyslip/core/decision_core.h"
#include "fireflyslip/core/ids.h"
#include "fireflyslip/core/random_source.h"
#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Decision core that lends unused shares of contracts between gateways.
///
/// Each gateway owns an equal static share of each contract. A gateway with
/// more demand sends requests to its peers; a peer reduces its own share and
/// sends a grant. The borrower measures the lifetime of a grant from when it
/// sent the request, so that a delayed grant never outlasts the reduction at
/// the lender. Amounts are fractions of the contract.
class share_ledger {
 public:
  /// \brief The declared gateways other than this one.
  struct peers_changed {
    std::vector<vm_id> peers;
    std::vector<workspace_id> workspaces;

    bool operator==(const peers_changed&) const = default;
  };
  /// \brief Measured demand at this gateway; may exceed 1.
  struct demand_changed {
    workspace_id workspace;
    double fraction = 0;

    bool operator==(const demand_changed&) const = default;
  };
  struct request_received {
    vm_id peer;
    workspace_id workspace;
    double amount = 0;
    std::uint64_t number = 0;

    bool operator==(const request_received&) const = default;
  };
  struct grant_received {
    vm_id peer;
    workspace_id workspace;
    double amount = 0;
    duration expiry{};         ///< Measured from when the request was sent.
    std::uint64_t number = 0;  ///< Sequence number of the request.

    bool operator==(const grant_received&) const = default;
  };
  /// \brief No requests are sent to the peer for 10 s, or until a message from
  /// it arrives.
  struct peer_lost {
    vm_id peer;

    bool operator==(const peer_lost&) const = default;
  };
  using event = std::variant<tick,
                             peers_changed,
                             demand_changed,
                             request_received,
                             grant_received,
                             peer_lost>;

  struct send_request {
    vm_id peer;
    workspace_id workspace;
    double amount = 0;
    std::uint64_t number = 0;

    bool operator==(const send_request&) const = default;
  };
  struct send_grant {
    vm_id peer;
    workspace_id workspace;
    double amount = 0;
    duration expiry{};
    std::uint64_t number = 0;

    bool operator==(const send_grant&) const = default;
  };
  /// \brief This gateway may use this fraction of the contract from now on.
  /// Must be applied before the actions that follow it.
  struct set_share {
    workspace_id workspace;
    double fraction = 0;

    bool operator==(const set_share&) const = default;
  };
  using action = std::variant<send_request, send_grant, set_share>;

  /// \param incarnation increases with each start of this gateway, so that
  ///     grants to an earlier process are not accepted.
  share_ledger(incarnation_number incarnation, random_source random);

  std::vector<action> Handle(const event& event, time_point now);
  std::optional<time_point> NextDeadline() const;

  /// \brief Fraction of the contract that this gateway may use.
  double share(const workspace_id& workspace) const;

 private:
  struct loan {
    double amount;
    time_point held_until;
    std::uint64_t number;
  };
  struct grant {
    double amount = 0;
    time_point expiry;
    std::uint64_t number = 0;
  };
  struct account {
    double demand = 0;
    double share = -1;  // last published value
    std::map<vm_id, std::vector<loan>> loans;
    std::map<vm_id, grant> borrowed;
    time_point next_request;
  };
  struct pending_request {
    vm_id peer;
    workspace_id workspace;
    time_point sent;
  };

  void On(const tick& event);
  void On(const peers_changed& event);
  void On(const demand_changed& event);
  void On(const request_received& event);
  void On(const grant_received& event);
  void On(const peer_lost& event);

  double OwnedShare() const;
  static double LentShare(const account& account, const vm_id* excluded_peer);
  double UsableShare(const account& account, time_point until) const;
  void Expire();
  void PublishShare(const workspace_id& workspace, account& account);
  void RequestShares(const workspace_id& workspace, account& account);

  random_source random_;
  std::uint64_t next_request_number_;
  std::vector<vm_id> peers_;
  std::map<vm_id, time_point> lost_until_;
  double static_share_ = 0;
  std::optional<std::pair<time_point, double>> pending_share_increase_;
  std::optional<time_point> full_share_at_;
  std::map<workspace_id, account> accounts_;
  std::map<std::uint64_t, pending_request> pending_;
  time_point now_;
  std::vector<action> actions_;
};

static_assert(decision_core<share_ledger>);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_ADMISSION_SHARE_LEDGER_H_
