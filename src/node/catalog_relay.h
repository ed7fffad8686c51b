#ifndef FIREFLYSLIP_NODE_CATALOG_RELAY_H_
#define FIREFLYSLIP_NODE_CATALOG_RELAY_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fireflyslip/catalog.h"
#include "fireflyslip/http.h"
#include "fireflyslip/runtime.h"
#include "fireflyslip/staging/link_pacer.h"
#include "node/kind_watch.h"
#include "node/node_settings.h"
#include "node/relay_message.h"

namespace fireflyslip {

/// \brief Watches the platform's store on behalf of the processes that poll it.
///
/// The store is watched only while polls arrive. Holds a poll until a kind that
/// it names has changed, the view is no longer current, or its hold time is
/// over. Its view is current while responses of the store arrive within the
/// durations of the watches. The age of the configuration, which key
/// revocations depend on, counts from the time at which the request was sent.
/// All times are on a clock that includes suspension of the VM, so a process
/// that was paused does not present an old view as current. Nor is its view
/// current for a process that knows a newer era of the store. In a new era the
/// newest configuration and versions that it has had remain in force.
class catalog_relay {
 public:
  catalog_relay(boost::asio::io_context& context,
                const node_settings& settings,
                std::uint64_t seed);

  /// \brief Starts serving polls; fails if the address cannot be bound.
  result<unsigned short> Listen(const http_endpoint& endpoint);

 private:
  /// \brief Durations of the watches. A change ends a watch at once; an
  /// unreachable store is detected at its end.
  struct watch_durations {
    explicit watch_durations(const node_settings& settings);

    duration configuration;
    duration upstreams;
    duration upstream_batch;  ///< Delay between two watches.
    duration versions;
    duration evacuations;  // zero if they are not watched
  };

  kind_watch::handlers ConfigurationHandlers();
  kind_watch::handlers UpstreamHandlers();
  kind_watch::handlers VersionHandlers();
  kind_watch::handlers EvacuationHandlers();
  void SetFollowing(bool following);
  boost::asio::awaitable<void> Serve(http_request request,
                                     response_writer& writer);
  boost::asio::awaitable<void> ServeConfiguration(response_writer& writer);
  boost::asio::awaitable<void> ServeConfigurationChanges(
      std::string_view target,
      response_writer& writer);
  boost::asio::awaitable<void> ServeServices(response_writer& writer);
  /// \brief Waits until the link is free for a whole content; false if that
  /// takes too long.
  boost::asio::awaitable<bool> AwaitLink(std::size_t bytes);
  boost::asio::awaitable<void> WaitForChanges(const relay_query& query,
                                              time_point deadline);
  void Activate();
  void StopIfIdle();
  void WakeWaiters();
  void SetVersion(const platform::store_object& object);
  void SetConfiguration(const platform::store_object& object);
  bool watches_evacuations() const {
    return durations_.evacuations > duration(0);
  }
  bool HasChangesAfter(const relay_query& query) const;
  /// \brief Time until which the view is current; empty if it is not.
  std::optional<time_point> FreshUntil(time_point now) const;
  /// \brief The same for a process that may know a newer era.
  std::optional<time_point> FreshUntil(const relay_query& query,
                                       time_point now) const;
  /// \brief Completes a query without eras, so that only revisions are
  /// compared: its sender would otherwise be answered at once forever.
  void AdoptEras(relay_query& query) const;
  relay_answer Answer(const relay_query& query, time_point received) const;
  const std::vector<std::string>& RelaysFor(
      const data_centre_id& data_centre) const;

  boost::asio::io_context& context_;
  const watch_durations durations_;
  const duration superseded_after_;
  const data_centre_id data_centre_;
  timer_service timers_;
  http_server server_;
  kind_watch configuration_watch_;
  kind_watch upstream_watch_;
  kind_watch version_watch_;
  kind_watch evacuation_watch_;
  time_point active_until_;
  bool active_ = false;
  std::set<boost::asio::steady_timer*> waiters_;

  watch_freshness configuration_freshness_;
  std::optional<time_point> configuration_confirmed_;
  store_position configuration_position_;  // of its last change
  content_history configuration_;          // as JSON
  std::string compressed_configuration_;   // empty until it is asked for
  std::string encoded_configuration_;      // the same as a change
  std::string compressed_services_;        // without routes and keys
  link_pacer content_pacer_;               // of whole contents
  std::optional<time_point> upstreams_confirmed_;
  std::vector<upstream_change> pending_changes_;  // of a response in progress
  std::optional<std::vector<upstream_entry>> pending_list_;
  upstream_history upstreams_;
  /// By data centre of the processes that use them; computed when needed.
  mutable std::map<data_centre_id, std::vector<std::string>> relays_;
  std::optional<time_point> versions_confirmed_;
  std::map<model_name, version_history> versions_;
  change_age version_age_;
  store_position versions_position_;  // of their last change
  std::optional<time_point> evacuations_confirmed_;
  store_position evacuations_position_;  // of their last change
  evacuated_set evacuated_;
  std::optional<duration> outage_;  // length of the last one
  time_point outage_ended_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_NODE_CATALOG_RELAY_H_
