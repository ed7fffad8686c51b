#include "gateway/gateway.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "gateway/exchange.h"
#include "node/load_report.h"

namespace fireflyslip {
namespace {

using boost::asio::awaitable;
using boost::asio::ip::udp;

/// Upstreams are one region away at most; a lost first packet is sent again
/// after a second, when another upstream has long answered.
constexpr milliseconds kConnectTimeout{400};
/// Idle connections to one upstream; all entries share its limit.
constexpr std::size_t kIdleConnections = 12;
constexpr seconds kPruneInterval{2};
/// Agents send reports for three seconds after the last subscription. Each one
/// also measures the way to the agent.
constexpr milliseconds kSubscribeInterval{500};
/// Reports from other data centres cross the links between regions, which carry
/// little, and few requests go there. Two of them may be lost before the load
/// counts as unknown.
constexpr milliseconds kFarReportInterval{300};
/// Share of the revocation time after which keys count as stale; the rest is
/// for the clocks' resolution.
constexpr double kKeyLifetimeShare = 0.96;
/// Part of the retry allowance that is used; entries may be more than known.
constexpr double kAllowanceShare = 0.5;
/// Entries that are assumed when no report has told their number.
constexpr std::size_t kAssumedEntries = 16;
/// Part of the rollout time within which requests may begin on a superseded
/// version; the rest is for the news of a version and for the way to a replica.
constexpr double kRolloutShare = 0.95;
/// Share of the rollout time that counts as passed for a version that was named
/// before this process started.
constexpr double kRestartShare = 0.55;
constexpr std::size_t kConnections = 3000;

duration Scaled(duration value, double factor) {
  return FromSeconds(ToSeconds(value) * factor);
}

http_client_options ClientBounds() {
  http_client_options bounds;
  bounds.connect_timeout = kConnectTimeout;
  bounds.max_idle_connections = kIdleConnections;
  bounds.reset_on_close = true;
  return bounds;
}

http_limits ServerLimits(const client_limits& limits) {
  http_limits bounds;
  bounds.max_header_bytes = limits.header_bytes;
  bounds.max_body_bytes = limits.body_bytes;
  bounds.max_connections = kConnections;
  bounds.idle_timeout = limits.idle_timeout;
  bounds.read_timeout = limits.header_timeout + limits.idle_timeout;
  return bounds;
}

std::uint64_t ClockMicroseconds() {
  return static_cast<std::uint64_t>(MonotonicNow().time_since_epoch().count());
}

dispatcher MakeDispatcher(const node_settings& settings, std::uint64_t seed) {
  placement_policy policy;
  policy.data_centre = settings.data_centre;
  return {std::move(policy),
          version_targets(Scaled(settings.rollout, kRolloutShare),
                          Scaled(settings.rollout, kRestartShare)),
          random_source(seed)};
}

}  // namespace

gateway::gateway(boost::asio::io_context& context,
                 const node_settings& settings,
                 metrics& counters,
                 std::uint64_t seed)
    : context_(context),
      settings_(settings),
      counters_(counters),
      random_(seed),
      timers_(context),
      dispatcher_(MakeDispatcher(settings, seed),
                  timers_,
                  [this](const dispatcher::action& action) { Apply(action); }),
      client_(context, ClientBounds()),
      server_(context,
              ServerLimits({}),
              [this](http_request request, response_writer& writer) {
                return Serve(std::move(request), writer);
              }),
      reports_(context) {
  timers_.SubscribePeriodic(kPruneInterval,
                            [this] { client_.PruneIdleConnections(); });
  timers_.SubscribePeriodic(kSubscribeInterval,
                            [this] { SubscribeToReports(); });
}

gateway::~gateway() = default;

result<unsigned short> gateway::Listen() {
  return server_.Listen(*settings_.callers);
}

status gateway::ListenForReports() {
  const http_endpoint where = settings_.LoadReports();
  boost::system::error_code code;
  const udp::endpoint local(boost::asio::ip::make_address(where.address, code),
                            where.port);
  if (!code) {
    reports_.open(udp::v4(), code);
  }
  if (!code) {
    reports_.bind(local, code);
  }
  if (code) {
    return error{error_kind::kInternalError,
                 "cannot receive load reports: " + code.message()};
  }
  boost::asio::co_spawn(context_, ReceiveReports(), boost::asio::detached);
  return std::monostate{};
}

void gateway::SetDeployment(std::shared_ptr<const deployment> catalog) {
  catalog_ = std::move(catalog);
  server_.set_limits(ServerLimits(catalog_->limits));
}

void gateway::SetUpstreams(std::shared_ptr<const upstream_map> upstreams) {
  if (upstreams_) {
    for (const auto& [id, entry] : *upstreams_) {
      const auto found = upstreams->find(id);
      if (found == upstreams->end() || found->second.draining ||
          found->second.started_ms != entry.started_ms) {
        if (const auto endpoint = ParseHttpEndpoint(entry.address)) {
          client_.CloseIdleConnections(*endpoint);
        }
      }
    }
  }
  upstreams_ = std::move(upstreams);
  const bool first = engines_.empty();
  engines_.clear();
  for (const auto& [id, entry] : *upstreams_) {
    engines_[entry.address] = id;
  }
  Handle(dispatcher::upstreams_changed{upstreams_});
  if (first) {
    SubscribeToReports();
  }
}

void gateway::NameVersion(const model_name& model,
                          std::uint64_t version,
                          bool at_start) {
  Handle(dispatcher::version_published{model, version, at_start});
}

void gateway::ConfirmKeys(time_point known_until) {
  keys_known_until_ = known_until;
  Handle(dispatcher::platform_responded{});
}

void gateway::DisableKeepAlive() {
  server_.DisableKeepAlive();
}

void gateway::StopAccepting() {
  server_.Drain();
}

std::size_t gateway::requests_in_progress() const {
  return server_.requests_in_progress();
}

bool gateway::AreKeysStale() const {
  const std::optional<duration> age = KeyAge();
  return !age || *age > Scaled(settings_.key_revocation, kKeyLifetimeShare);
}

std::optional<duration> gateway::KeyAge() const {
  if (!keys_known_until_) {
    return std::nullopt;
  }
  return MonotonicNow() - *keys_known_until_;
}

void gateway::Submit(dispatcher::submit request) {
  Handle(std::move(request));
}

void gateway::Handle(const dispatcher::event& event) {
  dispatcher_.Handle(event);
}

retry_window& gateway::RetryBudget(const service_name& service) {
  return budgets_
      .try_emplace(service, settings_.retry_window, settings_.retry_ratio)
      .first->second;
}

double gateway::RetryAllowance() const {
  const std::size_t known = dispatcher_.core().gateways();
  const auto entries = static_cast<double>(known > 1 ? known : kAssumedEntries);
  return settings_.retry_allowance * kAllowanceShare / entries;
}

awaitable<void> gateway::Serve(http_request request, response_writer& writer) {
  const dispatch_id id = next_work_++;
  const auto run =
      std::make_shared<exchange>(*this, id, std::move(request), writer);
  exchanges_.emplace(id, run.get());
  co_await run->Run();
  exchanges_.erase(id);
}

awaitable<void> gateway::ReceiveReports() {
  constexpr std::size_t kLargestDatagram = 2048;
  std::array<std::uint8_t, kLargestDatagram> buffer{};
  udp::endpoint from;
  for (;;) {
    boost::system::error_code code;
    const std::size_t size = co_await reports_.async_receive_from(
        boost::asio::buffer(buffer), from,
        boost::asio::redirect_error(boost::asio::use_awaitable, code));
    if (code == boost::asio::error::operation_aborted) {
      co_return;
    }
    if (code) {
      continue;  // an earlier datagram found no receiver
    }
    const auto message = DecodeLoadMessage(std::span(buffer.data(), size));
    const auto* report =
        message ? std::get_if<load_report>(&*message) : nullptr;
    if (report == nullptr) {
      continue;
    }
    const auto found = engines_.find(report->engine);
    if (found != engines_.end()) {
      dispatcher::load_reported reported{found->second, report->load};
      const std::uint64_t now = ClockMicroseconds();
      const std::uint64_t known = report->echo_us + report->held_us;
      reported.load.round_trip_time = duration(now > known ? now - known : 0);
      Handle(reported);
    }
  }
}

void gateway::SubscribeToReports() {
  if (!upstreams_ || !catalog_ || !reports_.is_open()) {
    return;
  }
  load_subscription subscription{settings_.vm, ClockMicroseconds(),
                                 duration(0)};
  const std::vector<std::uint8_t> near = EncodeLoadMessage(subscription);
  subscription.interval = kFarReportInterval;
  const std::vector<std::uint8_t> far = EncodeLoadMessage(subscription);
  for (const auto& [id, entry] : *upstreams_) {
    const service_profile* service = catalog_->FindService(entry.service);
    const auto endpoint = ParseHttpEndpoint(entry.address);
    if (service == nullptr || !service->engine || !endpoint) {
      continue;
    }
    boost::system::error_code code;
    const udp::endpoint agent(
        boost::asio::ip::make_address(endpoint->address, code),
        settings_.first_internal_port);
    if (!code) {
      // A datagram that is lost is replaced by the next one.
      const bool is_near = entry.data_centre == settings_.data_centre;
      reports_.send_to(boost::asio::buffer(is_near ? near : far), agent, 0,
                       code);
    }
  }
}

void gateway::Apply(const dispatcher::action& action) {
  std::visit(
      [this](const auto& decided) {
        const auto found = exchanges_.find(decided.id);
        constexpr bool kStarts =
            std::is_same_v<std::decay_t<decltype(decided)>, dispatcher::start>;
        if constexpr (kStarts) {
          if (found == exchanges_.end()) {
            Handle(dispatcher::attempt_completed{decided.id,
                                                 attempt_status::kAbandoned});
            return;
          }
          found->second->OnStart(decided);
        } else if (found != exchanges_.end()) {
          found->second->OnRefuse(decided);
        }
      },
      action);
}

}  // namespace fireflyslip
