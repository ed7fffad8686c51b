#include "fireflyslip/admission/admission_controller.h"

#include <algorithm>

#include "fireflyslip/core/result.h"

namespace fireflyslip {

std::vector<admission_controller::action> admission_controller::Handle(
    const event& event,
    time_point now) {
  std::vector<action> actions;
  std::visit(
      overloaded{[](const tick& /*value*/) {},
                 [&](const request_arrived& value) {
                   actions.push_back(Decide(value, now));
                 },
                 [&](const tokens_used& value) {
                   if (const auto found = accounts_.find(value.workspace);
                       found != accounts_.end()) {
                     found->second.tokens.Take(
                         static_cast<double>(value.actual_tokens) -
                             static_cast<double>(value.estimated_tokens),
                         now);
                   }
                 },
                 [&](const limits_changed& value) {
                   std::map<workspace_id, account> accounts;
                   for (const workspace_limits& limits : value.limits) {
                     if (auto old = accounts_.extract(limits.workspace)) {
                       old.mapped().limits = limits;
                       Configure(old.mapped(), now);
                       accounts.insert(std::move(old));
                       continue;
                     }
                     const double requests =
                         limits.requests_per_second * value.initial_share;
                     const double tokens =
                         limits.tokens_per_second * value.initial_share;
                     accounts.emplace(
                         limits.workspace,
                         account{
                             limits, value.initial_share,
                             token_bucket(requests,
                                          requests * limits.burst_seconds, now),
                             token_bucket(tokens, tokens * limits.burst_seconds,
                                          now)});
                   }
                   accounts_ = std::move(accounts);
                 },
                 [&](const share_changed& value) {
                   if (const auto found = accounts_.find(value.workspace);
                       found != accounts_.end()) {
                     found->second.fraction = value.fraction;
                     Configure(found->second, now);
                   }
                 }},
      event);
  return actions;
}

void admission_controller::Configure(account& account, time_point now) {
  const workspace_limits& limits = account.limits;
  const double requests = limits.requests_per_second * account.fraction;
  const double tokens = limits.tokens_per_second * account.fraction;
  account.requests.Configure(requests, requests * limits.burst_seconds, now);
  account.tokens.Configure(tokens, tokens * limits.burst_seconds, now);
}

admission_controller::action admission_controller::Decide(
    const request_arrived& event,
    time_point now) {
  const auto found = accounts_.find(event.workspace);
  if (found == accounts_.end()) {
    return reject{event.request, error_kind::kUnauthorized, std::nullopt};
  }
  account& account = found->second;
  const auto tokens = static_cast<double>(event.estimated_tokens);
  const auto wait_requests = account.requests.WaitFor(1, now);
  const auto wait_tokens = account.tokens.WaitFor(tokens, now);
  if (!wait_requests || !wait_tokens) {
    return reject{event.request, error_kind::kRateLimited, std::nullopt};
  }
  if (const duration wait = std::max(*wait_requests, *wait_tokens);
      wait > duration(0)) {
    return reject{event.request, error_kind::kRateLimited, wait};
  }
  account.requests.Take(1, now);
  account.tokens.Take(tokens, now);
  return admit{event.request};
}

}  // namespace fireflyslip
