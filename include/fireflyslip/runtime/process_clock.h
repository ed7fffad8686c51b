#ifndef FIREFLYSLIP_RUNTIME_PROCESS_CLOCK_H_
#define FIREFLYSLIP_RUNTIME_PROCESS_CLOCK_H_

#include <chrono>
#include <cstdint>

#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Present time for decision cores, from the monotonic clock.
inline time_point MonotonicNow() {
  return time_point(std::chrono::duration_cast<duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

/// \brief Wall-clock time in milliseconds since the epoch, for timelines only.
inline std::uint64_t WallMilliseconds() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_RUNTIME_PROCESS_CLOCK_H_
