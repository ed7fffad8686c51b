#include "node/relay_client.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <map>
#include <set>
#include <utility>

#include "fireflyslip/core/rendezvous.h"
#include "node/compression.h"
#include "node/configuration_message.h"
#include "platform/json_access.h"

namespace fireflyslip {
namespace {

using boost::asio::awaitable;

constexpr int kStatusOk = 200;
/// Relays are in the same data centre, but may be on a loaded VM.
constexpr milliseconds kConnectTimeout{300};
/// Timeout of a poll in addition to its hold time.
constexpr milliseconds kAnswerTimeout{400};
/// Timeout of the head and of each part of a content.
constexpr milliseconds kContentTimeout{800};
/// Timeout of the head of a whole configuration, which waits for the link.
constexpr seconds kWholeContentTimeout{3};
/// If these fail, the store is watched; more of them would only start more
/// watches.
constexpr std::size_t kMaxRelays = 3;
/// Relays in use of other data centres, which follow the store already.
constexpr std::size_t kMaxRemoteRelays = 2;

/// Longest response of a relay; its content is compressed.
constexpr std::size_t kMaxResponseBytes = 4UL << 20;

http_client_options ClientOptions() {
  http_client_options options;
  options.connect_timeout = kConnectTimeout;
  options.max_body_bytes = kMaxResponseBytes;
  return options;
}

}  // namespace

relay_client::relay_client(boost::asio::io_context& context,
                           data_centre_id data_centre,
                           std::uint16_t relay_port,
                           relay_policy policy,
                           handlers callbacks,
                           std::uint64_t seed)
    : context_(context),
      data_centre_(std::move(data_centre)),
      relay_port_(relay_port),
      handlers_(std::move(callbacks)),
      client_(context, ClientOptions()),
      timers_(context),
      selector_(
          relay_selector(policy, random_source(seed)),
          timers_,
          [this](const relay_selector::action& action) { Apply(action); }) {}

void relay_client::SetRelays(std::vector<std::string> addresses) {
  selector_.Handle(relay_selector::candidates_changed{std::move(addresses)});
}

void relay_client::Apply(const relay_selector::action& action) {
  std::visit(overloaded{
                 [&](const relay_selector::poll& order) {
                   boost::asio::co_spawn(context_, Poll(order),
                                         boost::asio::detached);
                 },
                 [&](const relay_selector::watch_store&) {
                   LogLine("event=catalog_source source=store");
                   handlers_.on_watch_store(true);
                 },
                 [&](const relay_selector::leave_store&) {
                   LogLine("event=catalog_source source=relay");
                   handlers_.on_watch_store(false);
                 },
             },
             action);
}

awaitable<void> relay_client::Poll(relay_selector::poll order) {
  relay_query query = handlers_.query();
  query.hold = order.hold;
  query.data_centre = data_centre_;
  http_request request;
  request.target = RelayTarget(query);
  const http_endpoint relay{order.address, relay_port_};
  const time_point sent = MonotonicNow();
  const auto response = co_await client_.Request(relay, std::move(request),
                                                 order.hold + kAnswerTimeout);
  relay_selector::polled polled{order.address, relay_poll_status::kFailed};
  if (IsOk(response) && ValueOf(response).status == kStatusOk) {
    const auto answer = DecodeRelayAnswer(ValueOf(response).body);
    if (answer && answer->fresh && !IsOfOlderEra(*answer, query)) {
      polled.status = relay_poll_status::kFresh;
      handlers_.on_answer(*answer, sent);
    } else if (answer) {
      polled.status = relay_poll_status::kStale;
    }
  }
  selector_.Handle(polled);
}

awaitable<result<http_response>> relay_client::Read(std::string target,
                                                    duration timeout) {
  const std::string relay = selector_.core().current();
  if (relay.empty()) {
    co_return error{error_kind::kNoUpstream, "no relay is in use"};
  }
  http_request request;
  request.target = std::move(target);
  const http_endpoint endpoint{relay, relay_port_};
  co_return co_await client_.Request(endpoint, std::move(request), timeout,
                                     kContentTimeout);
}

awaitable<result<upstream_changes>> relay_client::ReadUpstreams(
    store_position position) {
  relay_query query;
  query.upstreams = position;
  std::string target = RelayTarget(query);
  const auto response = co_await Read(std::move(target), kContentTimeout);
  if (!IsOk(response)) {
    co_return ErrorOf(response);
  }
  const auto answer = ValueOf(response).status == kStatusOk
                          ? DecodeRelayAnswer(ValueOf(response).body)
                          : std::nullopt;
  if (!answer || !answer->fresh || !answer->upstreams ||
      IsOfOlderEra(*answer, query)) {
    co_return error{error_kind::kNoUpstream, "the relay has no current view"};
  }
  co_return *answer->upstreams;
}

awaitable<result<versioned_content>> relay_client::ReadConfiguration(
    const versioned_content& known) {
  std::string target = ConfigurationChangesTarget(known.id);
  const auto response = co_await Read(
      std::move(target), known.id.version > 0 ? duration(kContentTimeout)
                                              : duration(kWholeContentTimeout));
  if (!IsOk(response)) {
    co_return ErrorOf(response);
  }
  const auto changes = ValueOf(response).status == kStatusOk
                           ? DecodeConfigurationChanges(ValueOf(response).body)
                           : std::nullopt;
  auto changed = changes ? ApplyChanges(known, *changes, kMaxConfigurationBytes)
                         : std::nullopt;
  if (!changed) {
    co_return error{error_kind::kCorruptData, "relay has no configuration"};
  }
  co_return *std::move(changed);
}

awaitable<result<nlohmann::json>> relay_client::ReadServices() {
  std::string target = kServicesPath;
  const auto response = co_await Read(std::move(target), kContentTimeout);
  if (!IsOk(response)) {
    co_return ErrorOf(response);
  }
  const auto text =
      ValueOf(response).status == kStatusOk
          ? Decompress(ValueOf(response).body, kMaxConfigurationBytes)
          : std::nullopt;
  nlohmann::json content =
      text ? platform::ParseJson(*text)
           : nlohmann::json(nlohmann::json::value_t::discarded);
  if (content.is_discarded()) {
    co_return error{error_kind::kCorruptData, "relay has no configuration"};
  }
  co_return content;
}

std::vector<std::string> SelectRelays(const upstream_map& upstreams,
                                      const data_centre_id& data_centre) {
  std::map<data_centre_id, std::set<vm_id>> addresses;
  for (const auto& [id, entry] : upstreams) {
    const auto endpoint = ParseHttpEndpoint(entry.address);
    if (endpoint && !entry.draining && entry.has_engine) {
      addresses[entry.data_centre].emplace(endpoint->address);
    }
  }
  const auto order_of = [&](const data_centre_id& place) {
    const std::set<vm_id>& members = addresses[place];
    return RendezvousOrder<vm_id>("catalog_relay",
                                  {members.begin(), members.end()});
  };
  std::vector<data_centre_id> others;
  for (const auto& [place, members] : addresses) {
    if (place != data_centre) {
      others.push_back(place);
    }
  }
  // The key differs between data centres, so that one that loses its relays
  // does not send all of its processes to the same place as another one.
  others = RendezvousOrder(data_centre.value(), std::move(others));
  others.resize(std::min(others.size(), kMaxRemoteRelays));
  std::vector<std::string> relays;
  auto other = others.begin();
  const auto add_remote = [&] {
    if (other != others.end()) {
      relays.push_back(order_of(*other++).front().value());
    }
  };
  std::vector<vm_id> own = order_of(data_centre);
  own.resize(std::min(own.size(), kMaxRelays));
  for (const vm_id& address : own) {
    relays.push_back(address.value());
    add_remote();
  }
  while (other != others.end()) {
    add_remote();
  }
  return relays;
}

}  // namespace fireflyslip
