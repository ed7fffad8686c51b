#ifndef FIREFLYSLIP_RUNTIME_IO_THREAD_H_
#define FIREFLYSLIP_RUNTIME_IO_THREAD_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <thread>
#include <utility>

namespace fireflyslip {

/// \brief An `io_context` with a single thread that runs it.
class io_thread {
 public:
  io_thread() : context_(1), work_(boost::asio::make_work_guard(context_)) {}
  ~io_thread() { Stop(); }
  io_thread(const io_thread&) = delete;
  io_thread& operator=(const io_thread&) = delete;

  boost::asio::io_context& context() { return context_; }

  void Start() {
    thread_ = std::thread([this] { context_.run(); });
  }

  /// \brief Stops and joins the thread; pending handlers are discarded.
  void Stop() {
    context_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  template <typename Function>
  void Post(Function&& function) {
    boost::asio::post(context_, std::forward<Function>(function));
  }

 private:
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::thread thread_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_RUNTIME_IO_THREAD_H_
