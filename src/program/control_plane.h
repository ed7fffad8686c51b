#ifndef FIREFLYSLIP_PROGRAM_CONTROL_PLANE_H_
#define FIREFLYSLIP_PROGRAM_CONTROL_PLANE_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "fireflyslip/configuration.h"
#include "fireflyslip/link.h"
#include "fireflyslip/membership.h"
#include "fireflyslip/platform.h"
#include "fireflyslip/runtime.h"
#include "program/fleet_snapshot.h"
#include "program/process_context.h"

namespace fireflyslip {

/// \brief Validator that accepts a configuration if `ParseConfiguration()`
/// does.
struct configuration_checker {
  status operator()(std::string_view body) const;
};

/// \brief Maintains the configuration, the member list and the links of a
/// daemon on its control thread.
class control_plane {
 public:
  /// \brief `on_snapshot` and `on_pause` are called on the control thread. The
  /// others are called on the link thread, so that traffic never waits for work
  /// of the control thread.
  struct callbacks {
    std::function<void(snapshot_pointer snapshot)> on_snapshot;
    std::function<void(const hello_message& peer)> on_peer_connected;
    std::function<void(const vm_id& peer)> on_peer_lost;
    /// Receives leaving notices and all messages that the control plane does
    /// not handle itself.
    std::function<void(const vm_id& peer, link_message message)> on_message;
    /// Called after the process was suspended for longer than its pause bound,
    /// so that its leases may have expired. May be empty.
    std::function<void()> on_pause;
  };

  control_plane(process_context& process, callbacks handlers);
  ~control_plane();

  /// \brief Starts the links and the control thread. Fails if the link port
  /// cannot be opened.
  status Start();
  void Stop();

  io_thread& thread() { return thread_; }
  timer_service& timers() { return timers_; }

  /// \brief May be called on any thread.
  void Send(const vm_id& peer, link_message message);

  /// \brief Notifies all peers that this process leaves the fleet. May be
  /// called on any thread.
  void AnnounceLeaving();

 private:
  using relay = configuration_relay<configuration_checker>;
  struct pending_request {
    vm_id peer;
    time_point deadline;
  };
  struct peer_activity {
    incarnation_number incarnation = 0;
    time_point last_reported;
  };

  // Called on the link thread.
  void OnLinkOpened(const hello_message& peer);
  void OnLinkLost(const vm_id& peer);
  void Dispatch(const vm_id& peer, link_envelope envelope);
  void ReportPeerActivity(const vm_id& peer);

  // Called on the control thread.
  void OnConnected(const hello_message& peer);
  void OnLost(const vm_id& peer, incarnation_number incarnation);
  void OnMessage(const vm_id& peer, const link_message& message);
  void OnHeartbeat(const vm_id& peer, const heartbeat_message& heartbeat);
  void OnMembersMessage(const vm_id& peer, const members_message& message);
  void CheckForPause();
  void SendHeartbeats();
  void SendHeartbeat(const vm_id& peer);

  void Apply(const relay::action& action);
  void On(const relay_action::read_platform& action);
  void On(const relay_action::watch_platform& action);
  void On(const relay_action::send_configuration& action);
  void On(const relay_action::request_configuration& action);
  void On(const relay_action::publish& action);
  void On(const relay_action::report_rejected& action);
  void On(const member_action::member_changed& action);
  void On(const member_action::close_link& action);

  boost::asio::awaitable<void> ReadConfiguration();
  boost::asio::awaitable<void> WatchConfiguration(std::uint64_t since,
                                                  duration wait);
  void OnConfigurationRead(const result<std::optional<platform_object>>& read);
  boost::asio::awaitable<void> WatchMembers();
  boost::asio::awaitable<void> WaitForMemberPoll(time_point limit);
  void OnPlatformReached(bool reached);

  void UpdateMembers(std::uint64_t revision, const std::string& body);
  void AddSeedPeers();
  void OnMembersUpdated();
  void SchedulePublish();
  void Publish();
  void SelectPeers();
  void UpdateLinks();

  process_context& process_;
  callbacks handlers_;
  fleet_member self_;
  io_thread thread_;
  timer_service timers_;
  object_client platform_;
  random_source random_;
  core_driver<relay> relay_;
  core_driver<member_table> table_;
  pause_detector pause_;
  bool platform_reached_ = true;
  std::uint64_t heartbeat_sequence_ = 0;
  std::uint64_t revision_ = 0;  // Revision of `configuration_`.
  fireflyslip::configuration configuration_;
  std::uint64_t members_revision_ = 0;
  std::string members_body_;
  fleet_members members_;  // From the VM list; the seed peers until it is read.
  fleet_members
      removed_members_;  // Members that were removed from the VM list.
  std::optional<pending_request> members_request_;
  std::optional<time_point> started_;
  std::set<vm_id> selected_links_;  // Peers to which this process opens links.
  bool publish_scheduled_ = false;
  bool leaving_ = false;
  std::set<vm_id> connected_;
  std::set<vm_id> connecting_;
  std::map<vm_id, peer_activity>
      peer_activity_;  // Used on the link thread only.
  link_hub links_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_CONTROL_PLANE_H_
