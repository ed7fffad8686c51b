#ifndef FIREFLYSLIP_PROGRAM_UPSTREAM_DIRECTORY_H_
#define FIREFLYSLIP_PROGRAM_UPSTREAM_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "fireflyslip/link.h"
#include "fireflyslip/routing.h"
#include "fireflyslip/runtime.h"
#include "program/fleet_snapshot.h"
#include "program/process_context.h"
#include "program/request_context.h"

namespace fireflyslip {

/// \brief Combines the declared upstreams with the state of their connected
/// agents and routes requests to them. Used on the traffic thread.
class upstream_directory {
 public:
  upstream_directory(process_context& process, timer_service& timers);

  /// \brief Selects the agent of a request.
  ///
  /// A non-idempotent call is routed to the upstream that owns the journal of
  /// its key. Agents in `excluded`, on which the request failed, are selected
  /// only if there is no other. If `version` is set, only upstreams that serve
  /// it are selected. Fails with `kNoUpstream` or `kUpstreamLeaving`.
  result<vm_id> Route(const request_context& context,
                      const std::set<vm_id>& excluded = {},
                      const std::optional<model_version>& version = {});

  /// \brief Whether a connected upstream of the model serves the version.
  bool IsServed(const model_name& model, const model_version& version) const;

  /// \brief Reports the end of an attempt to the router; `has_failed` if the
  /// upstream caused the failure.
  void OnAttemptEnded(const request_context& context,
                      const vm_id& agent,
                      bool has_failed);

  /// \brief Incarnation of a connected agent.
  std::optional<incarnation_number> IncarnationOf(const vm_id& agent) const;

  /// \brief Whether every declared model and service has a connected agent that
  /// accepts work, and every upstream of a service with non-idempotent calls is
  /// connected, since each may own a journal. Upstreams that are not in the VM
  /// list are ignored.
  bool HasRequiredUpstreams() const;

  void OnSnapshot(snapshot_pointer snapshot);
  void OnAgentConnected(const vm_id& agent, incarnation_number incarnation);
  void OnAgentLost(const vm_id& agent);
  void OnLoad(const vm_id& agent, const load_report_message& load);
  void OnLeaving(const vm_id& agent);

 private:
  using router = request_router<two_choices_policy>;

  struct agent_state {
    incarnation_number incarnation = 0;
    bool leaving = false;
    std::optional<load_report_message> load;
  };

  const agent_state* FindEligible(const vm_id& agent) const;
  bool IsLeaving(const vm_id& agent) const;
  /// \brief Whether all, or at least one, of the upstreams in the VM list have
  /// a connected agent that accepts work.
  bool AreReachable(const std::vector<upstream_id>& upstreams, bool all) const;
  region_id RegionOf(const vm_id& agent,
                     const data_centre_id& data_centre) const;
  void UpdateRouter(const upstream_id& upstream);
  result<vm_id> RouteToJournalOwner(const request_context& context) const;
  std::optional<vm_id> RouteAny(const request_context& context,
                                const std::set<vm_id>& excluded,
                                const std::optional<model_version>& version);

  process_context& process_;
  timer_service& timers_;
  snapshot_pointer snapshot_ = std::make_shared<fleet_snapshot>();
  std::map<vm_id, agent_state> agents_;
  std::set<upstream_id> router_upstreams_;  // Upstreams that the router knows.
  // Created with the first configuration, which states the number of entries.
  std::unique_ptr<core_driver<router>> router_;
  std::optional<vm_id> selected_agent_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_UPSTREAM_DIRECTORY_H_
