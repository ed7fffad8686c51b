#ifndef FIREFLYSLIP_STANDINS_ASYNC_CONDITION_H_
#define FIREFLYSLIP_STANDINS_ASYNC_CONDITION_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <set>

namespace fireflyslip::standins {

/// \brief Condition variable for coroutines that run on the same thread.
class async_condition {
 public:
  /// \brief Returns after the next `NotifyAll()` or at the deadline.
  boost::asio::awaitable<void> WaitUntil(
      std::chrono::steady_clock::time_point deadline);

  /// \brief Waits without a deadline.
  boost::asio::awaitable<void> Wait();

  void NotifyAll();

 private:
  std::set<boost::asio::steady_timer*> waiters_;
};

/// \brief Suspends the calling coroutine until the given time.
boost::asio::awaitable<void> SleepUntil(
    std::chrono::steady_clock::time_point deadline);

}  // namespace fireflyslip::standins

#endif  // FIREFLYSLIP_STANDINS_ASYNC_CONDITION_H_
