#ifndef FIREFLYSLIP_PROGRAM_AGENT_TRAFFIC_H_
#define FIREFLYSLIP_PROGRAM_AGENT_TRAFFIC_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>

#include "fireflyslip/http.h"
#include "fireflyslip/link.h"
#include "fireflyslip/runtime.h"
#include "program/fleet_snapshot.h"
#include "program/process_context.h"
#include "program/upstream_call.h"

namespace fireflyslip {

/// \brief The traffic thread of an agent: refuses duplicates, queues attempts,
/// writes booking claims and runs attempts on the upstream.
class agent_traffic {
 public:
  using send_function =
      std::function<void(const vm_id& peer, link_message message)>;

  agent_traffic(io_thread& thread,
                process_context& process,
                send_function send);

  void Start();
  void Drain();
  std::size_t in_progress() const { return running_.size(); }

  void OnSnapshot(snapshot_pointer snapshot) {
    snapshot_ = std::move(snapshot);
  }
  void OnPeerConnected(const hello_message& peer);
  void OnPeerLost(const vm_id& peer);
  void OnMessage(const vm_id& peer, link_message message);

 private:
  struct running_attempt {
    vm_id entry;
    attempt_message message;
    std::uint64_t parts = 0;
    std::unique_ptr<upstream_call> call;
  };

  void OnAttempt(const vm_id& entry, attempt_message message);
  boost::asio::awaitable<void> Run(attempt_id attempt);
  void SendLoad();

  io_thread& thread_;
  process_context& process_;
  send_function send_;
  timer_service timers_;
  http_client client_;
  snapshot_pointer snapshot_ = std::make_shared<fleet_snapshot>();
  std::set<vm_id> entries_;
  std::map<attempt_id, running_attempt> running_;
  bool draining_ = false;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_AGENT_TRAFFIC_H_
