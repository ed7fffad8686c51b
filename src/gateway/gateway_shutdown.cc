#include "gateway/gateway_shutdown.h"

#include <algorithm>
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
/// Reserved before that for sending an answer to every request in progress.
constexpr milliseconds kAnswerReserve{250};
/// Limits of the reserves as fractions of the drain timeout.
constexpr double kMaxExitReserveFraction = 1.0 / 12;
constexpr double kMaxAnswerReserveFraction = 1.0 / 16;
constexpr milliseconds kDrainCheckInterval{50};

duration Reserve(duration preferred, duration total, double max_fraction) {
  return std::min(preferred, FromSeconds(ToSeconds(total) * max_fraction));
}

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
  const time_point now = MonotonicNow();
  exit_at_ = now + drain_timeout_ -
             Reserve(kExitReserve, drain_timeout_, kMaxExitReserveFraction);
  const time_point answer_by =
      exit_at_ -
      Reserve(kAnswerReserve, drain_timeout_, kMaxAnswerReserveFraction);
  gateway_.StartDraining(answer_by);
  timer_.expires_after(std::min<duration>(kBalancerNotice, answer_by - now));
  timer_.async_wait([this](const boost::system::error_code& code) {
    if (!code) {
      gateway_.StopAccepting();
      ScheduleCheck();
    }
  });
}

void gateway_shutdown::ScheduleCheck() {
  timer_.expires_after(kDrainCheckInterval);
  timer_.async_wait([this](const boost::system::error_code& code) {
    if (!code) {
      CheckDrained();
    }
  });
}

void gateway_shutdown::CheckDrained() {
  if (gateway_.requests_in_progress() == 0 || MonotonicNow() >= exit_at_) {
    on_finished_();
    return;
  }
  ScheduleCheck();
}

}  // namespace fireflyslip
