#ifndef FIREFLYSLIP_ROUTING_REQUEST_ROUTER_H_
#define FIREFLYSLIP_ROUTING_REQUEST_ROUTER_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "fireflyslip/core/decision_core.h"
#include "fireflyslip/core/random_source.h"
#include "fireflyslip/core/rendezvous.h"
#include "fireflyslip/routing/routing_policy.h"
#include "fireflyslip/routing/upstream_table.h"

namespace fireflyslip {

/// \brief Location of an entry and its limits on work sent to other locations.
struct routing_settings {
  region_id region;
  data_centre_id data_centre;
  /// A request spills over to another data centre if that reduces its expected
  /// wait by more than this time.
  duration spill_margin = milliseconds(100);
  /// Bandwidth of the link between regions that this entry may use for
  /// requests.
  double region_bytes_per_second = 300'000;
  duration region_burst = seconds(1);
  /// Approximate number of entries that send to an upstream.
  std::size_t entries = 1;

  bool operator==(const routing_settings&) const = default;
};

/// \brief Decision core that selects the upstream of each request.
///
/// Candidates are the eligible upstreams that serve the target; those in the
/// local data centre are preferred. An upstream that probably caches the prompt
/// prefix is selected unless its load exceeds the mean by too much; otherwise
/// the policy selects.
template <routing_policy Policy>
class request_router : public routing_types {
 public:
  using event = std::variant<tick,
                             upstream_changed,
                             upstream_removed,
                             load_reported,
                             request_arrived,
                             request_finished,
                             request_failed>;
  using action = std::variant<route, no_upstream>;

  request_router(routing_settings settings, random_source random)
      : settings_(std::move(settings)),
        random_(random),
        table_(settings_.entries),
        region_byte_credit_(RegionBurst()) {}

  std::vector<action> Handle(const event& event, time_point now) {
    std::vector<action> actions;
    std::visit(
        [&](const auto& value) {
          using type = std::decay_t<decltype(value)>;
          if constexpr (std::is_same_v<type, request_arrived>) {
            actions.push_back(Route(value, now));
          } else if constexpr (std::is_same_v<type, upstream_removed> ||
                               std::is_same_v<type, request_finished>) {
            table_.On(value);
          } else if constexpr (!std::is_same_v<type, tick>) {
            table_.On(value, now);
          }
        },
        event);
    return actions;
  }

  std::optional<time_point> NextDeadline() const { return std::nullopt; }

  const upstream_table& table() const { return table_; }

 private:
  // An upstream with prefix affinity may exceed the mean wait by this factor.
  static constexpr double kAffinityLoadFactor = 1.25;
  // Number of upstreams considered for prefix affinity, in rendezvous order.
  static constexpr std::size_t kAffinityChoices = 2;

  double RegionBurst() const {
    return settings_.region_bytes_per_second *
           ToSeconds(settings_.region_burst);
  }

  action Route(const request_arrived& request, time_point now) {
    region_byte_credit_ = std::min(
        RegionBurst(), region_byte_credit_ + settings_.region_bytes_per_second *
                                                 ToSeconds(now - last_refill_));
    last_refill_ = now;
    std::vector<routing_candidate> local;
    std::vector<routing_candidate> remote;
    const auto tokens = static_cast<double>(request.estimated_tokens);
    for (const auto& [id, upstream] : table_.upstreams()) {
      const upstream_changed& info = upstream.info;
      if (!info.eligible || info.target != request.target ||
          std::find(request.excluded.begin(), request.excluded.end(), id) !=
              request.excluded.end()) {
        continue;
      }
      const double wait = table_.ExpectedWait(upstream, tokens, now);
      if (info.data_centre == settings_.data_centre) {
        local.push_back({id, wait});
      } else if (info.region == settings_.region ||
                 region_byte_credit_ >= static_cast<double>(request.bytes)) {
        remote.push_back({id, wait});
      }
    }
    const std::optional<routing_candidate> local_choice =
        Select(local, request);
    const std::optional<routing_candidate> remote_choice =
        Select(remote, request);
    if (!local_choice && !remote_choice) {
      return no_upstream{request.request};
    }
    const bool is_spilled =
        !local_choice ||
        (remote_choice &&
         local_choice->expected_wait >
             remote_choice->expected_wait + ToSeconds(settings_.spill_margin));
    const upstream_id selected =
        is_spilled ? remote_choice->upstream : local_choice->upstream;
    if (table_.upstreams().at(selected).info.region != settings_.region) {
      region_byte_credit_ -= static_cast<double>(request.bytes);
    }
    table_.RecordSent(request, selected, now);
    return route{request.request, selected};
  }

  std::optional<routing_candidate> Select(
      const std::vector<routing_candidate>& candidates,
      const request_arrived& request) {
    if (candidates.empty()) {
      return std::nullopt;
    }
    const routing_candidate& chosen =
        candidates.at(policy_.Select(candidates, random_));
    if (request.prefix_hash == 0) {
      return chosen;
    }
    double bound = 0;
    for (const routing_candidate& candidate : candidates) {
      bound += candidate.expected_wait;
    }
    bound *= kAffinityLoadFactor / static_cast<double>(candidates.size());
    if (request.rank == request_rank::kUrgent) {
      bound = std::min(bound, chosen.expected_wait * kAffinityLoadFactor);
    }
    std::vector<std::pair<std::uint64_t, std::size_t>> scores;
    scores.reserve(candidates.size());
    const std::string prefix = std::to_string(request.prefix_hash);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      scores.emplace_back(
          RendezvousScore(prefix, candidates[i].upstream.value()), i);
    }
    const std::size_t tried = std::min(kAffinityChoices, scores.size());
    std::partial_sort(scores.begin(),
                      scores.begin() + static_cast<std::ptrdiff_t>(tried),
                      scores.end(), std::greater<>());
    for (std::size_t i = 0; i < tried; ++i) {
      const routing_candidate& preferred = candidates[scores[i].second];
      if (preferred.expected_wait <= bound) {
        return preferred;
      }
    }
    return chosen;
  }

  routing_settings settings_;
  random_source random_;
  Policy policy_;
  upstream_table table_;
  double region_byte_credit_;
  time_point last_refill_;
};

static_assert(decision_core<request_router<two_choices_policy>>);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_ROUTING_REQUEST_ROUTER_H_
