#ifndef FIREFLYSLIP_STAGER_LOAD_PUBLISHER_H_
#define FIREFLYSLIP_STAGER_LOAD_PUBLISHER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <string>

#include "fireflyslip/core/result.h"
#include "fireflyslip/placement/upstream_load.h"
#include "node/node_settings.h"
#include "platform/engine_client.h"

namespace fireflyslip {

/// \brief Reads the load of the own replica and sends it to the entries that
/// have subscribed.
class load_publisher {
 public:
  using observer = std::function<void(const upstream_load&)>;

  /// \param on_load called with each reading.
  load_publisher(boost::asio::io_context& context,
                 const node_settings& settings,
                 platform::engine_client& engine,
                 observer on_load);

  /// \brief Binds the socket and starts; fails if the address cannot be bound.
  status Start();

  /// \brief Whether reports say that the replica loads although it does not
  /// yet. A change is reported at once.
  void SetAboutToLoad(bool about_to_load);

 private:
  boost::asio::awaitable<void> ReceiveSubscriptions();
  boost::asio::awaitable<void> Poll();
  /// \param at_once whether reports go to all, also before their time.
  void Send(const upstream_load& load, bool at_once);

  boost::asio::io_context& context_;
  const node_settings& settings_;
  platform::engine_client& engine_;
  observer on_load_;
  boost::asio::ip::udp::socket socket_;
  struct subscriber {
    boost::asio::ip::udp::endpoint endpoint;
    time_point heard;
    std::uint64_t sent_us = 0;
    duration interval = {};
    time_point next_report;
  };
  std::map<vm_id, subscriber> subscribers_;
  bool reachable_ = true;
  bool about_to_load_ = false;
  upstream_load last_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_STAGER_LOAD_PUBLISHER_H_
