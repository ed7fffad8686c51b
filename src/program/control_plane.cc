#include "program/control_plane.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>
#include <vector>

#include "program/link_selection.h"

namespace fireflyslip {
namespace {

namespace asio = boost::asio;
using asio::awaitable;

constexpr char kConfigurationKey[] = "configuration";
constexpr seconds kReconnectInterval{1};
constexpr duration kInitialPlatformRetryDelay = milliseconds(200);
constexpr duration kMaxPlatformRetryDelay = seconds(5);
// Upper bound of the random delay before the first read, so that a restarted
// fleet does not send all reads at the same time.
constexpr duration kMaxStartupJitter = milliseconds(500);
// Interval at which a process that is not a watcher reads the VM list, in case
// all watchers of its data centre failed without being detected.
constexpr duration kMemberPollInterval = seconds(60);
// Interval at which a process checks whether it has become a watcher.
constexpr duration kWatcherCheckInterval = seconds(1);
constexpr duration kMembersRequestTimeout = seconds(2);
// If two processes are seed peers of each other, the one with the lower name
// connects at once and the other after this delay, because two links between
// the same processes would replace each other.
constexpr duration kSeedConnectDelay = seconds(2);
// Minimum interval between reports of a peer's activity to the control thread;
// reporting every traffic message is not needed to show that a link is alive.
constexpr duration kActivityReportInterval = milliseconds(500);
// A pause is detected within a quarter of the pause bound after it ended.
constexpr int kPauseChecksPerBound = 4;

http_endpoint ToEndpoint(const endpoint& settings) {
  return {settings.address, settings.port};
}

std::string ToText(const http_endpoint& endpoint) {
  return endpoint.address + ":" + std::to_string(endpoint.port);
}

hello_message MakeHello(const process_context& process) {
  const process_settings& settings = process.settings();
  return {settings.vm, settings.data_centre,
          std::string(ToString(settings.role)), process.incarnation(),
          settings.shared_key};
}

link_hub::tls_files MakeTlsFiles(const tls_settings& tls) {
  return {tls.certificate_file, tls.key_file, tls.authority_file};
}

fleet_member MakeSelf(const process_settings& settings) {
  fleet_member self;
  self.vm = settings.vm;
  self.data_centre = settings.data_centre;
  self.region = settings.region;
  self.role = settings.role;
  self.link = ToEndpoint(settings.link);
  self.admin = ToEndpoint(settings.admin);
  return self;
}

relay_options MakeRelayOptions(const process_settings& settings) {
  relay_options options;
  options.watch_wait = settings.platform_watch_wait;
  options.startup_jitter = kMaxStartupJitter;
  return options;
}

member_options MakeMemberOptions(const process_settings& settings) {
  member_options options;
  options.silence_timeout = settings.link_silence_timeout;
  return options;
}

// The seed differs for each process and each start, so that retries of
// different processes do not coincide.
std::uint64_t MakeSeed(const process_context& process) {
  return RendezvousScore(process.settings().vm.value(),
                         std::to_string(process.incarnation()));
}

}  // namespace

status configuration_checker::operator()(std::string_view body) const {
  const result<configuration> parsed = ParseConfiguration(body);
  if (!IsOk(parsed)) {
    return ErrorOf(parsed);
  }
  return std::monostate();
}

control_plane::control_plane(process_context& process, callbacks handlers)
    : process_(process),
      handlers_(std::move(handlers)),
      self_(MakeSelf(process.settings())),
      timers_(thread_.context()),
      platform_(thread_.context(), ToEndpoint(process.settings().platform)),
      random_(MakeSeed(process)),
      relay_(relay(MakeRelayOptions(process.settings()),
                   process.settings().vm,
                   process.settings().data_centre,
                   random_source(MakeSeed(process) + 1),
                   configuration_checker()),
             timers_,
             [this](const relay::action& action) { Apply(action); }),
      table_(member_table(MakeMemberOptions(process.settings())),
             timers_,
             [this](const member_table::action& action) {
               std::visit([this](const auto& step) { On(step); }, action);
             }),
      pause_(process.settings().pause_bound),
      links_(MakeHello(process),
             {
                 [this](const hello_message& peer) { OnLinkOpened(peer); },
                 [this](const vm_id& peer, link_envelope envelope) {
                   Dispatch(peer, std::move(envelope));
                 },
                 [this](const vm_id& peer) { OnLinkLost(peer); },
                 [this](const vm_id& peer) {
                   thread_.Post([this, peer] { connecting_.erase(peer); });
                 },
                 [this](link_message message) {
                   return process_.Stamp(std::move(message));
                 },
             },
             MakeTlsFiles(process.settings().tls)) {}

control_plane::~control_plane() {
  Stop();
}

status control_plane::Start() {
  const endpoint& link = process_.settings().link;
  const auto port = links_.Listen(link.address, link.port);
  if (!IsOk(port)) {
    return ErrorOf(port);
  }
  timers_.SubscribePeriodic(
      process_.settings().pause_bound / kPauseChecksPerBound,
      [this] { CheckForPause(); });
  timers_.SubscribePeriodic(process_.settings().heartbeat_interval,
                            [this] { SendHeartbeats(); });
  timers_.SubscribePeriodic(kReconnectInterval, [this] { UpdateLinks(); });
  links_.Start();
  thread_.Post([this] {
    started_ = MonotonicNow();
    AddSeedPeers();
    relay_.Handle(relay_event::started{});
    asio::co_spawn(thread_.context(), WatchMembers(), asio::detached);
  });
  thread_.Start();
  return std::monostate();
}

void control_plane::Stop() {
  links_.Stop();
  thread_.Stop();
}

void control_plane::Send(const vm_id& peer, link_message message) {
  links_.Send(peer, std::move(message));
}

void control_plane::AnnounceLeaving() {
  thread_.Post([this] {
    leaving_ = true;
    for (const vm_id& peer : connected_) {
      Send(peer, leaving_message{self_.vm});
    }
  });
}

void control_plane::OnLinkOpened(const hello_message& peer) {
  peer_activity_[peer.vm] = {peer.incarnation, MonotonicNow()};
  handlers_.on_peer_connected(peer);
  thread_.Post([this, peer] { OnConnected(peer); });
}

void control_plane::OnLinkLost(const vm_id& peer) {
  const incarnation_number incarnation = peer_activity_[peer].incarnation;
  peer_activity_.erase(peer);
  handlers_.on_peer_lost(peer);
  thread_.Post([this, peer, incarnation] { OnLost(peer, incarnation); });
}

void control_plane::Dispatch(const vm_id& peer, link_envelope envelope) {
  process_.Observe(envelope);
  ReportPeerActivity(peer);
  link_message& message = envelope.message;
  const bool is_leaving = std::holds_alternative<leaving_message>(message);
  if (is_leaving || std::holds_alternative<heartbeat_message>(message) ||
      std::holds_alternative<configuration_message>(message) ||
      std::holds_alternative<configuration_request_message>(message) ||
      std::holds_alternative<members_message>(message)) {
    thread_.Post([this, peer, message] { OnMessage(peer, message); });
    if (!is_leaving) {
      return;
    }
  }
  handlers_.on_message(peer, std::move(message));
}

void control_plane::ReportPeerActivity(const vm_id& peer) {
  peer_activity& activity = peer_activity_[peer];
  const time_point now = MonotonicNow();
  if (now < activity.last_reported + kActivityReportInterval) {
    return;
  }
  activity.last_reported = now;
  const incarnation_number incarnation = activity.incarnation;
  thread_.Post([this, peer, incarnation] {
    // Messages may still be queued from a link that was closed by the silence
    // timeout.
    if (connected_.contains(peer)) {
      table_.Handle(member_event::heartbeat{peer, incarnation});
    }
  });
}

void control_plane::OnConnected(const hello_message& peer) {
  const auto role = ParseProcessRole(peer.role);
  if (!role) {
    links_.Close(peer.vm);
    return;
  }
  connecting_.erase(peer.vm);
  connected_.insert(peer.vm);
  process_.Record(event_kind::kLinkOpened, {{"peer", peer.vm.value()}});
  table_.Handle(member_event::connected{peer.vm, peer.data_centre, *role,
                                        peer.incarnation});
  relay_.Handle(relay_event::peer_connected{peer.vm, peer.data_centre, 0});
  SendHeartbeat(peer.vm);
  if (leaving_) {
    Send(peer.vm, leaving_message{self_.vm});
  }
}

void control_plane::OnLost(const vm_id& peer, incarnation_number incarnation) {
  connected_.erase(peer);
  if (members_request_ && members_request_->peer == peer) {
    members_request_.reset();
  }
  process_.Record(event_kind::kLinkClosed, {{"peer", peer.value()}});
  table_.Handle(member_event::link_lost{peer, incarnation});
  relay_.Handle(relay_event::peer_lost{peer});
  // The link is reopened at the next reconnect interval and not at once,
  // because a refused or replaced link would otherwise be reopened in a tight
  // loop.
}

void control_plane::OnMessage(const vm_id& peer, const link_message& message) {
  if (const auto* heartbeat = std::get_if<heartbeat_message>(&message)) {
    OnHeartbeat(peer, *heartbeat);
  } else if (const auto* sent = std::get_if<configuration_message>(&message)) {
    // A malformed digest is replaced by an empty one, which does not match the
    // body.
    const digest claimed =
        digest::FromHex(sent->body_digest).value_or(digest());
    relay_.Handle(relay_event::peer_configuration{peer, sent->revision,
                                                  sent->body, claimed});
  } else if (const auto* request =
                 std::get_if<configuration_request_message>(&message)) {
    relay_.Handle(relay_event::peer_request{peer, request->known_revision});
  } else if (const auto* members = std::get_if<members_message>(&message)) {
    OnMembersMessage(peer, *members);
  } else if (std::holds_alternative<leaving_message>(message)) {
    const member* known = table_.core().Find(peer);
    table_.Handle(member_event::leaving_notice{
        peer, known == nullptr ? 0 : known->incarnation});
  }
}

void control_plane::OnHeartbeat(const vm_id& peer,
                                const heartbeat_message& heartbeat) {
  relay_.Handle(
      relay_event::peer_heartbeat{peer, heartbeat.configuration_revision});
  const time_point now = MonotonicNow();
  if (members_request_ && now >= members_request_->deadline) {
    members_request_.reset();
  }
  // Only one request is outstanding at a time, so that a process receives the
  // list once for each change.
  if (heartbeat.members_revision > members_revision_ && !members_request_) {
    members_request_ = pending_request{peer, now + kMembersRequestTimeout};
    Send(peer, members_message{members_revision_, ""});
  }
}

void control_plane::OnMembersMessage(const vm_id& peer,
                                     const members_message& message) {
  if (message.body.empty()) {
    if (members_revision_ > message.revision) {
      Send(peer, members_message{members_revision_, members_body_});
    }
    return;
  }
  if (members_request_ && members_request_->peer == peer) {
    members_request_.reset();
  }
  UpdateMembers(message.revision, message.body);
}

void control_plane::CheckForPause() {
  const std::optional<duration> gap = pause_.Observe(MonotonicNow());
  if (!gap) {
    return;
  }
  const auto gap_ms = std::chrono::duration_cast<milliseconds>(*gap).count();
  process_.Record(event_kind::kProcessPaused,
                  {{"gap_ms", std::to_string(gap_ms)}});
  if (handlers_.on_pause) {
    handlers_.on_pause();
  }
}

void control_plane::SendHeartbeats() {
  for (const vm_id& peer : connected_) {
    SendHeartbeat(peer);
  }
}

void control_plane::SendHeartbeat(const vm_id& peer) {
  ++heartbeat_sequence_;
  Send(peer, heartbeat_message{heartbeat_sequence_, relay_.core().revision(),
                               members_revision_});
}

void control_plane::Apply(const relay::action& action) {
  std::visit([this](const auto& step) { On(step); }, action);
}

void control_plane::On(const relay_action::read_platform& /*action*/) {
  asio::co_spawn(thread_.context(), ReadConfiguration(), asio::detached);
}

void control_plane::On(const relay_action::watch_platform& action) {
  asio::co_spawn(thread_.context(),
                 WatchConfiguration(action.since, action.wait), asio::detached);
}

void control_plane::On(const relay_action::send_configuration& action) {
  Send(action.vm, configuration_message{action.revision, action.body,
                                        action.body_digest.ToHex()});
}

void control_plane::On(const relay_action::request_configuration& action) {
  Send(action.vm, configuration_request_message{action.known_revision});
}

void control_plane::On(const relay_action::publish& action) {
  result<configuration> parsed = ParseConfiguration(action.body);
  if (!IsOk(parsed)) {
    return;  // Unreachable: the relay publishes validated configurations only.
  }
  revision_ = action.revision;
  configuration_ = ValueOf(std::move(parsed));
  process_.Record(event_kind::kConfigurationPublished,
                  {{"revision", std::to_string(revision_)}});
  Publish();
  SendHeartbeats();
  SelectPeers();
}

void control_plane::On(const relay_action::report_rejected& action) {
  process_.Record(event_kind::kConfigurationRejected,
                  {{"revision", std::to_string(action.revision)},
                   {"from", action.vm ? action.vm->value() : "platform"},
                   {"detail", action.reason}});
}

void control_plane::On(const member_action::member_changed& action) {
  process_.Record(event_kind::kMemberChanged,
                  {{"member", action.value.vm.value()},
                   {"state", std::string(ToString(action.value.state))}});
  SchedulePublish();
}

void control_plane::On(const member_action::close_link& action) {
  // The hub reports the loss on the link thread later. The peer is removed
  // here, so that nothing is sent to it until then.
  connected_.erase(action.vm);
  links_.Close(action.vm);
}

awaitable<void> control_plane::ReadConfiguration() {
  OnConfigurationRead(co_await platform_.Get(std::string(kConfigurationKey)));
}

awaitable<void> control_plane::WatchConfiguration(std::uint64_t since,
                                                  duration wait) {
  OnConfigurationRead(
      co_await platform_.Watch(std::string(kConfigurationKey), since, wait));
}

void control_plane::OnConfigurationRead(
    const result<std::optional<platform_object>>& read) {
  OnPlatformReached(IsOk(read));
  if (!IsOk(read)) {
    relay_.Handle(relay_event::platform_failed{});
    return;
  }
  const std::optional<platform_object>& object = ValueOf(read);
  if (!object) {
    relay_.Handle(relay_event::watch_returned{});
    return;
  }
  relay_.Handle(relay_event::platform_answered{object->version, object->body});
}

awaitable<void> control_plane::WatchMembers() {
  asio::steady_timer timer(thread_.context());
  timer.expires_after(
      FromSeconds(ToSeconds(kMaxStartupJitter) * random_.Fraction()));
  co_await timer.async_wait(asio::use_awaitable);
  duration retry_delay = kInitialPlatformRetryDelay;
  while (true) {
    const bool is_watcher = members_revision_ > 0 && relay_.core().IsWatcher();
    const duration wait =
        is_watcher ? duration(process_.settings().platform_watch_wait)
                   : duration(0);
    auto call = platform_.WatchVms(members_revision_, wait);
    const auto read = co_await std::move(call);
    OnPlatformReached(IsOk(read));
    if (!IsOk(read)) {
      timer.expires_after(
          FromSeconds(ToSeconds(retry_delay) * (0.5 + random_.Fraction() / 2)));
      co_await timer.async_wait(asio::use_awaitable);
      retry_delay = std::min(2 * retry_delay, kMaxPlatformRetryDelay);
      continue;
    }
    retry_delay = kInitialPlatformRetryDelay;
    if (const std::optional<platform_object>& list = ValueOf(read)) {
      UpdateMembers(list->version, list->body);
    }
    const time_point limit =
        MonotonicNow() + FromSeconds(ToSeconds(kMemberPollInterval) *
                                     (0.5 + random_.Fraction() / 2));
    auto poll_wait = WaitForMemberPoll(limit);
    co_await std::move(poll_wait);
  }
}

awaitable<void> control_plane::WaitForMemberPoll(time_point limit) {
  asio::steady_timer timer(thread_.context());
  if (members_revision_ > 0 && relay_.core().IsWatcher()) {
    // Limits the rate of calls if the platform answers watches without waiting.
    timer.expires_after(milliseconds(100));
    co_await timer.async_wait(asio::use_awaitable);
    co_return;
  }
  do {
    timer.expires_after(kWatcherCheckInterval);
    co_await timer.async_wait(asio::use_awaitable);
  } while (MonotonicNow() < limit && !relay_.core().IsWatcher());
}

void control_plane::OnPlatformReached(bool reached) {
  if (reached != platform_reached_) {
    platform_reached_ = reached;
    process_.Record(reached ? event_kind::kPlatformReached
                            : event_kind::kPlatformLost);
  }
}

void control_plane::UpdateMembers(std::uint64_t revision,
                                  const std::string& body) {
  if (revision <= members_revision_) {
    return;
  }
  result<fleet_members> parsed = ParseVmList(body);
  if (!IsOk(parsed)) {
    LogLine("kind=vm_list_rejected detail=\"" + ErrorOf(parsed).detail + "\"");
    return;
  }
  for (auto& [vm, member] : members_) {
    removed_members_[vm] = std::move(member);
  }
  members_ = ValueOf(std::move(parsed));
  members_revision_ = revision;
  members_body_ = body;
  member_event::vm_list list{revision, {}};
  for (const auto& [vm, member] : members_) {
    removed_members_.erase(vm);
    list.entries.push_back({vm, member.data_centre, member.role,
                            ToText(member.link), ToText(member.admin),
                            member.leaving});
  }
  table_.Handle(std::move(list));
  std::erase_if(removed_members_, [this](const auto& item) {
    const member* known = table_.core().Find(item.first);
    return known == nullptr || known->state == member_state::kGone;
  });
  SendHeartbeats();
  OnMembersUpdated();
}

void control_plane::AddSeedPeers() {
  for (const seed_peer& peer : process_.settings().peers) {
    fleet_member member;
    member.vm = peer.vm;
    member.data_centre = peer.data_centre;
    member.role = peer.role;
    member.link = ToEndpoint(peer.link);
    member.admin = ToEndpoint(peer.admin);
    members_[peer.vm] = std::move(member);
  }
  OnMembersUpdated();
}

void control_plane::OnMembersUpdated() {
  SchedulePublish();
  SelectPeers();
}

void control_plane::SchedulePublish() {
  // Changes in quick succession are published as one snapshot, because each
  // snapshot copies the configuration.
  if (!publish_scheduled_) {
    publish_scheduled_ = true;
    thread_.Post([this] {
      publish_scheduled_ = false;
      Publish();
    });
  }
}

void control_plane::Publish() {
  auto snapshot = std::make_shared<fleet_snapshot>();
  snapshot->revision = revision_;
  snapshot->configuration = configuration_;
  snapshot->members_revision = members_revision_;
  snapshot->members = members_;
  for (const auto& [vm, member] : removed_members_) {
    const fireflyslip::member* known = table_.core().Find(vm);
    if (known != nullptr && known->state == member_state::kLeaving) {
      snapshot->members.emplace(vm, member);
    }
  }
  relay_event::members_changed changed;
  for (auto& [vm, member] : snapshot->members) {
    const fireflyslip::member* known = table_.core().Find(vm);
    const member_state state =
        known == nullptr ? member_state::kJoining : known->state;
    member.leaving = member.leaving || state == member_state::kLeaving;
    member.eligible = state == member_state::kLive && !member.leaving;
    if (state == member_state::kJoining || state == member_state::kLive) {
      changed.members.push_back({vm, member.data_centre, member.role});
    }
  }
  relay_.Handle(std::move(changed));
  handlers_.on_snapshot(std::move(snapshot));
}

void control_plane::SelectPeers() {
  selected_links_ = SelectLinks(self_, members_, configuration_);
  UpdateLinks();
}

void control_plane::UpdateLinks() {
  std::set<vm_id> links_to_open = selected_links_;
  if (members_revision_ == 0) {
    // Seed peers may not know this process, so it opens links to all of them.
    const bool delay_passed =
        started_ && MonotonicNow() >= *started_ + kSeedConnectDelay;
    for (const auto& [vm, member] : members_) {
      if (vm != self_.vm && (delay_passed || self_.vm < vm)) {
        links_to_open.insert(vm);
      }
    }
  }
  for (const vm_id& vm : links_to_open) {
    if (!connected_.contains(vm) && connecting_.insert(vm).second) {
      const http_endpoint& link = members_.at(vm).link;
      links_.Connect(vm, link.address, link.port);
    }
  }
}

}  // namespace fireflyslip
