#ifndef FIREFLYSLIP_CONTRACT_CALL_PATTERN_H_
#define FIREFLYSLIP_CONTRACT_CALL_PATTERN_H_

#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace fireflyslip {

/// \brief Method and path prefix of calls to a plain service.
struct call_pattern {
  std::string method;  ///< Upper case.
  std::string path;    ///< Normalized prefix, ends at a segment boundary.

  /// \brief Whether a call matches. The target may contain a query.
  ///
  /// The method is compared case-insensitively and the path after
  /// `NormalizePath()`, so that an equivalent spelling that the service accepts
  /// does not bypass the pattern.
  bool Matches(std::string_view call_method, std::string_view target) const;

  auto operator<=>(const call_pattern&) const = default;
};

/// \brief Parses `METHOD /path`.
std::optional<call_pattern> ParseCallPattern(std::string_view text);

/// \brief Formats a pattern as `METHOD /path`.
std::string ToString(const call_pattern& pattern);

/// \brief Path of a request target without query and fragment, with percent
/// encoding decoded, dot segments resolved, and empty segments removed.
std::string NormalizePath(std::string_view target);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CONTRACT_CALL_PATTERN_H_
