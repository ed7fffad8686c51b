#ifndef FIREFLYSLIP_HTTP_SOCKET_OPTIONS_H_
#define FIREFLYSLIP_HTTP_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Bounds the time for which a dead peer goes unnoticed.
///
/// A connection whose peer is out of reach stays open without an error until
/// data or probes remain unacknowledged for too long.
struct tcp_keepalive_options {
  std::chrono::seconds idle_time{1};  ///< Idle time before the first probe.
  std::chrono::seconds probe_interval{1};
  int max_probes = 2;  ///< Unanswered probes that end the connection.
  /// Time for which sent data may remain unacknowledged.
  milliseconds user_timeout{2000};

  auto operator<=>(const tcp_keepalive_options&) const = default;
};

/// \brief Sets no-delay and the liveness bounds on a connected socket. Failures
/// are ignored: the options are an aid, every call has its own deadline.
void SetSocketOptions(boost::asio::ip::tcp::socket& socket,
                      const tcp_keepalive_options& bounds = {});

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_HTTP_SOCKET_OPTIONS_H_
