#include "gateway/gateway_shutdown.h"

#include <utility>

#include "fireflyslip/runtime.h"
#include "gateway/gateway.h"

namespace fireflyslip {
namespace {

/// The load balancer polls readiness once a second and removes a gateway after
/// two failed checks, so it stops sending new connections after about this
/// time.
constexpr milliseconds kBalancerNotice{2500};
/// Reserved at the end of the drain timeout for process exit.
constexpr milliseconds kExitReserve{400};
constexpr milliseconds kDrainCheckInterval{50};

}  // namespace

gateway_shutdown::gateway_shutdown(boost::asio::io_context& context,
                                   gateway& target,
                                   duration drain_timeout,
                                   std::function<void()> on_finished)
    : gateway_(target),
      drain_timeout_(drain_timeout),
      on_finished_(std::move(on_finished)),
      timer_(context) {}

void gateway_shutdown::Start() {
  exit_at_ = MonotonicNow() + drain_timeout_ - kExitReserve;
  gateway_.DisableKeepAlive();
  timer_.expires_after(kBalancerNotice);
  timer_.async_wait([this](const boost::system::error_code& code) {
    if (!code) {
      gateway_.StopAccepting();
      CheckDrained();
    }
  });
}

void gateway_shutdown::CheckDrained() {
  if (gateway_.requests_in_progress() == 0 || MonotonicNow() >= exit_at_) {
    on_finished_();
    return;
  }
  timer_.expires_after(kDrainCheckInterval);
  timer_.async_wait([this](const boost::system::error_code& code) {
    if (!code) {
      CheckDrained();
    }
  });
}

}  // namespace fireflyslip
