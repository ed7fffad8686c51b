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
constexpr seconds kRedialInterval{1};
constexpr duration kFirstPlatformRetry = milliseconds(200);
constexpr duration kLongestPlatformRetry = seconds(5);
// Spread of the first reads, so that a restarted fleet does not read at once.
constexpr duration kStartSpread = milliseconds(500);
// A process that is no watcher reads the VM list this often, in case all
// watchers of its data centre failed unnoticed.
constexpr duration kMemberPollInterval = seconds(60);
// How often a process looks whether it has become a watcher.
constexpr duration kWatcherCheckInterval = seconds(1);
constexpr duration kMembersRequestTimeout = seconds(2);
// Of two seed peers of each other, the one with the lower name dials at once
// and the other after this time, because two links would replace each other.
constexpr duration kSeedDialDelay = seconds(2);
// Traffic messages need not all be reported to the control thread to show that
// a link is alive.
constexpr duration kHeardInterval = milliseconds(500);
// A pause is noticed within a quarter of its bound after it ended.
constexpr int kPauseTicksPerBound = 4;

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
  options.startup_jitter = kStartSpread;
  return options;
}

member_options MakeMemberOptions(const process_settings& settings) {
  member_options options;
  options.silence_timeout = settings.link_silence_timeout;
  return options;
}

// Different for each process and start, so that retries spread.
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
                   thread_.Post([this, peer] { dialling_.erase(peer); });
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
      process_.settings().pause_bound / kPauseTicksPerBound,
      [this] { ObservePause(); });
  timers_.SubscribePeriodic(process_.settings().heartbeat_interval,
                            [this] { SendHeartbeats(); });
  timers_.SubscribePeriodic(kRedialInterval, [this] { UpdateLinks(); });
  links_.Start();
  thread_.Post([this] {
    started_ = MonotonicNow();
    UseSeedPeers();
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
  heard_[peer.vm] = {peer.incarnation, MonotonicNow()};
  handlers_.on_peer_connected(peer);
  thread_.Post([this, peer] { OnConnected(peer); });
}

void control_plane::OnLinkLost(const vm_id& peer) {
  const incarnation_number incarnation = heard_[peer].incarnation;
  heard_.erase(peer);
  handlers_.on_peer_lost(peer);
  thread_.Post([this, peer, incarnation] { OnLost(peer, incarnation); });
}

void control_plane::Dispatch(const vm_id& peer, link_envelope envelope) {
  process_.Observe(envelope);
  ReportHeard(peer);
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

void control_plane::ReportHeard(const vm_id& peer) {
  heard_peer& heard = heard_[peer];
  const time_point now = MonotonicNow();
  if (now < heard.reported + kHeardInterval) {
    return;
  }
  heard.reported = now;
  const incarnation_number incarnation = heard.incarnation;
  thread_.Post([this, peer, incarnation] {
    // A link that was closed for its silence may still have messages queued.
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
  dialling_.erase(peer.vm);
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
  // The peer is dialled again at the next interval, not at once, because a
  // refused or replaced link would otherwise be dialled in a tight loop.
}

void control_plane::OnMessage(const vm_id& peer, const link_message& message) {
  if (const auto* heartbeat = std::get_if<heartbeat_message>(&message)) {
    OnHeartbeat(peer, *heartbeat);
  } else if (const auto* sent = std::get_if<configuration_message>(&message)) {
    // A malformed digest becomes one that does not match.
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
  // One request at a time, so that a change costs a process one list.
  if (heartbeat.members_revision > members_revision_ && !members_request_) {
    members_request_ = request_state{peer, now + kMembersRequestTimeout};
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
  UseMembers(message.revision, message.body);
}

void control_plane::ObservePause() {
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
    return;  // The relay publishes only what its validator accepted.
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
  // The hub reports the loss on the link thread; until then nothing is sent.
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
      FromSeconds(ToSeconds(kStartSpread) * random_.Fraction()));
  co_await timer.async_wait(asio::use_awaitable);
  duration retry = kFirstPlatformRetry;
  while (true) {
    const bool watches = members_revision_ > 0 && relay_.core().IsWatcher();
    const duration wait =
        watches ? duration(process_.settings().platform_watch_wait)
                : duration(0);
    auto call = platform_.WatchVms(members_revision_, wait);
    const auto read = co_await std::move(call);
    OnPlatformReached(IsOk(read));
    if (!IsOk(read)) {
      timer.expires_after(
          FromSeconds(ToSeconds(retry) * (0.5 + random_.Fraction() / 2)));
      co_await timer.async_wait(asio::use_awaitable);
      retry = std::min(2 * retry, kLongestPlatformRetry);
      continue;
    }
    retry = kFirstPlatformRetry;
    if (const std::optional<platform_object>& list = ValueOf(read)) {
      UseMembers(list->version, list->body);
    }
    const time_point limit =
        MonotonicNow() + FromSeconds(ToSeconds(kMemberPollInterval) *
                                     (0.5 + random_.Fraction() / 2));
    auto pause = WaitForMemberPoll(limit);
    co_await std::move(pause);
  }
}

awaitable<void> control_plane::WaitForMemberPoll(time_point limit) {
  asio::steady_timer timer(thread_.context());
  if (members_revision_ > 0 && relay_.core().IsWatcher()) {
    // Bounds the calls if the platform answers watches at once.
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

void control_plane::UseMembers(std::uint64_t revision,
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
    former_[vm] = std::move(member);
  }
  members_ = ValueOf(std::move(parsed));
  members_revision_ = revision;
  members_body_ = body;
  member_event::vm_list list{revision, {}};
  for (const auto& [vm, member] : members_) {
    former_.erase(vm);
    list.entries.push_back({vm, member.data_centre, member.role,
                            ToText(member.link), ToText(member.admin),
                            member.leaving});
  }
  table_.Handle(std::move(list));
  std::erase_if(former_, [this](const auto& item) {
    const member* known = table_.core().Find(item.first);
    return known == nullptr || known->state == member_state::kGone;
  });
  SendHeartbeats();
  OnMembersUpdated();
}

void control_plane::UseSeedPeers() {
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
  // Changes that come together are published together, since each snapshot
  // copies the configuration.
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
  for (const auto& [vm, member] : former_) {
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
  wanted_ = SelectLinks(self_, members_, configuration_);
  UpdateLinks();
}

void control_plane::UpdateLinks() {
  std::set<vm_id> wanted = wanted_;
  if (members_revision_ == 0) {
    // Seed peers may not know this process, so that it dials all of them.
    const bool waited =
        started_ && MonotonicNow() >= *started_ + kSeedDialDelay;
    for (const auto& [vm, member] : members_) {
      if (vm != self_.vm && (waited || self_.vm < vm)) {
        wanted.insert(vm);
      }
    }
  }
  for (const vm_id& vm : wanted) {
    if (!connected_.contains(vm) && dialling_.insert(vm).second) {
      const http_endpoint& link = members_.at(vm).link;
      links_.Connect(vm, link.address, link.port);
    }
  }
}

}  // namespace fireflyslip
