#ifndef FIREFLYSLIP_NODE_RELAY_CLIENT_H_
#define FIREFLYSLIP_NODE_RELAY_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fireflyslip/catalog.h"
#include "fireflyslip/http.h"
#include "fireflyslip/runtime.h"
#include "node/node_settings.h"
#include "node/relay_message.h"

namespace fireflyslip {

/// \brief Polls a catalog relay, preferably of the data centre, and reports
/// when the process must watch the store itself.
class relay_client {
 public:
  struct handlers {
    /// The positions that the process knows; `hold` is set by the client.
    std::function<relay_query()> query;
    /// A fresh answer. `query_sent` is when the poll was sent; the state in it
    /// was current `held - age` later or more.
    std::function<void(const relay_answer&, time_point query_sent)> on_answer;
    /// The process must watch the store itself, or no longer.
    std::function<void(bool)> on_watch_store;
  };

  relay_client(boost::asio::io_context& context,
               data_centre_id data_centre,
               std::uint16_t relay_port,
               relay_policy policy,
               handlers callbacks,
               std::uint64_t seed);

  /// \brief Sets the IP addresses of the relays in order of preference.
  void SetRelays(std::vector<std::string> addresses);

  /// \brief Whether a relay with a current view is in use.
  bool HasRelay() const { return selector_.core().IsServed(MonotonicNow()); }

  /// \brief Reads the changes of the upstreams after a position from the relay
  /// in use.
  boost::asio::awaitable<result<upstream_changes>> ReadUpstreams(
      store_position position);
  /// \brief Reads the newest configuration from the relay in use, of which only
  /// the changes after the one that is known are sent.
  boost::asio::awaitable<result<versioned_content>> ReadConfiguration(
      const versioned_content& known);
  /// \brief Reads the services of the newest configuration, which has no routes
  /// and keys, from the relay in use.
  boost::asio::awaitable<result<nlohmann::json>> ReadServices();

 private:
  void Apply(const relay_selector::action& action);
  boost::asio::awaitable<void> Poll(relay_selector::poll order);
  /// \brief Sends a GET request to the relay in use.
  boost::asio::awaitable<result<http_response>> Read(std::string target,
                                                     duration timeout);

  boost::asio::io_context& context_;
  data_centre_id data_centre_;
  std::uint16_t relay_port_;
  handlers handlers_;
  http_client client_;
  timer_service timers_;
  core_driver<relay_selector> selector_;
};

/// \brief IP addresses of the relays for the processes of a data centre in
/// order of preference: the VMs of a few of its model replicas, and between
/// them the first relays of other data centres. All processes that know the
/// same upstreams compute the same order.
std::vector<std::string> SelectRelays(const upstream_map& upstreams,
                                      const data_centre_id& data_centre);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_NODE_RELAY_CLIENT_H_
