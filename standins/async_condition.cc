#include "standins/async_condition.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace fireflyslip::standins {
namespace net = boost::asio;

net::awaitable<void> async_condition::WaitUntil(
    std::chrono::steady_clock::time_point deadline) {
  const auto executor = co_await net::this_coro::executor;
  net::steady_timer timer(executor, deadline);
  waiters_.insert(&timer);
  co_await timer.async_wait(net::as_tuple(net::use_awaitable));
  waiters_.erase(&timer);
}

net::awaitable<void> async_condition::Wait() {
  constexpr auto kNoDeadline = std::chrono::hours(24 * 365);
  co_await WaitUntil(std::chrono::steady_clock::now() + kNoDeadline);
}

void async_condition::NotifyAll() {
  for (net::steady_timer* timer : waiters_) {
    timer->cancel();
  }
}

net::awaitable<void> SleepUntil(
    std::chrono::steady_clock::time_point deadline) {
  const auto executor = co_await net::this_coro::executor;
  net::steady_timer timer(executor, deadline);
  co_await timer.async_wait(net::as_tuple(net::use_awaitable));
}

}  // namespace fireflyslip::standins
