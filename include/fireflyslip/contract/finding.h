#ifndef FIREFLYSLIP_CONTRACT_FINDING_H_
#define FIREFLYSLIP_CONTRACT_FINDING_H_

#include <compare>
#include <string>
#include <string_view>
#include <vector>

#include "fireflyslip/core/error.h"

namespace fireflyslip {

/// \brief Kind of error in a JSON document.
enum class finding_kind {
  kSyntax,         ///< Not JSON, too large, too deep, duplicate field.
  kUnknownField,   ///< A field that the format does not define.
  kMissingField,   ///< A mandatory field is absent.
  kWrongType,      ///< A value of the wrong JSON type.
  kInvalidValue,   ///< A value of the right type outside its domain.
  kInconsistency,  ///< Values that contradict each other.
};

/// \brief Stable name of a kind, in snake case.
std::string_view ToString(finding_kind kind);

/// \brief An error in a JSON document.
struct finding {
  finding_kind kind = finding_kind::kSyntax;
  std::string path;  ///< JSON path such as `$.models.cue.version`.
  std::string reason;

  auto operator<=>(const finding&) const = default;
};

/// \brief Summarizes findings, of which there must be at least one, as an
/// error.
///
/// The detail contains the first finding and the number of further ones.
error ToError(const std::vector<finding>& findings);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CONTRACT_FINDING_H_
