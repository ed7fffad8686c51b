#ifndef FIREFLYSLIP_CATALOG_TEXT_DELTA_H_
#define FIREFLYSLIP_CATALOG_TEXT_DELTA_H_

#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fireflyslip {

/// \brief Step of a `text_delta`: bytes of the base, then bytes of its own.
struct text_edit {
  std::size_t offset = 0;  ///< In the base, in bytes.
  std::size_t length = 0;  ///< Of the part of the base, in bytes.
  std::string inserted;

  auto operator<=>(const text_edit&) const = default;
};

/// \brief Difference between two texts, as edits in the order of the result.
using text_delta = std::vector<text_edit>;

/// \brief Computes the edits that turn `base` into `target`.
///
/// Compares blocks that end with a closing brace, so that a changed member of a
/// JSON array costs about its own size, wherever it is. Linear in the sizes.
text_delta MakeTextDelta(std::string_view base, std::string_view target);

/// \brief Applies edits; empty if they refer to bytes outside of the base, or
/// if the result exceeds `max_bytes`.
std::optional<std::string> ApplyTextDelta(std::string_view base,
                                          const text_delta& delta,
                                          std::size_t max_bytes);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CATALOG_TEXT_DELTA_H_
