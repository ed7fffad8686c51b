#ifndef FIREFLYSLIP_PROGRAM_SHUTDOWN_SIGNAL_H_
#define FIREFLYSLIP_PROGRAM_SHUTDOWN_SIGNAL_H_

#include <csignal>

namespace fireflyslip {

/// \brief Delivers SIGTERM and SIGINT to the thread that waits for them.
///
/// Constructed before any thread starts, so that all threads inherit the
/// blocked signals.
class shutdown_signal {
 public:
  shutdown_signal() {
    sigemptyset(&signals_);
    sigaddset(&signals_, SIGTERM);
    sigaddset(&signals_, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
  }

  void Wait() const {
    int received = 0;
    sigwait(&signals_, &received);
  }

 private:
  sigset_t signals_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_SHUTDOWN_SIGNAL_H_
