#include "fireflyslip/contract/finding.h"

#include <cassert>

namespace fireflyslip {

std::string_view ToString(finding_kind kind) {
  switch (kind) {
    case finding_kind::kSyntax:
      return "syntax";
    case finding_kind::kUnknownField:
      return "unknown_field";
    case finding_kind::kMissingField:
      return "missing_field";
    case finding_kind::kWrongType:
      return "wrong_type";
    case finding_kind::kInvalidValue:
      return "invalid_value";
    case finding_kind::kInconsistency:
      return "inconsistency";
  }
  assert(false);
  return "";
}

error ToError(const std::vector<finding>& findings) {
  assert(!findings.empty());
  std::string detail = findings.front().path + ": " + findings.front().reason;
  if (findings.size() > 1) {
    detail += " (and " + std::to_string(findings.size() - 1) + " more)";
  }
  return {error_kind::kInvalidRequest, detail};
}

}  // namespace fireflyslip
