#include <utility>

#include "program/daemon.h"
#include "program/daemon_host.h"
#include "program/entry_traffic.h"

namespace fireflyslip {
namespace {

/// \brief Role of a daemon that runs as an entry.
class entry_role {
 public:
  entry_role(process_context& process,
             io_thread& thread,
             control_plane& control)
      : thread_(thread),
        traffic_(thread,
                 process,
                 [&control](const vm_id& peer, link_message message) {
                   control.Send(peer, std::move(message));
                 }) {}

  status Start(admin_server& /*admin*/) { return traffic_.Start(); }

  void OnSnapshot(const snapshot_pointer& snapshot) {
    thread_.Post([this, snapshot] { traffic_.OnSnapshot(snapshot); });
  }
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
  void OnPause() {
    thread_.Post([this] { traffic_.OnPause(); });
  }
  void Drain() { traffic_.Drain(); }
  std::size_t InProgress() const { return traffic_.requests_in_progress(); }
  bool IsReady() const { return traffic_.is_ready(); }
  nlohmann::json StatusFields() const { return nlohmann::json::object(); }

 private:
  io_thread& thread_;
  entry_traffic traffic_;
};

}  // namespace

int RunEntry(process_settings settings) {
  const shutdown_signal shutdown;
  daemon_host<entry_role> daemon(std::move(settings));
  return daemon.Run(shutdown);
}

}  // namespace fireflyslip
