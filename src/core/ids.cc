#include "fireflyslip/core/ids.h"

#include <charconv>

namespace fireflyslip {
namespace {

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [position, code] = std::from_chars(text.data(), end, value);
  if (code != std::errc() || position != end || text.empty()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

std::string ToString(const request_id& id) {
  return id.vm.value() + "." + std::to_string(id.incarnation) + "." +
         std::to_string(id.sequence);
}

std::optional<request_id> ParseRequestId(std::string_view text) {
  // The VM name may contain dots, so the numbers are parsed from the end.
  const std::size_t last = text.rfind('.');
  if (last == std::string_view::npos || last == 0) {
    return std::nullopt;
  }
  const std::size_t middle = text.rfind('.', last - 1);
  if (middle == std::string_view::npos || middle == 0) {
    return std::nullopt;
  }
  const auto incarnation =
      ParseNumber(text.substr(middle + 1, last - middle - 1));
  const auto sequence = ParseNumber(text.substr(last + 1));
  if (!incarnation || !sequence) {
    return std::nullopt;
  }
  return request_id{vm_id(std::string(text.substr(0, middle))), *incarnation,
                    *sequence};
}

}  // namespace fireflyslip
