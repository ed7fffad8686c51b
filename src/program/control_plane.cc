#include "program/control_plane.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace fireflyslip {
namespace {

namespace asio = boost::asio;
using asio::awaitable;

constexpr char kConfigurationKey[] = "configuration";
constexpr seconds kRedialInterval{1};
constexpr milliseconds kPlatformRetryDelay{500};

http_endpoint ToEndpoint(const endpoint& settings) {
  return {settings.address, settings.port};
}

hello_message MakeHello(const process_context& process) {
  const process_settings& settings = process.settings();
  return {settings.vm, settings.data_centre,
          std::string(ToString(settings.role)), process.incarnation(),
          settings.shared_key};
}

}  // namespace

control_plane::control_plane(process_context& process, callbacks handlers)
    : process_(process),
      handlers_(std::move(handlers)),
      timers_(thread_.context()),
      platform_(thread_.context(), ToEndpoint(process.settings().platform)),
      links_(MakeHello(process),
             {
                 [this](const hello_message& peer) {
                   handlers_.on_peer_connected(peer);
                   thread_.Post([this, peer] { OnConnected(peer); });
                 },
                 [this](const vm_id& peer, link_envelope envelope) {
                   Dispatch(peer, std::move(envelope));
                 },
                 [this](const vm_id& peer) {
                   handlers_.on_peer_lost(peer);
                   thread_.Post([this, peer] { OnLost(peer); });
                 },
                 [this](const vm_id& peer) {
                   thread_.Post([this, peer] { dialling_.erase(peer); });
                 },
                 [this](link_message message) {
                   return process_.Stamp(std::move(message));
                 },
             }) {}

control_plane::~control_plane() {
  Stop();
}

status control_plane::Start() {
  const endpoint& link = process_.settings().link;
  const auto port = links_.Listen(link.address, link.port);
  if (!IsOk(port)) {
    return ErrorOf(port);
  }
  asio::co_spawn(thread_.context(), WatchConfiguration(), asio::detached);
  asio::co_spawn(thread_.context(), WatchMembers(), asio::detached);
  timers_.SubscribePeriodic(process_.settings().heartbeat_interval,
                            [this] { SendHeartbeats(); });
  timers_.SubscribePeriodic(kRedialInterval, [this] { UpdateLinks(); });
  links_.Start();
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
    for (const vm_id& peer : connected_) {
      Send(peer, leaving_message{process_.settings().vm});
    }
  });
}

awaitable<void> control_plane::WatchConfiguration() {
  asio::steady_timer pause(thread_.context());
  while (true) {
    const auto read = co_await platform_.Watch(
        kConfigurationKey, revision_, process_.settings().platform_watch_wait);
    if (!IsOk(read)) {
      pause.expires_after(kPlatformRetryDelay);
      co_await pause.async_wait(asio::use_awaitable);
      continue;
    }
    const auto& object = ValueOf(read);
    if (!object || object->version <= revision_) {
      continue;
    }
    revision_ = object->version;
    result<configuration> parsed = ParseConfiguration(object->body);
    if (!IsOk(parsed)) {
      process_.Record(event_kind::kConfigurationRejected,
                      {{"detail", ErrorOf(parsed).detail}});
      continue;
    }
    configuration_ = ValueOf(std::move(parsed));
    process_.Record(event_kind::kConfigurationPublished,
                    {{"revision", std::to_string(revision_)}});
    Publish();
  }
}

awaitable<void> control_plane::WatchMembers() {
  asio::steady_timer pause(thread_.context());
  while (true) {
    const auto read = co_await platform_.WatchVms(
        members_revision_, process_.settings().platform_watch_wait);
    if (!IsOk(read)) {
      pause.expires_after(kPlatformRetryDelay);
      co_await pause.async_wait(asio::use_awaitable);
      continue;
    }
    const auto& list = ValueOf(read);
    if (!list || list->version <= members_revision_) {
      continue;
    }
    members_revision_ = list->version;
    result<fleet_members> parsed = ParseVmList(list->body);
    if (IsOk(parsed)) {
      members_ = ValueOf(std::move(parsed));
      UpdateLinks();
      Publish();
    }
  }
}

void control_plane::Publish() {
  auto snapshot = std::make_shared<fleet_snapshot>();
  snapshot->revision = revision_;
  snapshot->configuration = configuration_;
  snapshot->members = members_;
  handlers_.on_snapshot(std::move(snapshot));
}

void control_plane::UpdateLinks() {
  for (const auto& [vm, member] : members_) {
    if (ShouldDial(member) && !connected_.contains(vm) &&
        dialling_.insert(vm).second) {
      links_.Connect(vm, member.link.address, member.link.port);
    }
  }
}

bool control_plane::ShouldDial(const fleet_member& member) const {
  const process_settings& self = process_.settings();
  if (member.vm == self.vm || member.leaving) {
    return false;
  }
  if (self.role == member.role) {
    // Of two equal processes only one dials, so that they share one link.
    return self.vm < member.vm;
  }
  return self.role == process_role::kEntry;
}

void control_plane::SendHeartbeats() {
  ++heartbeat_sequence_;
  for (const vm_id& peer : connected_) {
    Send(peer,
         heartbeat_message{heartbeat_sequence_, revision_, members_revision_});
  }
}

void control_plane::OnConnected(const hello_message& peer) {
  dialling_.erase(peer.vm);
  connected_.insert(peer.vm);
  process_.Record(event_kind::kLinkOpened, {{"peer", peer.vm.value()}});
}

void control_plane::OnLost(const vm_id& peer) {
  connected_.erase(peer);
  process_.Record(event_kind::kLinkClosed, {{"peer", peer.value()}});
}

void control_plane::Dispatch(const vm_id& peer, link_envelope envelope) {
  process_.Observe(envelope);
  if (const auto* heartbeat =
          std::get_if<heartbeat_message>(&envelope.message)) {
    thread_.Post(
        [this, peer, heartbeat = *heartbeat] { OnHeartbeat(peer, heartbeat); });
    return;
  }
  handlers_.on_message(peer, std::move(envelope.message));
}

void control_plane::OnHeartbeat(const vm_id& /*peer*/,
                                const heartbeat_message& /*heartbeat*/) {}

}  // namespace fireflyslip
