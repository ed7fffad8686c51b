#include "fireflyslip/routing/upstream_table.h"

#include <algorithm>

namespace fireflyslip {
namespace {

// A recovered or new upstream has cold caches; its share of the load grows
// over this time.
constexpr duration kSlowStart = seconds(10);
constexpr double kSlowStartLeast = 0.1;

// Rate in tokens a second of an upstream that has not reported any.
constexpr double kDefaultRate = 100;

// A running request is half done on average.
constexpr double kRunningPart = 0.5;

// A request sent this long before a report was still on its way. It covers
// the latency between regions.
constexpr duration kLinkDelay = milliseconds(2);

// A report of this age counts as much as what this entry itself has in
// progress, multiplied by the number of entries.
constexpr duration kReportTrust = seconds(1);

constexpr double kMeanDecay = 0.99;

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
    mean_tokens_ = mean_tokens_ * kMeanDecay +
                   static_cast<double>(event.tokens) * (1 - kMeanDecay);
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
  const double reported = upstream.queued_tokens +
                          upstream.running * mean_tokens_ * kRunningPart +
                          upstream.unreported_tokens;
  const double age = ToSeconds(now - upstream.reported);
  const double trust = 1 / (1 + age / ToSeconds(kReportTrust));
  const double load =
      trust * reported + (1 - trust) * entries_ * upstream.own_tokens + tokens;
  const double rate = upstream.tokens_per_second > 0
                          ? upstream.tokens_per_second
                          : kDefaultRate;
  const double ramp =
      std::clamp(ToSeconds(now - upstream.recovered) / ToSeconds(kSlowStart),
                 kSlowStartLeast, 1.0);
  return load / (rate * ramp);
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
