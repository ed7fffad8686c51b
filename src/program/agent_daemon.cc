#include <utility>

#include "program/agent_control.h"
#include "program/agent_traffic.h"
#include "program/daemon.h"
#include "program/daemon_host.h"

namespace fireflyslip {
namespace {

/// \brief Role of a daemon that runs as an agent.
class agent_role {
 public:
  agent_role(process_context& process,
             io_thread& thread,
             control_plane& control)
      : thread_(thread),
        control_thread_(control.thread()),
        traffic_(thread, process, MakeSendFunction(control)),
        control_(process,
                 control.thread(),
                 control.timers(),
                 MakeControlCallbacks(MakeSendFunction(control))) {}

  status Start(admin_server& admin) {
    traffic_.Start();
    control_.AddPaths(admin);
    return std::monostate();
  }

  void OnSnapshot(const snapshot_pointer& snapshot) {
    control_.OnSnapshot(snapshot);
    thread_.Post([this, snapshot] { traffic_.OnSnapshot(snapshot); });
  }
  void OnPause() {
    control_.OnPause();
    thread_.Post([this] { traffic_.OnPause(); });
  }
  void OnPeerConnected(const hello_message& peer) {
    control_thread_.Post([this, peer] { control_.OnPeerConnected(peer); });
    thread_.Post([this, peer] { traffic_.OnPeerConnected(peer); });
  }
  void OnPeerLost(const vm_id& peer) {
    control_thread_.Post([this, peer] { control_.OnPeerLost(peer); });
    thread_.Post([this, peer] { traffic_.OnPeerLost(peer); });
  }
  void OnMessage(const vm_id& peer, link_message message) {
    if (agent_control::Handles(message)) {
      control_thread_.Post([this, peer, message = std::move(message)] {
        control_.OnMessage(peer, message);
      });
      return;
    }
    thread_.Post([this, peer, message = std::move(message)]() mutable {
      traffic_.OnMessage(peer, std::move(message));
    });
  }
  void Drain() { traffic_.Drain(); }
  std::size_t InProgress() const { return traffic_.in_progress(); }
  bool IsReady() const { return true; }
  nlohmann::json StatusFields() const { return control_.StatusFields(); }

 private:
  static agent_traffic::send_function MakeSendFunction(control_plane& control) {
    return [&control](const vm_id& peer, link_message message) {
      control.Send(peer, std::move(message));
    };
  }

  agent_control::callbacks MakeControlCallbacks(
      agent_traffic::send_function send) {
    return {
        std::move(send),
        [this](bool accepts, const model_version& version) {
          thread_.Post([this, accepts, version] {
            traffic_.SetModelAvailability(accepts, version);
          });
        },
        [this](std::function<void(std::size_t)> reply) {
          thread_.Post([this, reply = std::move(reply)] {
            reply(traffic_.running_model_requests());
          });
        },
        [this] { thread_.Post([this] { traffic_.OnUpstreamCrashed(); }); },
    };
  }

  io_thread& thread_;
  io_thread& control_thread_;
  agent_traffic traffic_;
  agent_control control_;
};

}  // namespace

int RunAgent(process_settings settings) {
  const shutdown_signal shutdown;
  daemon_host<agent_role> daemon(std::move(settings));
  return daemon.Run(shutdown);
}

}  // namespace fireflyslip
