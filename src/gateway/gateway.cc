#include "gateway/gateway.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <exception>
#include <utility>

#include "fireflyslip/core/rendezvous.h"
#include "gateway/exchange.h"
#include "node/load_report.h"

namespace fireflyslip {
namespace {

using boost::asio::awaitable;
using boost::asio::ip::udp;

/// Upstreams are at most one region away. A lost SYN is retransmitted only
/// after one second, by which time another upstream could have responded.
constexpr milliseconds kUpstreamConnectTimeout{400};
/// Idle connections per upstream; all gateways share its connection limit.
constexpr std::size_t kMaxIdleConnections = 12;
constexpr seconds kPruneInterval{2};
/// Stagers send reports for three seconds after the last subscription. Each
/// subscription also measures the round-trip time to the stager.
constexpr milliseconds kSubscribeInterval{800};
/// Interval of events without which the dispatcher assumes a pause.
constexpr duration kObservationInterval =
    version_targets::kMaxObservationGap / 2;
/// Delay of the event loop from which it is logged.
constexpr milliseconds kLoggedLoopDelay{250};
/// Fraction of the revocation timeout after which keys are stale; the rest
/// allows for the clock resolution.
constexpr double kKeyLifetimeFraction = 0.96;
/// Interval at which new evidence of crashes is sent to the stagers.
constexpr milliseconds kCrashNoticeInterval{100};
constexpr std::size_t kMaxClientConnections = 3000;
/// Part of the memory of the process for the bodies of requests.
constexpr std::size_t kRequestMemoryDivisor = 5;
/// Part of the memory of the process for responses that are being received. The
/// strings that collect them may take twice their length.
constexpr std::size_t kResponseMemoryDivisor = 5;

duration Scale(duration value, double factor) {
  return FromSeconds(ToSeconds(value) * factor);
}

http_client_options ClientOptions() {
  http_client_options options;
  options.connect_timeout = kUpstreamConnectTimeout;
  options.max_idle_connections = kMaxIdleConnections;
  options.reset_on_close = true;
  return options;
}

http_limits ServerLimits(const client_limits& limits,
                         const node_settings& settings) {
  http_limits server_limits;
  server_limits.max_header_bytes = limits.header_bytes;
  server_limits.max_body_bytes = limits.body_bytes;
  server_limits.max_total_body_bytes =
      settings.memory_bytes / kRequestMemoryDivisor;
  server_limits.max_connections = kMaxClientConnections;
  server_limits.idle_timeout = limits.idle_timeout;
  server_limits.read_timeout = limits.header_timeout + limits.idle_timeout;
  return server_limits;
}

std::uint64_t ClockMicroseconds() {
  return static_cast<std::uint64_t>(MonotonicNow().time_since_epoch().count());
}

void LogAdvice(const upstream_id& upstream, const upstream_advice& advice) {
  std::string line = "event=upstream_advice upstream=" + upstream.value();
  line += " rate_limit=";
  line += advice.rate_limit ? std::to_string(*advice.rate_limit) : "-";
  line += " leaving=" + std::to_string(advice.leaving ? 1 : 0);
  line += " retry_after_ms=";
  line += advice.retry_after
              ? std::to_string(advice.retry_after->count() / 1000)
              : "-";
  LogLine(line);
}

void LogTraits(const service_name& service,
               const dispatcher::service_traits& traits) {
  std::string line = "event=service_traits service=" + service.value();
  line += " one_priority=" + std::to_string(traits.one_priority ? 1 : 0);
  line += " learns_pace=" + std::to_string(traits.learns_pace ? 1 : 0);
  line += " cold_per_s=";
  line += traits.cold ? std::to_string(traits.cold->requests_per_s) : "-";
  LogLine(line);
}

dispatcher MakeDispatcher(const node_settings& settings, std::uint64_t seed) {
  placement_policy policy;
  policy.data_centre = settings.data_centre;
  policy.regions = settings.regions;
  return {std::move(policy), version_targets(settings.SupersededAfter()),
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
      retry_allowance_(settings_.retry_allowance,
                       settings_.retry_window,
                       MonotonicNow()),
      timers_(context),
      dispatcher_(MakeDispatcher(settings, seed),
                  timers_,
                  [this](const dispatcher::action& action) { Apply(action); }),
      response_memory_(std::make_shared<memory_budget>(settings_.memory_bytes /
                                                       kResponseMemoryDivisor)),
      upstream_client_(context, ClientOptions()),
      server_(context,
              ServerLimits({}, settings_),
              [this](http_request request, response_writer& writer) {
                return Serve(std::move(request), writer);
              }),
      report_socket_(context),
      probe_(context, [this](const upstream_entry& upstream) {
        counters_.Count("upstreams_lost_total", {{"source", "probe"}});
        crashes_.OnUpstreamGone(upstream, "probe", MonotonicNow());
      }) {
  timers_.SubscribePeriodic(
      kPruneInterval, [this] { upstream_client_.PruneIdleConnections(); });
  timers_.SubscribePeriodic(kSubscribeInterval,
                            [this] { SubscribeToReports(); });
  timers_.SubscribePeriodic(kCrashNoticeInterval, [this] {
    SendToStagers(crashes_.TakeNotice(MonotonicNow()));
    SendRequestNotices(crashes_.TakeRequestNotices(MonotonicNow()));
  });
  timers_.SubscribePeriodic(kObservationInterval, [this] { Observe(); });
}

gateway::~gateway() = default;

result<unsigned short> gateway::Listen() {
  return server_.Listen(*settings_.client_endpoint);
}

status gateway::ListenForReports() {
  const http_endpoint endpoint = settings_.LoadReportEndpoint();
  boost::system::error_code code;
  const udp::endpoint local(
      boost::asio::ip::make_address(endpoint.address, code), endpoint.port);
  if (!code) {
    report_socket_.open(udp::v4(), code);
  }
  if (!code) {
    report_socket_.bind(local, code);
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
  server_.set_limits(ServerLimits(catalog_->limits, settings_));
  dispatcher::services_changed changed;
  for (const auto& [name, service] : catalog_->services) {
    const bool one_priority = service.engine && HasOnePriority(*catalog_, name);
    changed.traits[name] = {service.cold, one_priority,
                            one_priority || service.cold.has_value()};
  }
  for (const auto& [name, traits] : changed.traits) {
    const auto before = service_traits_.find(name);
    if (traits != (before == service_traits_.end()
                       ? dispatcher::service_traits{}
                       : before->second)) {
      LogTraits(name, traits);
    }
  }
  service_traits_ = changed.traits;
  Handle(changed);
}

void gateway::SetUpstreams(std::shared_ptr<const upstream_map> upstreams) {
  if (upstreams_) {
    for (const auto& [id, entry] : *upstreams_) {
      const auto found = upstreams->find(id);
      const bool gone = found == upstreams->end() ||
                        found->second.started_ms != entry.started_ms;
      if (gone && !entry.draining) {
        crashes_.OnUpstreamGone(entry, "list", MonotonicNow());
      }
      if (gone || found->second.draining) {
        if (const auto endpoint = ParseHttpEndpoint(entry.address)) {
          upstream_client_.CloseIdleConnections(*endpoint);
        }
      }
    }
  }
  upstreams_ = std::move(upstreams);
  std::set<std::string> addresses;
  for (const auto& [id, entry] : *upstreams_) {
    if (unnamed_responses_.contains(entry.address)) {
      addresses.insert(entry.address);
    }
  }
  unnamed_responses_ = std::move(addresses);
  SelectUpstreams();
}

void gateway::SetEvacuations(const evacuated_set& data_centres) {
  for (const data_centre_id& data_centre : evacuated_) {
    counters_.Set("data_centre_evacuated",
                  {{"data_centre", data_centre.value()}}, 0);
    if (!data_centres.contains(data_centre)) {
      Handle(dispatcher::evacuation_ended{data_centre});
    }
  }
  evacuated_ = data_centres;
  for (const data_centre_id& data_centre : evacuated_) {
    counters_.Set("data_centre_evacuated",
                  {{"data_centre", data_centre.value()}}, 1);
  }
  if (upstreams_) {
    SelectUpstreams();
    SubscribeToReports();
  }
}

void gateway::SelectUpstreams() {
  const upstream_map available = WithoutEvacuated(*upstreams_, evacuated_);
  monitored_ = std::make_shared<const upstream_map>(
      SelectMonitored(available, settings_.vm, settings_.data_centre,
                      MonitoringPolicyFor(settings_.data_centre, evacuated_)));
  gateway_count_.SetUpstreams(available, *monitored_);
  const bool first = upstreams_by_address_.empty();
  upstreams_by_address_.clear();
  for (const auto& [id, entry] : *monitored_) {
    upstreams_by_address_[entry.address] = id;
  }
  Handle(dispatcher::upstreams_changed{monitored_});
  if (first) {
    SubscribeToReports();
  }
}

void gateway::SetTargetVersion(const model_name& model,
                               std::uint64_t version,
                               time_point published_at) {
  Handle(dispatcher::version_published{model, version, published_at});
}

void gateway::ConfirmKeys(time_point current_as_of) {
  keys_current_as_of_ = current_as_of;
}

void gateway::RecordPlatformResponse() {
  Handle(dispatcher::platform_responded{});
}

void gateway::StartDraining(time_point answer_by) {
  answer_by_ = answer_by;
  server_.DisableKeepAlive();
  for (const auto& [id, request_exchange] : exchanges_) {
    request_exchange->LimitDeadline(answer_by);
  }
}

void gateway::StopAccepting() {
  server_.Drain();
}

std::size_t gateway::requests_in_progress() const {
  return server_.requests_in_progress();
}

bool gateway::AreKeysStale() const {
  const std::optional<duration> age = KeyAge();
  return !age ||
         *age > Scale(settings_.key_revocation_timeout, kKeyLifetimeFraction);
}

std::optional<duration> gateway::KeyAge() const {
  if (!keys_current_as_of_) {
    return std::nullopt;
  }
  return MonotonicNow() - *keys_current_as_of_;
}

void gateway::Submit(dispatcher::submit request) {
  Handle(std::move(request));
}

void gateway::Handle(const dispatcher::event& event) {
  dispatcher_.Handle(event);
}

retry_window& gateway::RetryBudget(const service_name& service) {
  auto found = retry_budgets_.find(service);
  if (found == retry_budgets_.end()) {
    found = retry_budgets_
                .try_emplace(service, settings_.retry_window,
                             settings_.retry_ratio, random_.Fraction())
                .first;
  }
  return found->second;
}

double gateway::RetryAllowance() const {
  return retry_allowance_.Share(MonotonicNow());
}

awaitable<void> gateway::Serve(http_request request, response_writer& writer) {
  const dispatch_id id = next_dispatch_++;
  const auto request_exchange =
      std::make_shared<exchange>(*this, id, std::move(request), writer);
  exchanges_.emplace(id, request_exchange.get());
  std::exception_ptr failure;
  try {
    co_await request_exchange->Run();
  } catch (const std::exception&) {
    failure = std::current_exception();
  }
  exchanges_.erase(id);
  if (failure) {
    // The request may have waited for a place, or held one. An event that does
    // not apply is ignored.
    Handle(dispatcher::cancel_waiting{id});
    Handle(dispatcher::attempt_completed{id, attempt_status::kAbandoned});
    crashes_.AttemptEnded(id, attempt_end::kResponse, MonotonicNow());
    std::rethrow_exception(failure);
  }
}

awaitable<void> gateway::ReceiveReports() {
  std::array<std::uint8_t, kMaxLoadDatagramBytes> buffer{};
  udp::endpoint from;
  for (;;) {
    boost::system::error_code code;
    const std::size_t size = co_await report_socket_.async_receive_from(
        boost::asio::buffer(buffer), from,
        boost::asio::redirect_error(boost::asio::use_awaitable, code));
    if (code == boost::asio::error::operation_aborted) {
      co_return;
    }
    if (code) {
      continue;  // ICMP error for an earlier datagram without a receiver
    }
    const auto message = DecodeLoadMessage(std::span(buffer.data(), size));
    if (!message) {
      continue;
    }
    if (const auto* report = std::get_if<load_report>(&*message)) {
      OnLoadReport(*report);
    } else if (const auto* notice = std::get_if<crash_notice>(&*message)) {
      crashes_.OnNotice(*notice, MonotonicNow());
    }
  }
}

void gateway::OnLoadReport(const load_report& report) {
  const auto found = upstreams_by_address_.find(report.engine);
  if (found == upstreams_by_address_.end()) {
    return;
  }
  dispatcher::load_reported reported{found->second, report.load, 0};
  gateway_count_.Report(found->second, report.load.gateways);
  retry_allowance_.SetGatewayCount(gateway_count_.value(), MonotonicNow());
  const std::uint64_t now = ClockMicroseconds();
  const std::uint64_t echo_time_us = report.echo_us + report.echo_delay_us;
  reported.load.round_trip_time =
      duration(now > echo_time_us ? now - echo_time_us : 0);
  crashes_.OnReachability(monitored_->at(found->second), report.load.reachable,
                          MonotonicNow());
  reported.fleet_gateways = gateway_count_.value();
  Handle(reported);
}

std::optional<udp::endpoint> gateway::StagerEndpoint(
    const upstream_entry& upstream) const {
  const auto endpoint = ParseHttpEndpoint(upstream.address);
  if (!upstream.has_engine || !endpoint) {
    return std::nullopt;
  }
  boost::system::error_code code;
  const auto address = boost::asio::ip::make_address(endpoint->address, code);
  return code ? std::nullopt
              : std::optional(
                    udp::endpoint(address, settings_.first_internal_port));
}

void gateway::SendToStagers(const crash_notice& notice) {
  if (!monitored_ || !report_socket_.is_open()) {
    return;
  }
  for (const crash_notice& part : SplitNotice(notice)) {
    const std::vector<std::uint8_t> datagram = EncodeLoadMessage(part);
    for (const auto& [id, entry] : *monitored_) {
      if (const auto endpoint = StagerEndpoint(entry)) {
        boost::system::error_code ignored;  // repeated with the subscriptions
        report_socket_.send_to(boost::asio::buffer(datagram), *endpoint, 0,
                               ignored);
      }
    }
  }
}

void gateway::SendRequestNotices(
    const crash_monitor::request_notices& notices) {
  SendToStagers(notices.repeated);
  SendToCollectors(notices.single);
}

void gateway::SendToCollectors(const crash_notice& notice) {
  if (!upstreams_ || !report_socket_.is_open()) {
    return;
  }
  std::map<udp::endpoint, crash_notice> by_stager;
  for (const crash_evidence& evidence : notice.evidence) {
    const std::string key = std::to_string(evidence.part);
    using choice = std::pair<std::uint64_t, const upstream_entry*>;
    std::map<data_centre_id, choice> collectors;
    for (const auto& [id, entry] : *upstreams_) {
      if (entry.has_engine && !entry.draining) {
        choice& best = collectors[entry.data_centre];
        best = std::max(best, {RendezvousScore(key, id.value()), &entry});
      }
    }
    for (const auto& [data_centre, best] : collectors) {
      if (const auto endpoint = StagerEndpoint(*best.second)) {
        crash_notice& collected = by_stager[*endpoint];
        collected.whole_requests = notice.whole_requests;
        collected.evidence.push_back(evidence);
      }
    }
  }
  for (const auto& [endpoint, collected] : by_stager) {
    for (const crash_notice& part : SplitNotice(collected)) {
      const std::vector<std::uint8_t> datagram = EncodeLoadMessage(part);
      boost::system::error_code ignored;  // repeated with the subscriptions
      report_socket_.send_to(boost::asio::buffer(datagram), endpoint, 0,
                             ignored);
    }
  }
}

void gateway::Observe() {
  const time_point now = MonotonicNow();
  const duration late =
      observed_at_ ? now - *observed_at_ - kObservationInterval : duration(0);
  observed_at_ = now;
  counters_.ObserveSeconds("event_loop_delay_seconds", {}, ToSeconds(late));
  if (late >= kLoggedLoopDelay) {
    LogLine("event=event_loop_delayed delay_ms=" +
            std::to_string(late / milliseconds(1)) +
            " requests=" + std::to_string(exchanges_.size()) +
            " waiting=" + std::to_string(dispatcher_.core().waiting()));
  }
  Handle(tick{});
  const bool outage = dispatcher_.core().IsPlatformOutage(MonotonicNow());
  if (outage != platform_outage_) {
    platform_outage_ = outage;
    LogLine(std::string("event=superseded_versions_") +
            (outage ? "allowed reason=platform_outage" : "refused"));
  }
}

void gateway::SubscribeToReports() {
  if (!monitored_ || !report_socket_.is_open()) {
    return;
  }
  const std::uint64_t now_us = ClockMicroseconds();
  std::map<data_centre_id, std::vector<std::uint8_t>> subscriptions;
  for (const auto& [id, entry] : *monitored_) {
    const auto stager_endpoint = StagerEndpoint(entry);
    if (!stager_endpoint) {
      continue;
    }
    std::vector<std::uint8_t>& subscription = subscriptions[entry.data_centre];
    if (subscription.empty()) {
      subscription = EncodeLoadMessage(
          load_subscription{settings_.vm, now_us,
                            ReportInterval(*upstreams_, settings_.data_centre,
                                           entry.data_centre)});
    }
    boost::system::error_code ignored;  // the next one replaces a lost one
    report_socket_.send_to(boost::asio::buffer(subscription), *stager_endpoint,
                           0, ignored);
  }
  SendToStagers(crashes_.RecentNotice(MonotonicNow()));
  SendRequestNotices(crashes_.RecentRequestNotices(MonotonicNow()));
}

void gateway::Apply(const dispatcher::action& action) {
  std::visit(overloaded{
                 [this](const dispatcher::start& start) {
                   const auto found = exchanges_.find(start.id);
                   if (found == exchanges_.end()) {
                     Handle(dispatcher::attempt_completed{
                         start.id, attempt_status::kAbandoned});
                     return;
                   }
                   found->second->OnPlaced(start);
                 },
                 [this](const dispatcher::refuse& refusal) {
                   const auto found = exchanges_.find(refusal.id);
                   if (found != exchanges_.end()) {
                     found->second->OnRejected(refusal);
                   }
                 },
                 [](const dispatcher::advice_changed& changed) {
                   LogAdvice(changed.upstream, changed.advice);
                 },
             },
             action);
}

}  // namespace fireflyslip
