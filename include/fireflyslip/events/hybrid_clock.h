#ifndef FIREFLYSLIP_EVENTS_HYBRID_CLOCK_H_
#define FIREFLYSLIP_EVENTS_HYBRID_CLOCK_H_

#include <compare>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace fireflyslip {

/// \brief Timestamp of a hybrid logical clock. If one event happened before
/// another, its timestamp is lower, regardless of clock skew between their VMs.
struct hybrid_time {
  std::uint64_t physical_ms = 0;  ///< Milliseconds since the Unix epoch.
  std::uint32_t counter = 0;      ///< Logical counter within a millisecond.

  auto operator<=>(const hybrid_time&) const = default;
};

/// \brief Formats a time as `PHYSICAL.COUNTER`.
std::string ToString(const hybrid_time& time);

/// \brief Parses the output of `ToString(hybrid_time)`.
std::optional<hybrid_time> ParseHybridTime(std::string_view text);

/// \brief Hybrid logical clock of one process. Thread-safe.
class hybrid_clock {
 public:
  /// A remote clock that is further ahead than this is considered faulty.
  /// Adopting its time would propagate it to all processes permanently.
  static constexpr std::uint64_t kMaxClockOffsetMs = 60000;

  /// \brief Returns a timestamp for a new event or message, greater than all
  /// earlier ones.
  hybrid_time Next(std::uint64_t now_ms);

  /// \brief Advances the clock to the timestamp of a received message. Returns
  /// false and changes nothing if it is too far ahead of `now_ms`.
  bool Observe(const hybrid_time& remote, std::uint64_t now_ms);

 private:
  std::mutex mutex_;
  hybrid_time last_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_EVENTS_HYBRID_CLOCK_H_
