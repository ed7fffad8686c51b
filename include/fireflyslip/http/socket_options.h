#ifndef FIREFLYSLIP_HTTP_SOCKET_OPTIONS_H_
#define FIREFLYSLIP_HTTP_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief TCP keep-alive options, which bound the time to detect a dead peer.
///
/// A connection to an unreachable peer stays open without an error until data
/// or keep-alive probes remain unacknowledged for too long.
struct tcp_keepalive_options {
  std::chrono::seconds idle_time{1};       ///< TCP_KEEPIDLE.
  std::chrono::seconds probe_interval{1};  ///< TCP_KEEPINTVL.
  int max_probes = 2;                      ///< TCP_KEEPCNT.
  /// TCP_USER_TIMEOUT: limit for sent data to remain unacknowledged.
  milliseconds user_timeout{2000};

  auto operator<=>(const tcp_keepalive_options&) const = default;
};

/// \brief Sets TCP_NODELAY and the keep-alive options on a connected socket.
/// Failures are ignored, because every request has its own deadline.
void SetSocketOptions(boost::asio::ip::tcp::socket& socket,
                      const tcp_keepalive_options& options = {});

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_HTTP_SOCKET_OPTIONS_H_
