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

/// \brief Accepts the configurations that `ParseConfiguration()` accepts.
struct configuration_checker {
  status operator()(std::string_view body) const;
};

/// \brief The control thread of a daemon: configuration, members and links.
class control_plane {
 public:
  /// \brief `on_snapshot` and `on_pause` are called on the control thread, the
  /// others on the link thread, so that traffic never waits for control state.
  struct callbacks {
    std::function<void(snapshot_pointer snapshot)> on_snapshot;
    std::function<void(const hello_message& peer)> on_peer_connected;
    std::function<void(const vm_id& peer)> on_peer_lost;
    /// Messages that the control plane does not handle itself, and leaving
    /// notices.
    std::function<void(const vm_id& peer, link_message message)> on_message;
    /// The process did not run for longer than its pause bound, so leases that
    /// it held may have expired. May be empty.
    std::function<void()> on_pause;
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
  using relay = configuration_relay<configuration_checker>;
  struct request_state {
    vm_id peer;
    time_point deadline;
  };
  struct heard_peer {
    incarnation_number incarnation = 0;
    time_point reported;
  };

  // On the link thread.
  void OnLinkOpened(const hello_message& peer);
  void OnLinkLost(const vm_id& peer);
  void Dispatch(const vm_id& peer, link_envelope envelope);
  void ReportHeard(const vm_id& peer);

  // On the control thread.
  void OnConnected(const hello_message& peer);
  void OnLost(const vm_id& peer, incarnation_number incarnation);
  void OnMessage(const vm_id& peer, const link_message& message);
  void OnHeartbeat(const vm_id& peer, const heartbeat_message& heartbeat);
  void OnMembersMessage(const vm_id& peer, const members_message& message);
  void ObservePause();
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

  void UseMembers(std::uint64_t revision, const std::string& body);
  void UseSeedPeers();
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
  std::uint64_t revision_ = 0;  // of `configuration_`
  fireflyslip::configuration configuration_;
  std::uint64_t members_revision_ = 0;
  std::string members_body_;
  fleet_members members_;  // of the list, or the seed peers
  fleet_members former_;   // dropped from the list
  std::optional<request_state> members_request_;
  std::optional<time_point> started_;
  std::set<vm_id> wanted_;  // links that this process opens
  bool publish_scheduled_ = false;
  bool leaving_ = false;
  std::set<vm_id> connected_;
  std::set<vm_id> dialling_;
  std::map<vm_id, heard_peer> heard_;  // link thread only
  link_hub links_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_CONTROL_PLANE_H_
