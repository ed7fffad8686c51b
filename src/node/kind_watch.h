#ifndef FIREFLYSLIP_NODE_KIND_WATCH_H_
#define FIREFLYSLIP_NODE_KIND_WATCH_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "fireflyslip/catalog/watch_freshness.h"
#include "fireflyslip/core/random_source.h"
#include "fireflyslip/core/time.h"
#include "platform/store_client.h"

namespace fireflyslip {

/// \brief Watches all objects of one kind in the platform's store.
///
/// Lists the kind, then watches for changes; lists again if the store has
/// compacted the revision. Every response is reported, so that the age of the
/// known state can be determined.
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

    bool operator==(const settings&) const = default;
  };
  struct handlers {
    /// The store responded; called before `on_list` and `on_change` with the
    /// time since requests began to fail, zero if the last one succeeded.
    std::function<void(duration outage)> on_response;
    std::function<void(const platform::store_listing&)> on_list;
    std::function<void(const platform::store_change&)> on_change;
    /// The known state of the kind was confirmed as of a point in time.
    std::function<void(const watch_freshness&)> on_confirmed;
  };

  kind_watch(boost::asio::io_context& context,
             http_endpoint store,
             settings options,
             handlers callbacks,
             std::uint64_t seed);

  /// \brief Watches the kind until the `io_context` stops.
  boost::asio::awaitable<void> Run();

 private:
  boost::asio::awaitable<bool> List();
  boost::asio::awaitable<void> Watch();
  boost::asio::awaitable<void> BackOff();
  boost::asio::awaitable<void> Sleep(duration length);
  void RecordFailure(const error& problem, time_point sent);
  void RecordResponse();

  boost::asio::io_context& context_;
  platform::store_client store_;
  settings settings_;
  handlers handlers_;
  random_source random_;
  watch_freshness freshness_;
  std::uint64_t revision_ = 0;
  int failures_ = 0;          // consecutive
  time_point failing_since_;  // time at which the first failed request was sent
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_NODE_KIND_WATCH_H_
