#include "node/kind_watch.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "fireflyslip/runtime/log.h"
#include "fireflyslip/runtime/process_clock.h"

namespace fireflyslip {
namespace {

using boost::asio::awaitable;

/// Timeout of a request in addition to its watch duration; a slow store takes
/// up to 0.3 s.
constexpr milliseconds kRequestTimeout{900};
/// Backoff after failed requests. Each request incurs a cost, and all processes
/// resume at the same time when the store recovers.
constexpr milliseconds kInitialBackoff{50};
constexpr milliseconds kMaxBackoff{600};

}  // namespace

kind_watch::kind_watch(boost::asio::io_context& context,
                       http_endpoint store,
                       settings options,
                       handlers callbacks,
                       std::uint64_t seed)
    : context_(context),
      store_(context, std::move(store)),
      settings_(std::move(options)),
      handlers_(std::move(callbacks)),
      random_(seed) {}

awaitable<void> kind_watch::Run() {
  for (;;) {
    const bool listed = co_await List();
    if (listed) {
      co_await Watch();
    }
    co_await BackOff();
  }
}

awaitable<bool> kind_watch::List() {
  const time_point sent = MonotonicNow();
  const auto listed =
      co_await store_.List(settings_.kind, false, kRequestTimeout);
  if (!IsOk(listed)) {
    RecordFailure(ErrorOf(listed), sent);
    co_return false;
  }
  RecordResponse();
  revision_ = ValueOf(listed).revision;
  handlers_.on_list(ValueOf(listed));
  freshness_.ConfirmRead(sent);
  handlers_.on_confirmed(freshness_);
  co_return true;
}

awaitable<void> kind_watch::Watch() {
  for (;;) {
    const time_point sent = MonotonicNow();
    const auto answer = co_await store_.Watch(
        settings_.kind, revision_, settings_.watch_duration,
        settings_.watch_duration + kRequestTimeout);
    if (!IsOk(answer)) {
      RecordFailure(ErrorOf(answer), sent);
      if (ErrorOf(answer).kind == error_kind::kNotFound) {
        co_return;
      }
      co_await BackOff();
      continue;
    }
    RecordResponse();
    const platform::store_changes& changes = ValueOf(answer);
    for (const platform::store_change& change : changes.changes) {
      handlers_.on_change(change);
    }
    revision_ = std::max(revision_, changes.revision);
    // A watch that ends early without events was terminated by the store.
    if (changes.changes.empty() &&
        MonotonicNow() - sent >= settings_.watch_duration) {
      freshness_.ConfirmEmptyWatch(sent, settings_.watch_duration);
    } else {
      freshness_.ConfirmRead(sent);
    }
    handlers_.on_confirmed(freshness_);
    if (!changes.changes.empty() && settings_.batch_delay.count() > 0) {
      co_await Sleep(settings_.batch_delay);
    }
  }
}

awaitable<void> kind_watch::BackOff() {
  if (failures_ == 0) {
    co_return;
  }
  const duration max_delay = std::min<duration>(
      kMaxBackoff, kInitialBackoff * (1 << std::min(failures_ - 1, 4)));
  const auto half = static_cast<std::uint64_t>(max_delay.count() / 2);
  co_await Sleep(duration(half + random_.Below(half)));
}

awaitable<void> kind_watch::Sleep(duration length) {
  boost::asio::steady_timer timer(context_, length);
  boost::system::error_code ignored;
  co_await timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

void kind_watch::RecordFailure(const error& problem, time_point sent) {
  if (++failures_ == 1) {
    failing_since_ = sent;
    LogLine("event=store_lost kind=" + settings_.kind + " reason=\"" +
            problem.detail + "\"");
  }
}

void kind_watch::RecordResponse() {
  if (failures_ > 0) {
    LogLine("event=store_regained kind=" + settings_.kind +
            " failed_calls=" + std::to_string(failures_));
  }
  const duration outage =
      failures_ > 0 ? MonotonicNow() - failing_since_ : duration(0);
  failures_ = 0;
  handlers_.on_response(outage);
}

}  // namespace fireflyslip
