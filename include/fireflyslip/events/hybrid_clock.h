#ifndef FIREFLYSLIP_EVENTS_HYBRID_CLOCK_H_
#define FIREFLYSLIP_EVENTS_HYBRID_CLOCK_H_

#include <compare>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace fireflyslip {

/// \brief Time of a hybrid logical clock: if one event caused another, its time
/// is lower, whatever the difference between the clocks of their VMs.
struct hybrid_time {
  std::uint64_t physical_ms = 0;  ///< Milliseconds since the Unix epoch.
  std::uint32_t counter = 0;      ///< Order within a millisecond.

  auto operator<=>(const hybrid_time&) const = default;
};

/// \brief Writes a time as `PHYSICAL.COUNTER`.
std::string ToString(const hybrid_time& time);

/// \brief Parses the output of `ToString(hybrid_time)`.
std::optional<hybrid_time> ParseHybridTime(std::string_view text);

/// \brief Hybrid logical clock of one process. Threads may share it.
class hybrid_clock {
 public:
  /// A remote clock further ahead than this is faulty. Adopting its time would
  /// spread it to all processes for good.
  static constexpr std::uint64_t kMaxClockOffsetMs = 60000;

  /// \brief Time for a new event or message, above all earlier ones.
  hybrid_time Next(std::uint64_t now_ms);

  /// \brief Moves the clock past the time of a received message. Returns false
  /// and changes nothing if that time is too far ahead of `now_ms`.
  bool Observe(const hybrid_time& remote, std::uint64_t now_ms);

 private:
  std::mutex mutex_;
  hybrid_time last_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_EVENTS_HYBRID_CLOCK_H_
