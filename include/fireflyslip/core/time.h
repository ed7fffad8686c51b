#ifndef FIREFLYSLIP_CORE_TIME_H_
#define FIREFLYSLIP_CORE_TIME_H_

#include <chrono>
#include <cstdint>

namespace fireflyslip {

/// \brief Resolution of all times in decision cores.
using duration = std::chrono::microseconds;

/// \brief Monotonic clock type without a `now()`.
///
/// Decision cores receive the current time with each event. Omitting `now()`
/// prevents them from reading a clock directly.
struct logical_clock {
  using rep = std::chrono::microseconds::rep;
  using period = std::chrono::microseconds::period;
  using duration = std::chrono::microseconds;
  using time_point = std::chrono::time_point<logical_clock, duration>;
  static constexpr bool is_steady = true;
};

using time_point = logical_clock::time_point;

using std::chrono::milliseconds;
using std::chrono::seconds;

/// \brief Converts a duration to seconds as a floating-point number.
constexpr double ToSeconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

/// \brief Converts seconds to a duration; truncates to whole microseconds.
constexpr duration FromSeconds(double value) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(value));
}

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CORE_TIME_H_
