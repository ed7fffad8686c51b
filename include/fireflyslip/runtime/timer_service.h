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

/// \brief Timer of one thread, to which parts subscribe.
///
/// A subscriber states its next deadline; the service calls it when the
/// deadline has passed. All functions are called on the thread of the
/// `io_context`.
class timer_service {
 public:
  using deadline_function = std::function<std::optional<time_point>()>;
  using due_function = std::function<void()>;

  using subscription_id = std::uint64_t;

  explicit timer_service(boost::asio::io_context& context);

  /// \brief Returns the id by which the subscription can be ended.
  subscription_id Subscribe(deadline_function next_deadline,
                            due_function on_due);

  /// \brief Ends a subscription; its functions are not called any more.
  void Unsubscribe(subscription_id id);

  /// \brief Calls `on_due` once in each period, first after one period.
  void SubscribePeriodic(duration period, due_function on_due);

  /// \brief Reads all deadlines again. A subscriber calls this when its next
  /// deadline may have moved.
  void Refresh();

  /// \brief Ends all timers, so that the `io_context` can run out of work.
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
