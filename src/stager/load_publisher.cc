#include "stager/load_publisher.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>
#include <vector>

#include "fireflyslip/runtime.h"
#include "node/load_report.h"

namespace fireflyslip {
namespace {

using boost::asio::awaitable;
using boost::asio::ip::udp;

/// Bounds of the time between two reads of the load. A full batch completes
/// about 8 requests a second, so a report lags by few requests.
constexpr milliseconds kMinPollInterval{100};
constexpr milliseconds kMaxPollInterval{300};
/// Gateways renew their subscriptions at least once a second.
constexpr seconds kSubscriptionLifetime{3};
/// A longer gap between two subscriptions may be a restart of the gateway.
constexpr milliseconds kMaxSubscriptionGap{1200};
/// Interval at which recent evidence of crashes is repeated.
constexpr milliseconds kEvidenceRepeatInterval{800};
/// A replica responds to its own VM within a millisecond, even under full load.
constexpr milliseconds kReadTimeout{500};

}  // namespace

load_publisher::load_publisher(boost::asio::io_context& context,
                               const node_settings& settings,
                               platform::engine_client& engine,
                               observer on_load)
    : context_(context),
      settings_(settings),
      engine_(engine),
      on_load_(std::move(on_load)),
      socket_(context) {}

status load_publisher::Start() {
  const http_endpoint endpoint = settings_.LoadReportEndpoint();
  boost::system::error_code code;
  const udp::endpoint local(
      boost::asio::ip::make_address(endpoint.address, code), endpoint.port);
  if (!code) {
    socket_.open(udp::v4(), code);
  }
  if (!code) {
    socket_.bind(local, code);
  }
  if (code) {
    return error{error_kind::kInternalError,
                 "cannot receive subscriptions: " + code.message()};
  }
  boost::asio::co_spawn(context_, ReceiveSubscriptions(),
                        boost::asio::detached);
  boost::asio::co_spawn(context_, Poll(), boost::asio::detached);
  return std::monostate{};
}

awaitable<void> load_publisher::ReceiveSubscriptions() {
  std::array<std::uint8_t, kMaxLoadDatagramBytes> buffer{};
  udp::endpoint from;
  for (;;) {
    boost::system::error_code code;
    const std::size_t size = co_await socket_.async_receive_from(
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
    if (const auto* subscription = std::get_if<load_subscription>(&*message)) {
      OnSubscription(*subscription, from);
    } else if (const auto* notice = std::get_if<crash_notice>(&*message)) {
      OnCrashNotice(*notice);
    }
  }
}

void load_publisher::OnSubscription(const load_subscription& subscription,
                                    const udp::endpoint& from) {
  const time_point now = MonotonicNow();
  subscriber& record = subscribers_[subscription.subscriber];
  const bool may_be_restarted =
      now - record.subscribed_at > kMaxSubscriptionGap;
  record.endpoint = from;
  record.subscribed_at = now;
  record.sent_us = subscription.sent_us;
  record.interval = subscription.interval;
  crashes_.Expire(now);
  request_crashes_.Expire(now);
  if (may_be_restarted) {
    SendNotice({Strongest(crashes_.ChangedSince(time_point(), now),
                          kMaxInitialEvidence)},
               from);
    SendNotice({Strongest(RepeatedCrashes(request_crashes_, time_point(), now),
                          kMaxInitialEvidence),
                /*whole_requests=*/true},
               from);
  }
}

void load_publisher::OnCrashNotice(const crash_notice& notice) {
  const time_point now = MonotonicNow();
  const time_point before = now - duration(1);
  if (notice.whole_requests) {
    request_crashes_.Merge(notice.evidence, now);
    request_queue_.Add(RepeatedCrashes(request_crashes_, before, now));
  } else {
    crashes_.Merge(notice.evidence, now);
    part_queue_.Add(crashes_.ChangedSince(before, now));
  }
  SendEvidence();
}

void load_publisher::SendEvidence() {
  const time_point now = MonotonicNow();
  const crash_notice parts{part_queue_.Take(crashes_, now)};
  const crash_notice requests{request_queue_.Take(request_crashes_, now),
                              /*whole_requests=*/true};
  for (const auto& [vm, subscriber] : subscribers_) {
    SendNotice(parts, subscriber.endpoint);
    SendNotice(requests, subscriber.endpoint);
  }
}

void load_publisher::RepeatEvidence() {
  const time_point now = MonotonicNow();
  if (now - evidence_repeated_at_ < kEvidenceRepeatInterval) {
    return;
  }
  evidence_repeated_at_ = now;
  part_queue_.Add(crashes_.ChangedSince(now - kEvidenceRepeatTime, now));
  if (request_queue_.empty()) {
    request_queue_.Add(RepeatedCrashes(request_crashes_, time_point(), now));
  }
}

void load_publisher::SendNotice(const crash_notice& notice,
                                const udp::endpoint& to) {
  for (const crash_notice& part : SplitNotice(notice)) {
    const std::vector<std::uint8_t> datagram = EncodeLoadMessage(part);
    boost::system::error_code ignored;  // repeated at the next subscription
    socket_.send_to(boost::asio::buffer(datagram), to, 0, ignored);
  }
}

awaitable<void> load_publisher::Poll() {
  boost::asio::steady_timer timer(context_);
  for (;;) {
    const auto read = co_await engine_.ReadLoadReport(kReadTimeout);
    upstream_load load;
    if (IsOk(read)) {
      load = ValueOf(read);
    } else {
      load.reachable = false;
    }
    if (load.reachable != reachable_) {
      reachable_ = load.reachable;
      LogLine(std::string("event=replica_") +
              (reachable_ ? "regained" : "lost"));
    }
    on_load_(load);
    Send(load, false);
    RepeatEvidence();
    SendEvidence();
    timer.expires_after(PollInterval());
    boost::system::error_code ignored;
    co_await timer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }
}

duration load_publisher::PollInterval() const {
  duration shortest = kMaxPollInterval;
  for (const auto& [vm, subscriber] : subscribers_) {
    shortest = std::min(shortest, subscriber.interval);
  }
  return std::max<duration>(shortest, kMinPollInterval);
}

void load_publisher::SetLoadPending(bool load_pending) {
  if (load_pending_ != load_pending) {
    load_pending_ = load_pending;
    Send(last_load_, true);
  }
}

void load_publisher::Send(const upstream_load& load, bool immediately) {
  immediately |= load.loading != last_load_.loading ||
                 load.reachable != last_load_.reachable;
  last_load_ = load;
  const time_point now = MonotonicNow();
  std::erase_if(subscribers_, [this, now](const auto& item) {
    const bool expired =
        item.second.subscribed_at + kSubscriptionLifetime < now;
    if (expired) {
      cold_permits_.Forget(item.first);
    }
    return expired;
  });
  if (subscribers_.empty()) {
    return;
  }
  load_report report;
  report.engine =
      settings_.engine->address + ":" + std::to_string(settings_.engine->port);
  report.load = load;
  report.load.loading |= load_pending_;
  report.load.gateways = static_cast<std::uint32_t>(subscribers_.size());
  std::vector<vm_id> receivers;
  for (const auto& [vm, subscriber] : subscribers_) {
    if (immediately || now >= subscriber.next_report) {
      receivers.push_back(vm);
    }
  }
  const auto permits = cold_permits_.Take(receivers, now);
  for (const vm_id& vm : receivers) {
    subscriber& subscriber = subscribers_.at(vm);
    const auto granted = permits.find(vm);
    report.load.cold_permits = granted == permits.end() ? 0 : granted->second;
    // Half of the polling interval tolerates timer inaccuracy.
    subscriber.next_report = now + subscriber.interval - PollInterval() / 2;
    report.echo_us = subscriber.sent_us;
    report.echo_delay_us =
        static_cast<std::uint64_t>((now - subscriber.subscribed_at).count());
    const std::vector<std::uint8_t> datagram = EncodeLoadMessage(report);
    boost::system::error_code ignored;  // the next report replaces a lost one
    socket_.send_to(boost::asio::buffer(datagram), subscriber.endpoint, 0,
                    ignored);
  }
}

}  // namespace fireflyslip
