#ifndef FIREFLYSLIP_STAGER_LOAD_PUBLISHER_H_
#define FIREFLYSLIP_STAGER_LOAD_PUBLISHER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <string>

#include "fireflyslip/core/result.h"
#include "fireflyslip/placement/permit_pool.h"
#include "fireflyslip/placement/upstream_load.h"
#include "node/evidence_queue.h"
#include "node/load_report.h"
#include "node/node_settings.h"
#include "platform/engine_client.h"

namespace fireflyslip {

/// \brief Polls the load of the local replica and sends it to the subscribed
/// gateways.
class load_publisher {
 public:
  using observer = std::function<void(const upstream_load&)>;

  /// \param on_load called after every poll.
  load_publisher(boost::asio::io_context& context,
                 const node_settings& settings,
                 platform::engine_client& engine,
                 observer on_load);

  /// \brief Binds the socket and starts polling; fails if the address cannot be
  /// bound.
  status Start();

  /// \brief Sets the requests per second that the replica tolerates while it is
  /// cold, from all gateways; 0 if there is no limit.
  void SetColdRate(double requests_per_s) {
    cold_permits_.SetRate(requests_per_s);
  }

  /// \brief Sets whether reports announce that the replica is loading weights
  /// before it starts to. A change is reported immediately.
  void SetLoadPending(bool load_pending);

 private:
  boost::asio::awaitable<void> ReceiveSubscriptions();
  boost::asio::awaitable<void> Poll();
  /// \brief Time until the next read of the load: the shortest interval of the
  /// subscribers.
  duration PollInterval() const;
  /// \param immediately whether to report to all subscribers, regardless of
  /// their intervals.
  void Send(const upstream_load& load, bool immediately);
  void OnSubscription(const load_subscription& subscription,
                      const boost::asio::ip::udp::endpoint& from);
  /// \brief Passes evidence on to the subscribers if it is new, within the
  /// limit of bytes.
  void OnCrashNotice(const crash_notice& notice);
  /// \brief Sends evidence that waits to all subscribers.
  void SendEvidence();
  /// \brief Lets recent evidence be sent once more now and then, because
  /// datagrams may be lost, and that about requests which crash upstreams at
  /// any time, because a gateway may have been cut off in one direction.
  void RepeatEvidence();
  void SendNotice(const crash_notice& notice,
                  const boost::asio::ip::udp::endpoint& to);

  boost::asio::io_context& context_;
  const node_settings& settings_;
  platform::engine_client& engine_;
  observer on_load_;
  boost::asio::ip::udp::socket socket_;
  struct subscriber {
    boost::asio::ip::udp::endpoint endpoint;
    time_point subscribed_at;
    std::uint64_t sent_us = 0;
    duration interval = {};
    time_point next_report;
  };
  std::map<vm_id, subscriber> subscribers_;
  permit_pool cold_permits_;
  bool reachable_ = true;
  bool load_pending_ = false;
  upstream_load last_load_;
  crash_attribution crashes_;
  crash_attribution request_crashes_{RequestCrashPolicy()};
  evidence_queue part_queue_{kPartEvidenceBytesPerSecond};
  evidence_queue request_queue_{kRequestEvidenceBytesPerSecond};
  time_point evidence_repeated_at_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_STAGER_LOAD_PUBLISHER_H_
