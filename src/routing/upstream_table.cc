#include "fireflyslip/routing/upstream_table.h"

#include <algorithm>

namespace fireflyslip {
namespace {

// A recovered or new upstream has cold caches, so its share of the load is
// ramped up over this time.
constexpr duration kSlowStart = seconds(10);
constexpr double kSlowStartMinFraction = 0.1;

// Assumed rate in tokens per second of an upstream that has not reported one.
constexpr double kDefaultRate = 100;

// On average, half of the work of a running request remains.
constexpr double kRunningRemainingFraction = 0.5;

// A request sent within this time before a report may not be included in it.
// The value covers the latency between regions.
constexpr duration kLinkDelay = milliseconds(2);

// Age at which a report has the same weight as the estimate from this entry's
// own requests in progress, multiplied by the number of entries.
constexpr duration kReportHalfWeightAge = seconds(1);

constexpr double kMeanTokensDecay = 0.99;

}  // namespace

void upstream_table::On(const upstream_changed& event, time_point now) {
  const auto [found, is_new] = upstreams_.try_emplace(event.upstream);
  state& upstream = found->second;
  const bool is_recovered = event.eligible && !upstream.info.eligible;
  const bool is_other_version = event.version != upstream.info.version;
  if (is_new || is_recovered || is_other_version) {
    upstream.recovered = now;
  }
  upstream.info = event;
}

void upstream_table::On(const upstream_removed& event) {
  upstreams_.erase(event.upstream);
}

void upstream_table::On(const load_reported& event, time_point now) {
  const auto found = upstreams_.find(event.upstream);
  if (found == upstreams_.end() || now - event.age < found->second.reported) {
    return;
  }
  state& upstream = found->second;
  upstream.reported = now - event.age;
  upstream.queued_tokens = static_cast<double>(event.queued_tokens);
  upstream.running = static_cast<double>(event.running);
  upstream.tokens_per_second = event.tokens_per_second;
  CountUnreported(upstream);
}

void upstream_table::On(const request_finished& event) {
  if (event.tokens > 0) {
    mean_tokens_ = mean_tokens_ * kMeanTokensDecay +
                   static_cast<double>(event.tokens) * (1 - kMeanTokensDecay);
  }
  if (const auto found = upstreams_.find(event.upstream);
      found != upstreams_.end()) {
    found->second.in_progress.erase(event.request);
    CountUnreported(found->second);
  }
}

void upstream_table::On(const request_failed& event, time_point now) {
  if (const auto found = upstreams_.find(event.upstream);
      found != upstreams_.end()) {
    found->second.in_progress.erase(event.request);
    found->second.recovered = now;
    CountUnreported(found->second);
  }
}

void upstream_table::RecordSent(const request_arrived& request,
                                const upstream_id& upstream,
                                time_point now) {
  state& target = upstreams_.at(upstream);
  const auto tokens = static_cast<double>(request.estimated_tokens);
  target.in_progress[request.request] = {now, tokens};
  target.unreported_tokens += tokens;
  target.own_tokens += tokens;
}

double upstream_table::ExpectedWait(const state& upstream,
                                    double tokens,
                                    time_point now) const {
  const double reported =
      upstream.queued_tokens +
      upstream.running * mean_tokens_ * kRunningRemainingFraction +
      upstream.unreported_tokens;
  const double age = ToSeconds(now - upstream.reported);
  const double report_weight = 1 / (1 + age / ToSeconds(kReportHalfWeightAge));
  const double load = report_weight * reported +
                      (1 - report_weight) * entries_ * upstream.own_tokens +
                      tokens;
  const double rate = upstream.tokens_per_second > 0
                          ? upstream.tokens_per_second
                          : kDefaultRate;
  const double slow_start_fraction =
      std::clamp(ToSeconds(now - upstream.recovered) / ToSeconds(kSlowStart),
                 kSlowStartMinFraction, 1.0);
  return load / (rate * slow_start_fraction);
}

void upstream_table::CountUnreported(state& upstream) {
  upstream.unreported_tokens = 0;
  upstream.own_tokens = 0;
  for (const auto& [id, sent] : upstream.in_progress) {
    upstream.own_tokens += sent.tokens;
    if (sent.sent + kLinkDelay > upstream.reported) {
      upstream.unreported_tokens += sent.tokens;
    }
  }
}

}  // namespace fireflyslip
