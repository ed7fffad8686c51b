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
/// Duration of a watch that only confirms the known state.
constexpr milliseconds kConfirmationWait{1};
/// First delay after failed requests. Each request incurs a cost, and all
/// processes resume at the same time when the store recovers.
constexpr milliseconds kInitialBackoff{50};

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
      random_(seed),
      following_changed_(context) {}

awaitable<void> kind_watch::Run() {
  for (;;) {
    if (!following_) {
      co_await WaitUntilFollowing();
    } else if (position_.MustList()) {
      co_await Refresh();
      co_await BackOff();
    } else {
      co_await Watch();
      co_await BackOff();
    }
  }
}

void kind_watch::SetFollowing(bool following) {
  confirmed_ &= following_ && following;
  following_ = following;
  following_changed_.cancel();
}

void kind_watch::Advance(const store_position& position) {
  position_.Advance(position);
}

awaitable<void> kind_watch::WaitUntilFollowing() {
  following_changed_.expires_at(boost::asio::steady_timer::time_point::max());
  boost::system::error_code ignored;
  co_await following_changed_.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

awaitable<bool> kind_watch::Refresh() {
  const time_point sent = MonotonicNow();
  const std::uint64_t sent_era = position_.era();
  const auto listed =
      co_await store_.List(settings_.kind, false, list_backoff_.timeout());
  position_.ObserveEra(store_.newest_era());
  if (!IsOk(listed)) {
    list_backoff_.RecordFailure(random_);
    RecordFailure(ErrorOf(listed), sent);
    co_return false;
  }
  list_backoff_.RecordSuccess();
  const store_position before = position_.known();
  const store_position at = ValueOf(listed).position;
  const watch_position::outcome outcome = position_.ReceiveList(sent_era, at);
  if (outcome == watch_position::outcome::kOutdated) {
    RecordOutdated(sent);
    co_return false;
  }
  RecordResponse();
  if (outcome == watch_position::outcome::kSuperseded) {
    co_return true;  // later changes are known from elsewhere
  }
  if (at.era > before.era && before != store_position{}) {
    LogLine("event=store_restored kind=" + settings_.kind +
            " era=" + std::to_string(at.era) +
            " revision=" + std::to_string(at.revision));
  }
  handlers_.on_list(ValueOf(listed));
  freshness_.ConfirmRead(sent);
  handlers_.on_confirmed(freshness_, at);
  co_return true;
}

awaitable<void> kind_watch::Watch() {
  const time_point sent = MonotonicNow();
  const duration wait =
      confirmed_ ? settings_.watch_duration : duration(kConfirmationWait);
  const store_position from = position_.known();
  const auto answer = co_await store_.Watch(settings_.kind, from.revision, wait,
                                            wait + kRequestTimeout);
  position_.ObserveEra(store_.newest_era());
  if (!IsOk(answer)) {
    RecordFailure(ErrorOf(answer), sent);
    if (ErrorOf(answer).kind == error_kind::kNotFound) {
      position_.RecordCompacted(from);
    }
    co_return;
  }
  const platform::store_changes& changes = ValueOf(answer);
  const watch_position::outcome outcome =
      position_.ReceiveChanges(from, changes.position);
  if (outcome == watch_position::outcome::kOutdated) {
    RecordOutdated(sent);
    co_return;
  }
  RecordResponse();
  if (outcome == watch_position::outcome::kSuperseded) {
    co_return;  // later changes are known from elsewhere, or must be listed
  }
  for (const platform::store_change& change : changes.changes) {
    handlers_.on_change(change);
  }
  // A watch that ends early without events was terminated by the store.
  if (changes.changes.empty() && MonotonicNow() - sent >= wait) {
    freshness_.ConfirmEmptyWatch(sent, wait);
  } else {
    freshness_.ConfirmRead(sent);
  }
  handlers_.on_confirmed(freshness_, changes.position);
  if (!changes.changes.empty() && settings_.batch_delay.count() > 0) {
    co_await Sleep(settings_.batch_delay);
  }
}

awaitable<void> kind_watch::BackOff() {
  if (failures_ == 0) {
    co_return;
  }
  constexpr int kMaxDoublings = 8;
  const duration max_delay = std::min<duration>(
      settings_.max_backoff,
      kInitialBackoff * (1 << std::min(failures_ - 1, kMaxDoublings)));
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
  confirmed_ = false;
  if (++failures_ == 1) {
    failing_since_ = sent;
    LogLine("event=store_lost kind=" + settings_.kind + " reason=\"" +
            problem.detail + "\"");
  }
  if (handlers_.on_failure) {
    handlers_.on_failure();
  }
}

void kind_watch::RecordOutdated(time_point sent) {
  RecordFailure({error_kind::kPlatformUnavailable, "response of an older era"},
                sent);
}

void kind_watch::RecordResponse() {
  if (failures_ > 0) {
    LogLine("event=store_regained kind=" + settings_.kind +
            " failed_calls=" + std::to_string(failures_));
  }
  const duration outage =
      failures_ > 0 ? MonotonicNow() - failing_since_ : duration(0);
  failures_ = 0;
  confirmed_ = true;
  handlers_.on_response(outage);
}

}  // namespace fireflyslip
