#include "program/entry_admission.h"

#include <algorithm>
#include <string>
#include <utility>

namespace fireflyslip {
namespace {

constexpr duration kDemandMeasurementInterval = milliseconds(500);
// Weight of the latest measurement in the moving average of the demand, which
// smooths the effect of single requests.
constexpr double kDemandSmoothingFactor = 0.5;

// The ledger withholds most of the static share for 3.14 s after a start,
// because the previous process may have lent it. The allowance covers this
// time.
constexpr duration kStartupAllowanceDuration = milliseconds(3500);

/// \brief Returns the other entries. The configuration declares only the number
/// of entries; those that are not members yet get placeholder names, so that
/// all entries own equal shares whose sum does not exceed the contract.
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
                  [this](const auto& action) { Apply(action); }),
      ledger_(share_ledger(process.incarnation(),
                           random_source(process.incarnation())),
              timers,
              [this](const auto& action) { Apply(action); }) {
  timers.SubscribePeriodic(kDemandMeasurementInterval,
                           [this] { MeasureDemand(); });
}

status entry_admission::Admit(request_context& context) {
  // Expires borrowed shares here because timers run late on a busy thread, also
  // without a reported pause.
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
  context.from_startup_allowance =
      TakeStartupAllowance(context, !rejected_) && rejected_;
  if (rejected_ && !context.from_startup_allowance) {
    context.retry_after = rejected_->retry_after;
    return error{rejected_->kind,
                 "the workspace exceeds the rate of its contract"};
  }
  context.admitted = true;
  return std::monostate();
}

void entry_admission::ReportUsage(const request_context& context) {
  if (context.admitted && !context.from_startup_allowance) {
    controller_.Handle(admission_controller::tokens_used{
        context.workspace, context.estimated_tokens, context.parts});
  }
}

bool entry_admission::TakeStartupAllowance(const request_context& context,
                                           bool admitted) {
  if (!startup_end_ || *startup_end_ <= MonotonicNow()) {
    startup_allowances_.clear();
    return false;
  }
  const auto found = startup_allowances_.find(context.workspace);
  if (found == startup_allowances_.end()) {
    return false;
  }
  startup_allowance& remaining = found->second;
  if (!admitted && (remaining.requests < 1 || remaining.tokens <= 0)) {
    return false;
  }
  remaining.requests -= 1;
  remaining.tokens -= static_cast<double>(context.estimated_tokens);
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
  std::map<workspace_id, startup_allowance> allowances;
  for (const workspace_limits& limit : limits) {
    demand& measured = demands[limit.workspace];
    measured = demands_[limit.workspace];
    measured.requests_per_second = limit.requests_per_second;
    measured.tokens_per_second = limit.tokens_per_second;
    // The static share of one burst, so that all entries together admit at most
    // the burst of the contract, but at least one request each.
    const double burst_share = share * limit.burst_seconds;
    startup_allowance full_allowance{
        std::max(1.0, limit.requests_per_second * burst_share),
        limit.tokens_per_second * burst_share};
    if (!startup_end_) {
      allowances[limit.workspace] = full_allowance;
    } else if (const auto remaining = startup_allowances_.find(limit.workspace);
               remaining != startup_allowances_.end()) {
      // A change of the contract never raises the remaining allowance.
      allowances[limit.workspace] = {
          std::min(remaining->second.requests, full_allowance.requests),
          std::min(remaining->second.tokens, full_allowance.tokens)};
    }
  }
  demands_ = std::move(demands);
  startup_allowances_ = std::move(allowances);
  if (!startup_end_) {
    startup_end_ = MonotonicNow() + kStartupAllowanceDuration;
  }
  limits_ = limits;
  peers_ = peers;
  // The limits are set first, because the ledger then sets the shares of new
  // workspaces.
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

void entry_admission::Apply(const admission_controller::action& action) {
  if (const auto* reject = std::get_if<admission_controller::reject>(&action)) {
    rejected_ = *reject;
  }
}

void entry_admission::Apply(const share_ledger::action& action) {
  std::visit(overloaded{
                 [this](const share_ledger::send_request& request) {
                   if (!connected_.contains(request.peer)) {
                     ledger_.Handle(share_ledger::peer_lost{request.peer});
                     return;
                   }
                   send_(request.peer, share_request_message{request.number,
                                                             request.workspace,
                                                             request.amount});
                 },
                 [this](const share_ledger::send_grant& grant) {
                   const auto remaining =
                       std::chrono::duration_cast<milliseconds>(grant.expiry);
                   process_.Record(event_kind::kShareLent,
                                   {{"peer", grant.peer.value()},
                                    {"fraction", std::to_string(grant.amount)}},
                                   std::nullopt, grant.workspace);
                   send_(grant.peer,
                         share_grant_message{
                             grant.number, grant.workspace, grant.amount,
                             static_cast<std::uint64_t>(remaining.count())});
                 },
                 [this](const share_ledger::set_share& share) {
                   // An entry without peers cannot have lent its share.
                   const double fraction = peers_.empty() ? 1 : share.fraction;
                   controller_.Handle(admission_controller::share_changed{
                       share.workspace, fraction});
                 },
             },
             action);
}

void entry_admission::MeasureDemand() {
  for (auto& [workspace, measured] : demands_) {
    if (measured.requests == 0 && measured.fraction == 0) {
      continue;
    }
    const double period = ToSeconds(kDemandMeasurementInterval);
    const double latest_fraction =
        std::max(measured.requests / measured.requests_per_second,
                 measured.tokens / measured.tokens_per_second) /
        period;
    constexpr double kMinFraction = 0.001;
    const double smoothed_fraction =
        measured.fraction +
        kDemandSmoothingFactor * (latest_fraction - measured.fraction);
    measured.fraction =
        smoothed_fraction < kMinFraction ? 0 : smoothed_fraction;
    measured.requests = 0;
    measured.tokens = 0;
    ledger_.Handle(share_ledger::demand_changed{workspace, measured.fraction});
  }
}

}  // namespace fireflyslip
