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

/// \brief Controls the model engine of an agent: distributes weights, sends
/// load orders and rolls out versions. Does nothing if the upstream is a
/// service.
///
/// All functions must be called on the control thread, and callbacks are called
/// on it.
class agent_control {
 public:
  struct callbacks {
    /// Sends a message to a peer. The receiver may run on another thread.
    std::function<void(const vm_id& peer, link_message message)> send;
    /// Reports whether the engine may receive new model requests, and the
    /// version that it serves.
    std::function<void(bool accepts, const model_version& version)>
        on_model_availability;
    /// Requests the number of running model requests. `reply` may be called on
    /// any thread, after an earlier `on_model_availability` has taken effect.
    std::function<void(std::function<void(std::size_t running)> reply)>
        count_model_requests;
    std::function<void()> on_upstream_crashed;
  };

  agent_control(process_context& process,
                io_thread& thread,
                timer_service& timers,
                callbacks handlers);

  /// \brief Registers the handlers of the admin port. Must be called before the
  /// threads start.
  void AddPaths(admin_server& admin) { weights_.AddPaths(admin); }

  void OnSnapshot(const snapshot_pointer& snapshot);
  void OnPeerConnected(const hello_message& peer);
  void OnPeerLost(const vm_id& peer);
  void OnMessage(const vm_id& peer, const link_message& message);
  /// \brief Called after the process was suspended for longer than its leases
  /// allow.
  void OnPause();

  /// \brief Whether messages of this type are handled by this class.
  static bool Handles(const link_message& message);

  /// \brief Fields of `/status`: model, version, staged and declared chunks.
  nlohmann::json StatusFields() const;

 private:
  void StartEngineControl(const upstream_declaration& own_declaration);
  boost::asio::awaitable<void> PollEngine();
  void OnEngineState(const result<orders::versioned_model>& state);
  void OnEngineContent(const orders::versioned_model& content);
  void OnEngineCrashed();
  void PublishModelAvailability();
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
  std::optional<engine_orders> orders_;  // Set if the upstream is an engine.

  model_name model_;
  model_version declared_;
  std::set<vm_id> replicas_;  // Other agents of the model in the data centre.
  std::set<vm_id> connected_;
  std::optional<replica_report_message> last_report_;

  /// Last state that the engine reported; its names are empty if no version is
  /// loaded.
  std::optional<orders::versioned_model> engine_content_;
  /// Version for which the engine is being drained or which it is loading.
  std::optional<orders::versioned_model> loading_;
  int failed_polls_ = 0;
  bool engine_lost_ = false;  ///< The engine does not answer polls.
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_AGENT_CONTROL_H_
