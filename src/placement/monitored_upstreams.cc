#include "fireflyslip/placement/monitored_upstreams.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

#include "fireflyslip/core/rendezvous.h"

namespace fireflyslip {
namespace {

/// Rank of a replica in the order of one gateway; lower is preferred.
struct ranked_replica {
  bool unusable = false;  // draining or without weights
  std::uint64_t score = 0;
  const upstream_entry* entry = nullptr;

  bool operator<(const ranked_replica& other) const {
    return std::tie(unusable, other.score, entry->id) <
           std::tie(other.unusable, score, other.entry->id);
  }
};

using replicas_by_data_centre =
    std::map<data_centre_id, std::vector<ranked_replica>>;

/// Moves up to `count` replicas to the selection, one of each group in turn.
void TakeInTurn(replicas_by_data_centre groups,
                std::size_t count,
                upstream_map& selected) {
  for (auto& [data_centre, group] : groups) {
    std::sort(group.begin(), group.end());
  }
  for (std::size_t rank = 0; count > 0; ++rank) {
    bool found = false;
    for (const auto& [data_centre, group] : groups) {
      if (rank < group.size() && count > 0) {
        selected.emplace(group[rank].entry->id, *group[rank].entry);
        --count;
        found = true;
      }
    }
    if (!found) {
      return;
    }
  }
}

}  // namespace

upstream_map WithoutEvacuated(const upstream_map& upstreams,
                              const evacuated_set& evacuated) {
  upstream_map remaining = upstreams;
  std::erase_if(remaining, [&evacuated](const auto& item) {
    return evacuated.contains(item.second.data_centre);
  });
  return remaining;
}

monitoring_policy MonitoringPolicyFor(const data_centre_id& data_centre,
                                      const evacuated_set& evacuated) {
  monitoring_policy policy;
  if (evacuated.contains(data_centre)) {
    policy.remote += std::exchange(policy.local, 0);
  }
  return policy;
}

upstream_map SelectMonitored(const upstream_map& upstreams,
                             const vm_id& gateway,
                             const data_centre_id& data_centre,
                             const monitoring_policy& policy) {
  upstream_map selected;
  replicas_by_data_centre local;
  replicas_by_data_centre remote;
  for (const auto& [id, entry] : upstreams) {
    if (!entry.has_engine) {
      selected.emplace(id, entry);
      continue;
    }
    const bool has_weights =
        std::any_of(entry.model_versions.begin(), entry.model_versions.end(),
                    [](const auto& model) { return model.second > 0; });
    const ranked_replica ranked{entry.draining || !has_weights,
                                RendezvousScore(gateway.value(), id.value()),
                                &entry};
    (entry.data_centre == data_centre ? local : remote)[entry.data_centre]
        .push_back(ranked);
  }
  TakeInTurn(std::move(local), policy.local, selected);
  TakeInTurn(std::move(remote), policy.remote, selected);
  return selected;
}

duration ReportInterval(const upstream_map& upstreams,
                        const data_centre_id& gateway_data_centre,
                        const data_centre_id& replica_data_centre) {
  constexpr milliseconds kLocalInterval{100};
  constexpr milliseconds kLargeLocalInterval{200};
  constexpr std::ptrdiff_t kLargeDataCentre = 24;  // replicas
  // Reports from other data centres cross the links between regions, which have
  // little bandwidth, and few requests go there. Two of them may be lost before
  // the load counts as unknown.
  constexpr milliseconds kRemoteInterval{300};
  if (replica_data_centre != gateway_data_centre) {
    return kRemoteInterval;
  }
  const auto local =
      std::count_if(upstreams.begin(), upstreams.end(), [&](const auto& item) {
        return item.second.has_engine &&
               item.second.data_centre == gateway_data_centre;
      });
  return local > kLargeDataCentre ? kLargeLocalInterval : kLocalInterval;
}

void gateway_count_estimate::SetUpstreams(const upstream_map& all,
                                          const upstream_map& monitored) {
  std::map<data_centre_id, replica_group> groups;
  monitored_.clear();
  for (const auto& [id, entry] : all) {
    if (!entry.has_engine) {
      continue;
    }
    replica_group& group = groups[entry.data_centre];
    ++group.replicas;
    if (!monitored.contains(id)) {
      continue;
    }
    monitored_.emplace(id, entry.data_centre);
    const std::map<upstream_id, std::size_t>& known =
        groups_[entry.data_centre].gateways;
    if (const auto found = known.find(id); found != known.end()) {
      group.gateways.insert(*found);
    }
  }
  groups_ = std::move(groups);
}

void gateway_count_estimate::Report(const upstream_id& upstream,
                                    std::size_t gateways) {
  if (const auto found = monitored_.find(upstream); found != monitored_.end()) {
    groups_[found->second].gateways[upstream] = gateways;
  }
}

double gateway_count_estimate::value() const {
  double followed = 0;  // sum over all replicas of the gateways that follow one
  for (const auto& [data_centre, group] : groups_) {
    double sum = 0;
    for (const auto& [id, gateways] : group.gateways) {
      sum += static_cast<double>(gateways);
    }
    if (!group.gateways.empty()) {
      followed += sum / static_cast<double>(group.gateways.size()) *
                  static_cast<double>(group.replicas);
    }
  }
  return monitored_.empty() ? 0
                            : followed / static_cast<double>(monitored_.size());
}

}  // namespace fireflyslip
