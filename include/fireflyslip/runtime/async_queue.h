#ifndef FIREFLYSLIP_RUNTIME_ASYNC_QUEUE_H_
#define FIREFLYSLIP_RUNTIME_ASYNC_QUEUE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <deque>
#include <optional>
#include <utility>

#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Queue with a single waiting coroutine. Not thread-safe.
template <typename T>
class async_queue {
 public:
  explicit async_queue(boost::asio::io_context& context) : wake_(context) {}

  void Push(T value) {
    values_.push_back(std::move(value));
    wake_.cancel();
  }

  /// \brief Returns the next value, or nothing if none arrives within the
  /// timeout.
  boost::asio::awaitable<std::optional<T>> Pop(duration timeout) {
    if (values_.empty()) {
      boost::system::error_code ignored;
      wake_.expires_after(timeout);
      co_await wake_.async_wait(
          boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
    if (values_.empty()) {
      co_return std::nullopt;
    }
    T value = std::move(values_.front());
    values_.pop_front();
    co_return value;
  }

 private:
  boost::asio::steady_timer wake_;
  std::deque<T> values_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_RUNTIME_ASYNC_QUEUE_H_
