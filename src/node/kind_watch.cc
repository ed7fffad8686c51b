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

/// Time for one call beside its wait; a slow store takes up to 0.3 s.
constexpr milliseconds kCallTimeout{900};
/// Pauses after a failed call. Each call is paid for, and all processes start
/// again together when the store returns.
constexpr milliseconds kFirstPause{50};
constexpr milliseconds kLongestPause{600};

}  // namespace

kind_watch::kind_watch(boost::asio::io_context& context,
                       http_endpoint store,
                       settings what,
                       handlers on,
                       std::uint64_t seed)
    : context_(context),
      store_(context, std::move(store)),
      what_(std::move(what)),
      on_(std::move(on)),
      random_(seed) {}

awaitable<void> kind_watch::Run() {
  for (;;) {
    const bool listed = co_await List();
    if (listed) {
      co_await Follow();
    }
    co_await Pause();
  }
}

awaitable<bool> kind_watch::List() {
  const time_point sent = MonotonicNow();
  const auto listed = co_await store_.List(what_.kind, false, kCallTimeout);
  if (!IsOk(listed)) {
    NoteFailure(ErrorOf(listed), sent);
    co_return false;
  }
  NoteContact();
  revision_ = ValueOf(listed).revision;
  on_.on_list(ValueOf(listed));
  freshness_.ConfirmRead(sent);
  on_.on_confirmed(freshness_);
  co_return true;
}

awaitable<void> kind_watch::Follow() {
  for (;;) {
    const time_point sent = MonotonicNow();
    const auto answer = co_await store_.Watch(what_.kind, revision_, what_.wait,
                                              what_.wait + kCallTimeout);
    if (!IsOk(answer)) {
      NoteFailure(ErrorOf(answer), sent);
      if (ErrorOf(answer).kind == error_kind::kNotFound) {
        co_return;
      }
      co_await Pause();
      continue;
    }
    NoteContact();
    const platform::store_changes& changes = ValueOf(answer);
    for (const platform::store_change& change : changes.changes) {
      on_.on_change(change);
    }
    revision_ = std::max(revision_, changes.revision);
    // A watch that ends early without events was cut off by the store.
    if (changes.changes.empty() && MonotonicNow() - sent >= what_.wait) {
      freshness_.ConfirmEmptyWatch(sent, what_.wait);
    } else {
      freshness_.ConfirmRead(sent);
    }
    on_.on_confirmed(freshness_);
    if (!changes.changes.empty() && what_.batch.count() > 0) {
      co_await Sleep(what_.batch);
    }
  }
}

awaitable<void> kind_watch::Pause() {
  if (failures_ == 0) {
    co_return;
  }
  const duration longest = std::min<duration>(
      kLongestPause, kFirstPause * (1 << std::min(failures_ - 1, 4)));
  const auto half = static_cast<std::uint64_t>(longest.count() / 2);
  co_await Sleep(duration(half + random_.Below(half)));
}

awaitable<void> kind_watch::Sleep(duration length) {
  boost::asio::steady_timer timer(context_, length);
  boost::system::error_code ignored;
  co_await timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

void kind_watch::NoteFailure(const error& problem, time_point sent) {
  if (++failures_ == 1) {
    failing_since_ = sent;
    LogLine("event=store_lost kind=" + what_.kind + " reason=\"" +
            problem.detail + "\"");
  }
}

void kind_watch::NoteContact() {
  if (failures_ > 0) {
    LogLine("event=store_regained kind=" + what_.kind +
            " failed_calls=" + std::to_string(failures_));
  }
  const duration silence =
      failures_ > 0 ? MonotonicNow() - failing_since_ : duration(0);
  failures_ = 0;
  on_.on_contact(silence);
}

}  // namespace fireflyslip
