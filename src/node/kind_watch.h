#ifndef FIREFLYSLIP_NODE_KIND_WATCH_H_
#define FIREFLYSLIP_NODE_KIND_WATCH_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "fireflyslip/catalog/read_backoff.h"
#include "fireflyslip/catalog/store_position.h"
#include "fireflyslip/catalog/watch_freshness.h"
#include "fireflyslip/core/random_source.h"
#include "fireflyslip/core/time.h"
#include "platform/store_client.h"

namespace fireflyslip {

/// \brief Watches all objects of one kind in the platform's store.
///
/// While it follows the kind, it lists it unless a position is known, then
/// watches for changes; it lists again if the store has compacted the revision
/// or was restored from an older copy.
/// The first watch after a failure, or after the kind was not followed, does
/// not wait, so that the known state is confirmed at once. Every response is
/// reported, so that the age of the known state can be determined.
class kind_watch {
 public:
  struct settings {
    std::string kind;
    /// Duration of one watch request. Each request incurs a cost; a change ends
    /// the watch at once, but an unreachable store is detected only at its end.
    duration watch_duration = seconds(2);
    /// Delay after changes, so that one request returns several successive
    /// changes.
    duration batch_delay = milliseconds(0);
    /// Longest delay after failed requests.
    duration max_backoff = milliseconds(600);

    bool operator==(const settings&) const = default;
  };
  struct handlers {
    /// The store responded; called before `on_list` and `on_change` with the
    /// time since requests began to fail, zero if the last one succeeded.
    std::function<void(duration outage)> on_response;
    /// A request failed; may be empty.
    std::function<void()> on_failure = {};
    std::function<void(const platform::store_listing&)> on_list;
    std::function<void(const platform::store_change&)> on_change;
    /// The known state of the kind, which includes all changes up to
    /// `position`, was confirmed as of a point in time.
    std::function<void(const watch_freshness&, const store_position&)>
        on_confirmed;
  };

  kind_watch(boost::asio::io_context& context,
             http_endpoint store,
             settings options,
             handlers callbacks,
             std::uint64_t seed);

  /// \brief Watches the kind, while it is followed, until the `io_context`
  /// stops.
  boost::asio::awaitable<void> Run();
  /// \brief Starts or stops following the kind. A watch request in progress is
  /// completed.
  void SetFollowing(bool following);
  /// \brief Lists the kind once; returns whether the store responded.
  boost::asio::awaitable<bool> Refresh();
  /// \brief Continues from a position up to which the changes are known from
  /// elsewhere.
  void Advance(const store_position& position);

 private:
  boost::asio::awaitable<void> Watch();
  boost::asio::awaitable<void> WaitUntilFollowing();
  boost::asio::awaitable<void> BackOff();
  boost::asio::awaitable<void> Sleep(duration length);
  void RecordFailure(const error& problem, time_point sent);
  void RecordResponse();
  /// \brief Records the failure of a request that received a response of an
  /// older era.
  void RecordOutdated(time_point sent);

  boost::asio::io_context& context_;
  platform::store_client store_;
  settings settings_;
  handlers handlers_;
  random_source random_;
  read_backoff list_backoff_;  // only its timeout is used
  watch_freshness freshness_;
  boost::asio::steady_timer following_changed_;
  bool following_ = false;
  bool confirmed_ = false;  // since the last failure, or since it is followed
  watch_position position_;
  int failures_ = 0;          // consecutive
  time_point failing_since_;  // time at which the first failed request was sent
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_NODE_KIND_WATCH_H_
