#ifndef FIREFLYSLIP_RUNTIME_TIMER_SERVICE_H_
#define FIREFLYSLIP_RUNTIME_TIMER_SERVICE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Multiplexes the deadlines of several subscribers onto one timer.
///
/// A subscriber provides its next deadline and is called when it has passed.
/// All functions must be called on the thread of the `io_context`.
class timer_service {
 public:
  using deadline_function = std::function<std::optional<time_point>()>;
  using due_function = std::function<void()>;

  using subscription_id = std::uint64_t;

  explicit timer_service(boost::asio::io_context& context);

  /// \brief Adds a subscription and returns its id for `Unsubscribe()`.
  subscription_id Subscribe(deadline_function next_deadline,
                            due_function on_due);

  /// \brief Ends a subscription; its functions are no longer called.
  void Unsubscribe(subscription_id id);

  /// \brief Calls `on_due` once per period, for the first time after one
  /// period.
  void SubscribePeriodic(duration period, due_function on_due);

  /// \brief Re-evaluates all deadlines. Must be called when the next deadline
  /// of a subscriber may have changed.
  void Refresh();

  /// \brief Cancels the timer, so that the `io_context` can run out of work.
  void Stop();

 private:
  struct subscription {
    subscription_id id = 0;
    deadline_function next_deadline;
    due_function on_due;
  };

  void Arm();
  void Expire();

  boost::asio::steady_timer timer_;
  std::vector<subscription> subscriptions_;
  subscription_id next_id_ = 1;
  std::optional<time_point> armed_for_;
  bool expiring_ = false;
  bool stopped_ = false;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_RUNTIME_TIMER_SERVICE_H_
