#include <utility>

#include "program/agent_traffic.h"
#include "program/daemon.h"
#include "program/daemon_host.h"

namespace fireflyslip {
namespace {

/// \brief The part of the daemon that is special to an agent.
class agent_role {
 public:
  agent_role(process_context& process,
             io_thread& thread,
             control_plane& control)
      : thread_(thread),
        traffic_(thread,
                 process,
                 [&control](const vm_id& peer, link_message message) {
                   control.Send(peer, std::move(message));
                 }) {}

  status Start(admin_server& /*admin*/) {
    traffic_.Start();
    return std::monostate();
  }

  void OnSnapshot(const snapshot_pointer& snapshot) {
    thread_.Post([this, snapshot] { traffic_.OnSnapshot(snapshot); });
  }
  void OnPause() {}
  void OnPeerConnected(const hello_message& peer) {
    thread_.Post([this, peer] { traffic_.OnPeerConnected(peer); });
  }
  void OnPeerLost(const vm_id& peer) {
    thread_.Post([this, peer] { traffic_.OnPeerLost(peer); });
  }
  void OnMessage(const vm_id& peer, link_message message) {
    thread_.Post([this, peer, message = std::move(message)]() mutable {
      traffic_.OnMessage(peer, std::move(message));
    });
  }
  void Drain() { traffic_.Drain(); }
  std::size_t InProgress() const { return traffic_.in_progress(); }
  bool IsReady() const { return true; }
  nlohmann::json StatusFields() const { return nlohmann::json::object(); }

 private:
  io_thread& thread_;
  agent_traffic traffic_;
};

}  // namespace

int RunAgent(process_settings settings) {
  const shutdown_signal shutdown;
  daemon_host<agent_role> daemon(std::move(settings));
  return daemon.Run(shutdown);
}

}  // namespace fireflyslip
