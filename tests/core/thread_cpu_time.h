#ifndef TESTS_CORE_THREAD_CPU_TIME_H_
#define TESTS_CORE_THREAD_CPU_TIME_H_

#include <time.h>

#include <algorithm>
#include <chrono>
#include <functional>

#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Processor time that the calling thread has used. Other processes do
/// not change it much, so bounds on it hold beside load.
inline duration ThreadCpuTime() {
  timespec used = {};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return std::chrono::duration_cast<duration>(
      seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec));
}

/// \brief Least processor time of three calls.
inline duration CpuTimeOf(const std::function<void()>& function) {
  duration least = duration::max();
  for (int i = 0; i < 3; ++i) {
    const duration begin = ThreadCpuTime();
    function();
    least = std::min(least, ThreadCpuTime() - begin);
  }
  return least;
}

}  // namespace fireflyslip

#endif  // TESTS_CORE_THREAD_CPU_TIME_H_
