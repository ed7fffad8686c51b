#include "program/entry_admission.h"

#include <algorithm>
#include <string>
#include <utility>

namespace fireflyslip {
namespace {

constexpr duration kDemandInterval = milliseconds(500);
// Part of the last measurement in the demand; smooths single requests.
constexpr double kDemandGain = 0.5;

// The ledger holds back most of the static share for 3.14 s after a start,
// because an earlier process may have lent it.
constexpr duration kStartTime = milliseconds(3500);

/// \brief The other entries. Members are named, declared entries are only
/// counted; the rest is filled up, so that all entries own equal shares whose
/// sum is at most the contract.
std::vector<vm_id> PeerEntries(const fleet_snapshot& snapshot,
                               const vm_id& self) {
  std::vector<vm_id> peers;
  for (const auto& [vm, member] : snapshot.members) {
    if (member.role == process_role::kEntry && !member.leaving && vm != self) {
      peers.push_back(vm);
    }
  }
  for (std::uint32_t i = 0;
       peers.size() + 1 < snapshot.configuration.EntryCount(); ++i) {
    peers.emplace_back("undiscovered-entry/" + std::to_string(i));
  }
  return peers;
}

}  // namespace

entry_admission::entry_admission(process_context& process,
                                 timer_service& timers,
                                 send_function send)
    : process_(process),
      send_(std::move(send)),
      controller_(admission_controller(),
                  timers,
                  [this](const auto& action) { Carry(action); }),
      ledger_(share_ledger(process.incarnation(),
                           random_source(process.incarnation())),
              timers,
              [this](const auto& action) { Carry(action); }) {
  timers.SubscribePeriodic(kDemandInterval, [this] { MeasureDemand(); });
}

status entry_admission::Admit(request_context& context) {
  // Also without a report of a pause, a borrowed share is not used after its
  // time: timers run late on a busy thread.
  if (const auto deadline = ledger_.core().NextDeadline();
      deadline && *deadline <= MonotonicNow()) {
    ledger_.Handle(tick{});
  }
  if (const auto found = demands_.find(context.workspace);
      found != demands_.end()) {
    found->second.requests += 1;
    found->second.tokens += static_cast<double>(context.estimated_tokens);
  }
  rejected_.reset();
  controller_.Handle(admission_controller::request_arrived{
      context.id, context.workspace, context.estimated_tokens});
  context.from_start_allowance =
      TakeStartAllowance(context, !rejected_) && rejected_;
  if (rejected_ && !context.from_start_allowance) {
    context.retry_after = rejected_->retry_after;
    return error{rejected_->kind, "the workspace exceeds its contract rate"};
  }
  context.admitted = true;
  return std::monostate();
}

void entry_admission::Used(const request_context& context) {
  if (context.admitted && !context.from_start_allowance) {
    controller_.Handle(admission_controller::tokens_used{
        context.workspace, context.estimated_tokens, context.parts});
  }
}

bool entry_admission::TakeStartAllowance(const request_context& context,
                                         bool admitted) {
  if (!start_ends_ || *start_ends_ <= MonotonicNow()) {
    start_allowances_.clear();
    return false;
  }
  const auto found = start_allowances_.find(context.workspace);
  if (found == start_allowances_.end()) {
    return false;
  }
  start_allowance& left = found->second;
  if (!admitted && (left.requests < 1 || left.tokens <= 0)) {
    return false;
  }
  left.requests -= 1;
  left.tokens -= static_cast<double>(context.estimated_tokens);
  return true;
}

void entry_admission::OnSnapshot(const fleet_snapshot& snapshot) {
  if (snapshot.revision == 0) {
    return;
  }
  std::vector<workspace_limits> limits;
  std::vector<workspace_id> workspaces;
  for (const auto& [workspace, terms] : snapshot.configuration.workspaces()) {
    limits.push_back({workspace, terms.requests_per_second,
                      terms.tokens_per_second, terms.burst_seconds,
                      terms.weight});
    workspaces.push_back(workspace);
  }
  std::vector<vm_id> peers = PeerEntries(snapshot, process_.settings().vm);
  if (limits == limits_ && peers == peers_) {
    return;
  }
  const double share = 1.0 / static_cast<double>(peers.size() + 1);
  std::map<workspace_id, demand> demands;
  std::map<workspace_id, start_allowance> allowances;
  for (const workspace_limits& limit : limits) {
    demand& measured = demands[limit.workspace];
    measured = demands_[limit.workspace];
    measured.requests_per_second = limit.requests_per_second;
    measured.tokens_per_second = limit.tokens_per_second;
    // One burst of the static share, so that the entries together admit at
    // most the burst of the contract; at least one request.
    const double depth = share * limit.burst_seconds;
    start_allowance whole{std::max(1.0, limit.requests_per_second * depth),
                          limit.tokens_per_second * depth};
    if (!start_ends_) {
      allowances[limit.workspace] = whole;
    } else if (const auto left = start_allowances_.find(limit.workspace);
               left != start_allowances_.end()) {
      // A change of the contract never raises what is left.
      allowances[limit.workspace] = {
          std::min(left->second.requests, whole.requests),
          std::min(left->second.tokens, whole.tokens)};
    }
  }
  demands_ = std::move(demands);
  start_allowances_ = std::move(allowances);
  if (!start_ends_) {
    start_ends_ = MonotonicNow() + kStartTime;
  }
  limits_ = limits;
  peers_ = peers;
  // First the limits: the ledger then sets the shares of new workspaces.
  controller_.Handle(
      admission_controller::limits_changed{std::move(limits), share});
  ledger_.Handle(
      share_ledger::peers_changed{std::move(peers), std::move(workspaces)});
}

void entry_admission::OnEntryLost(const vm_id& peer) {
  if (connected_.erase(peer) > 0) {
    ledger_.Handle(share_ledger::peer_lost{peer});
  }
}

void entry_admission::OnMessage(const vm_id& peer,
                                const share_request_message& message) {
  ledger_.Handle(share_ledger::request_received{
      peer, message.workspace, message.amount, message.number});
}

void entry_admission::OnMessage(const vm_id& peer,
                                const share_grant_message& message) {
  ledger_.Handle(share_ledger::grant_received{
      peer, message.workspace, message.amount,
      milliseconds(static_cast<std::int64_t>(message.expiry_ms)),
      message.number});
}

void entry_admission::Carry(const admission_controller::action& action) {
  if (const auto* reject = std::get_if<admission_controller::reject>(&action)) {
    rejected_ = *reject;
  }
}

void entry_admission::Carry(const share_ledger::action& action) {
  std::visit(
      overloaded{
          [this](const share_ledger::send_request& request) {
            if (!connected_.contains(request.peer)) {
              ledger_.Handle(share_ledger::peer_lost{request.peer});
              return;
            }
            send_(request.peer,
                  share_request_message{request.number, request.workspace,
                                        request.amount});
          },
          [this](const share_ledger::send_grant& grant) {
            const auto left =
                std::chrono::duration_cast<milliseconds>(grant.expiry);
            process_.Record(event_kind::kShareLent,
                            {{"peer", grant.peer.value()},
                             {"fraction", std::to_string(grant.amount)}},
                            std::nullopt, grant.workspace);
            send_(grant.peer, share_grant_message{
                                  grant.number, grant.workspace, grant.amount,
                                  static_cast<std::uint64_t>(left.count())});
          },
          [this](const share_ledger::set_share& share) {
            // Without other entries nothing can have been lent.
            const double fraction = peers_.empty() ? 1 : share.fraction;
            controller_.Handle(
                admission_controller::share_changed{share.workspace, fraction});
          },
      },
      action);
}

void entry_admission::MeasureDemand() {
  for (auto& [workspace, measured] : demands_) {
    if (measured.requests == 0 && measured.fraction == 0) {
      continue;
    }
    const double period = ToSeconds(kDemandInterval);
    const double latest =
        std::max(measured.requests / measured.requests_per_second,
                 measured.tokens / measured.tokens_per_second) /
        period;
    constexpr double kSmallest = 0.001;
    const double mean =
        measured.fraction + kDemandGain * (latest - measured.fraction);
    measured.fraction = mean < kSmallest ? 0 : mean;
    measured.requests = 0;
    measured.tokens = 0;
    ledger_.Handle(share_ledger::demand_changed{workspace, measured.fraction});
  }
}

}  // namespace fireflyslip
