#ifndef FIREFLYSLIP_PROGRAM_CONTROL_PLANE_H_
#define FIREFLYSLIP_PROGRAM_CONTROL_PLANE_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>

#include "fireflyslip/link.h"
#include "fireflyslip/platform.h"
#include "fireflyslip/runtime.h"
#include "program/fleet_snapshot.h"
#include "program/process_context.h"

namespace fireflyslip {

/// \brief The control thread of a daemon: configuration, members and links.
class control_plane {
 public:
  /// \brief `on_snapshot` is called on the control thread, the others on the
  /// link thread, so that traffic never waits for control state.
  struct callbacks {
    std::function<void(snapshot_pointer snapshot)> on_snapshot;
    std::function<void(const hello_message& peer)> on_peer_connected;
    std::function<void(const vm_id& peer)> on_peer_lost;
    /// Messages that the control plane does not handle itself.
    std::function<void(const vm_id& peer, link_message message)> on_message;
  };

  control_plane(process_context& process, callbacks handlers);
  ~control_plane();

  /// \brief Starts the links and the control thread.
  status Start();
  void Stop();

  io_thread& thread() { return thread_; }
  timer_service& timers() { return timers_; }

  /// \brief May be called on any thread.
  void Send(const vm_id& peer, link_message message);

  /// \brief Tells all peers that this process leaves. Any thread.
  void AnnounceLeaving();

 private:
  boost::asio::awaitable<void> WatchConfiguration();
  boost::asio::awaitable<void> WatchMembers();
  void Publish();
  void UpdateLinks();
  bool ShouldDial(const fleet_member& member) const;
  void SendHeartbeats();
  void OnConnected(const hello_message& peer);
  void OnLost(const vm_id& peer);
  void Dispatch(const vm_id& peer, link_envelope envelope);
  void OnHeartbeat(const vm_id& peer, const heartbeat_message& heartbeat);

  process_context& process_;
  callbacks handlers_;
  io_thread thread_;
  timer_service timers_;
  object_client platform_;
  std::uint64_t revision_ = 0;
  std::uint64_t members_revision_ = 0;
  std::uint64_t heartbeat_sequence_ = 0;
  fireflyslip::configuration configuration_;
  fleet_members members_;
  std::set<vm_id> connected_;
  std::set<vm_id> dialling_;
  link_hub links_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_CONTROL_PLANE_H_
