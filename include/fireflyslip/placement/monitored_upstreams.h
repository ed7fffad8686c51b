#ifndef FIREFLYSLIP_PLACEMENT_MONITORED_UPSTREAMS_H_
#define FIREFLYSLIP_PLACEMENT_MONITORED_UPSTREAMS_H_

#include <cstddef>
#include <map>

#include "fireflyslip/catalog/evacuation_registry.h"
#include "fireflyslip/catalog/upstream_registry.h"
#include "fireflyslip/core/ids.h"
#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Number of replicas whose load one gateway follows.
struct monitoring_policy {
  std::size_t local = 16;   ///< In the data centre of the gateway.
  std::size_t remote = 12;  ///< In all others.

  auto operator<=>(const monitoring_policy&) const = default;
};

/// \brief The upstreams outside of the evacuated data centres.
upstream_map WithoutEvacuated(const upstream_map& upstreams,
                              const evacuated_set& evacuated);

/// \brief Number of replicas to follow. If the data centre of the gateway is
/// evacuated, replicas of the others take the place of the local ones, so that
/// its requests spread over all that are left.
monitoring_policy MonitoringPolicyFor(const data_centre_id& data_centre,
                                      const evacuated_set& evacuated);

/// \brief Selects the replicas to which one gateway sends requests and whose
/// load reports it receives. Upstreams without an engine are all selected.
///
/// Load pattern: with reports from all replicas to all gateways, their number
/// grows with the product of both, and at some hundred processes handling them
/// takes more processor time than the requests. Each gateway prefers replicas
/// in its own rendezvous order, so that every replica is followed by about the
/// same number of gateways, and a change of the list changes few selections.
/// Replicas without weights and draining ones are taken last; remote replicas
/// are spread over the data centres.
upstream_map SelectMonitored(const upstream_map& upstreams,
                             const vm_id& gateway,
                             const data_centre_id& data_centre,
                             const monitoring_policy& policy);

/// \brief Interval of the load reports of monitored replicas.
///
/// Load pattern: in a small data centre each gateway sends a large part of the
/// requests, and its choice between two reports matters. Where many gateways
/// share many replicas, each sends a replica less than one request between two
/// reports, and twice the interval halves the messages.
duration ReportInterval(const upstream_map& upstreams,
                        const data_centre_id& gateway_data_centre,
                        const data_centre_id& replica_data_centre);

/// \brief Estimates the number of gateways from the numbers of gateways that
/// follow the monitored replicas.
///
/// Each gateway follows as many replicas as this one, so the gateways that all
/// replicas count add up to the number of gateways times that number. The mean
/// is taken for each data centre, because gateways are spread unevenly.
class gateway_count_estimate {
 public:
  /// \brief Sets the replicas of the fleet and the monitored ones.
  void SetUpstreams(const upstream_map& all, const upstream_map& monitored);
  /// \brief Records how many gateways follow a replica.
  void Report(const upstream_id& upstream, std::size_t gateways);

  /// \brief Estimated number of gateways; 0 before the first report.
  double value() const;

 private:
  struct replica_group {
    std::size_t replicas = 0;
    std::map<upstream_id, std::size_t> gateways;  // by monitored replica
  };

  std::map<data_centre_id, replica_group> groups_;
  std::map<upstream_id, data_centre_id> monitored_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PLACEMENT_MONITORED_UPSTREAMS_H_
