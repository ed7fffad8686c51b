#ifndef FIREFLYSLIP_RUNTIME_PROCESS_CLOCK_H_
#define FIREFLYSLIP_RUNTIME_PROCESS_CLOCK_H_

#include <time.h>

#include <chrono>
#include <cstdint>

#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Returns the current time for decision cores. The monotonic clock
/// includes the time while the VM is suspended, so that ages and leases remain
/// correct.
inline time_point MonotonicNow() {
  timespec now = {};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return time_point(std::chrono::duration_cast<duration>(
      seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

/// \brief Returns the wall-clock time in milliseconds since the Unix epoch;
/// used for timelines only.
inline std::uint64_t WallMilliseconds() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_RUNTIME_PROCESS_CLOCK_H_
