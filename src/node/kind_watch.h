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

/// \brief Follows all objects of one kind in the platform's store.
///
/// Lists the kind, then waits for changes; lists again when the store has
/// dropped the history. Reports each answer, so that the age of what is known
/// can be told.
class kind_watch {
 public:
  struct settings {
    std::string kind;
    /// Length of one watch. Each one is a call that is paid for; a change is
    /// noticed at once, but a store that is cut off only at its end.
    duration wait = seconds(2);
    /// Pause after changes, so that several that follow each other are read by
    /// one call.
    duration batch = milliseconds(0);

    bool operator==(const settings&) const = default;
  };
  struct handlers {
    /// The store answered, before `on_list` and `on_change`; with the time
    /// since calls began to fail, zero if the last one did not.
    std::function<void(duration silence)> on_contact;
    std::function<void(const platform::store_listing&)> on_list;
    std::function<void(const platform::store_change&)> on_change;
    /// What is known of the kind is confirmed up to a moment.
    std::function<void(const watch_freshness&)> on_confirmed;
  };

  kind_watch(boost::asio::io_context& context,
             http_endpoint store,
             settings what,
             handlers on,
             std::uint64_t seed);

  /// \brief Follows the kind until the `io_context` stops.
  boost::asio::awaitable<void> Run();

 private:
  boost::asio::awaitable<bool> List();
  boost::asio::awaitable<void> Follow();
  boost::asio::awaitable<void> Pause();
  boost::asio::awaitable<void> Sleep(duration length);
  void NoteFailure(const error& problem, time_point sent);
  void NoteContact();

  boost::asio::io_context& context_;
  platform::store_client store_;
  settings what_;
  handlers on_;
  random_source random_;
  watch_freshness freshness_;
  std::uint64_t revision_ = 0;
  int failures_ = 0;
  time_point failing_since_;  // when the first failed call was sent
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_NODE_KIND_WATCH_H_
