#ifndef FIREFLYSLIP_CONTRACT_FINDING_H_
#define FIREFLYSLIP_CONTRACT_FINDING_H_

#include <compare>
#include <string>
#include <string_view>
#include <vector>

#include "fireflyslip/core/error.h"

namespace fireflyslip {

/// \brief Kind of fault in a JSON document.
enum class finding_kind {
  kSyntax,         ///< Not JSON, too large, too deep or a duplicate field.
  kUnknownField,   ///< A field that the format does not have.
  kMissingField,   ///< A mandatory field is absent.
  kWrongType,      ///< A value of another JSON type.
  kInvalidValue,   ///< A value of the right type outside its domain.
  kInconsistency,  ///< Values that contradict each other.
};

/// \brief Stable name of a kind, in snake case.
std::string_view ToString(finding_kind kind);

/// \brief A fault in a JSON document.
struct finding {
  finding_kind kind = finding_kind::kSyntax;
  std::string path;  ///< JSON path such as `$.models.cue.version`.
  std::string reason;

  auto operator<=>(const finding&) const = default;
};

/// \brief One error for a list of findings, which must not be empty.
///
/// The detail holds the first finding and the number of the others.
error ToError(const std::vector<finding>& findings);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CONTRACT_FINDING_H_
