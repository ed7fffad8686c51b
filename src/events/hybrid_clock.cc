#include "fireflyslip/events/hybrid_clock.h"

#include <algorithm>
#include <charconv>
#include <limits>

namespace fireflyslip {
namespace {

template <typename Number>
bool ParseNumber(std::string_view text, Number& value) {
  const char* end = text.data() + text.size();
  const auto [rest, code] = std::from_chars(text.data(), end, value);
  return code == std::errc() && rest == end;
}

}  // namespace

std::string ToString(const hybrid_time& time) {
  return std::to_string(time.physical_ms) + "." + std::to_string(time.counter);
}

std::optional<hybrid_time> ParseHybridTime(std::string_view text) {
  const auto point = text.find('.');
  hybrid_time time;
  if (point == std::string_view::npos ||
      !ParseNumber(text.substr(0, point), time.physical_ms) ||
      !ParseNumber(text.substr(point + 1), time.counter)) {
    return std::nullopt;
  }
  return time;
}

hybrid_time hybrid_clock::Next(std::uint64_t now_ms) {
  const std::lock_guard lock(mutex_);
  if (now_ms > last_.physical_ms) {
    last_ = {now_ms, 0};
  } else if (last_.counter == std::numeric_limits<std::uint32_t>::max()) {
    last_ = {last_.physical_ms + 1, 0};
  } else {
    ++last_.counter;
  }
  return last_;
}

bool hybrid_clock::Observe(const hybrid_time& remote, std::uint64_t now_ms) {
  const std::lock_guard lock(mutex_);
  if (remote.physical_ms > now_ms &&
      remote.physical_ms - now_ms > kMaxClockOffsetMs) {
    return false;
  }
  last_ = std::max(last_, remote);
  return true;
}

}  // namespace fireflyslip
