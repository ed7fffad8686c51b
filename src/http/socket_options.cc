#include "fireflyslip/http/socket_options.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace fireflyslip {
namespace {

void SetInteger(int socket, int level, int option, int value) {
  (void)::setsockopt(socket, level, option, &value, sizeof(value));
}

}  // namespace

void SetSocketOptions(boost::asio::ip::tcp::socket& socket,
                      const tcp_keepalive_options& options) {
  const int handle = socket.native_handle();
  SetInteger(handle, IPPROTO_TCP, TCP_NODELAY, 1);
  SetInteger(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetInteger(handle, IPPROTO_TCP, TCP_KEEPIDLE,
             static_cast<int>(options.idle_time.count()));
  SetInteger(handle, IPPROTO_TCP, TCP_KEEPINTVL,
             static_cast<int>(options.probe_interval.count()));
  SetInteger(handle, IPPROTO_TCP, TCP_KEEPCNT, options.max_probes);
  SetInteger(handle, IPPROTO_TCP, TCP_USER_TIMEOUT,
             static_cast<int>(options.user_timeout.count()));
}

}  // namespace fireflyslip
