#include "gateway/upstream_probe.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <utility>

#include "fireflyslip/http.h"

namespace fireflyslip {
namespace {

using boost::asio::awaitable;
using boost::asio::ip::tcp;

/// A process that ends may close its connections before it stops listening, and
/// is back after a second at the earliest.
constexpr std::array<milliseconds, 2> kDelays = {milliseconds(20),
                                                 milliseconds(300)};
/// A VM without power does not respond at all.
constexpr milliseconds kConnectTimeout{400};

awaitable<void> Sleep(boost::asio::io_context& context, duration length) {
  boost::asio::steady_timer timer(context, length);
  boost::system::error_code ignored;
  co_await timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

awaitable<bool> IsListening(boost::asio::io_context& context,
                            const tcp::endpoint& endpoint) {
  const auto socket = std::make_shared<tcp::socket>(context);
  boost::asio::steady_timer timeout(context, kConnectTimeout);
  timeout.async_wait([socket](const boost::system::error_code& code) {
    if (!code) {
      boost::system::error_code ignored;
      socket->close(ignored);
    }
  });
  boost::system::error_code code;
  co_await socket->async_connect(
      endpoint, boost::asio::redirect_error(boost::asio::use_awaitable, code));
  timeout.cancel();
  co_return !code;
}

}  // namespace

void upstream_probe::Start(const upstream_entry& upstream) {
  const crash_id key = CrashOf(upstream.id, upstream.started_ms);
  if (running_.insert(key).second) {
    boost::asio::co_spawn(context_, Run(upstream, key), boost::asio::detached);
  }
}

awaitable<void> upstream_probe::Run(upstream_entry upstream, crash_id key) {
  const auto parsed = ParseHttpEndpoint(upstream.address);
  boost::system::error_code code;
  const auto address = boost::asio::ip::make_address(
      parsed ? parsed->address : std::string(), code);
  if (!code) {
    const tcp::endpoint endpoint(address, parsed->port);
    for (const milliseconds delay : kDelays) {
      co_await Sleep(context_, delay);
      const bool listening = co_await IsListening(context_, endpoint);
      if (!listening) {
        on_lost_(upstream);
        break;
      }
    }
  }
  running_.erase(key);
}

}  // namespace fireflyslip
