#ifndef FIREFLYSLIP_PROGRAM_AGENT_CONTROL_H_
#define FIREFLYSLIP_PROGRAM_AGENT_CONTROL_H_

#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

#include "fireflyslip/link.h"
#include "fireflyslip/rollout.h"
#include "fireflyslip/runtime.h"
#include "program/admin_server.h"
#include "program/engine_client.h"
#include "program/engine_orders.h"
#include "program/fleet_snapshot.h"
#include "program/process_context.h"
#include "program/weight_distributor.h"

namespace fireflyslip {

/// \brief The control part of an agent beside a model engine: weights, orders
/// and the rollout of versions. It does nothing beside a plain service.
///
/// All functions are called on the control thread, as are the callbacks.
class agent_control {
 public:
  struct callbacks {
    /// Any thread may be the receiver's.
    std::function<void(const vm_id& peer, link_message message)> send;
    /// Whether the engine may be given new model work, and the version that
    /// it serves.
    std::function<void(bool accepts, const model_version& version)>
        on_model_work;
    /// Asks how much model work runs; `reply` may be called on any thread,
    /// after the effect of an earlier `on_model_work`.
    std::function<void(std::function<void(std::size_t running)> reply)>
        count_model_work;
    std::function<void()> on_upstream_crashed;
  };

  agent_control(process_context& process,
                io_thread& thread,
                timer_service& timers,
                callbacks handlers);

  /// \brief Adds the paths of the admin port. Called before the threads start.
  void AddPaths(admin_server& admin) { weights_.AddPaths(admin); }

  void OnSnapshot(const snapshot_pointer& snapshot);
  void OnPeerConnected(const hello_message& peer);
  void OnPeerLost(const vm_id& peer);
  void OnMessage(const vm_id& peer, const link_message& message);
  /// \brief The process was paused for longer than its leases allow.
  void OnPause();

  /// \brief Whether the agent handles messages of this type here.
  static bool Handles(const link_message& message);

  /// \brief Fields of `/status`: model, version, staged and declared chunks.
  nlohmann::json StatusFields() const;

 private:
  void Activate(const upstream_declaration& own);
  boost::asio::awaitable<void> PollEngine();
  void Observe(const result<orders::versioned_model>& state);
  void OnEngineContent(const orders::versioned_model& content);
  void OnEngineCrashed();
  void Serve();
  void Apply(const rollout_controller::action& action);
  void StartDrain(const model_version& version);
  boost::asio::awaitable<void> LoadAfterDrain(orders::versioned_model content);
  void OnLoadFailed(const orders::versioned_model& content,
                    const std::string& reason);
  void OnReplicaReport(const vm_id& peer,
                       const replica_report_message& message);
  void SendReport(const vm_id& peer);

  process_context& process_;
  io_thread& thread_;
  timer_service& timers_;
  callbacks handlers_;
  engine_client engine_;
  weight_distributor weights_;
  core_driver<rollout_controller> rollout_;
  std::optional<engine_orders> orders_;  // Set when the agent has a model.

  model_name model_;
  model_version declared_;
  std::set<vm_id> replicas_;  // Peers of model and data centre.
  std::set<vm_id> connected_;
  std::optional<replica_report_message> last_report_;

  /// What the engine reported last; empty names if nothing is loaded.
  std::optional<orders::versioned_model> content_;
  /// The version for which the engine is drained and loads.
  std::optional<orders::versioned_model> loading_;
  int failed_polls_ = 0;
  bool lost_ = false;  ///< The engine does not answer.
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_AGENT_CONTROL_H_
