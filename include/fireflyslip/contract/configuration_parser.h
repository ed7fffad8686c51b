#ifndef FIREFLYSLIP_CONTRACT_CONFIGURATION_PARSER_H_
#define FIREFLYSLIP_CONTRACT_CONFIGURATION_PARSER_H_

#include <string>
#include <string_view>
#include <vector>

#include "fireflyslip/contract/configuration.h"
#include "fireflyslip/contract/finding.h"
#include "fireflyslip/core/result.h"

namespace fireflyslip {

/// \brief Returns all errors of a configuration document; empty if it is valid.
std::vector<finding> CheckConfiguration(std::string_view json);

/// \brief Parses a configuration document. Fails with `kInvalidRequest` and the
/// first finding as its detail if the document is invalid.
result<configuration> ParseConfiguration(std::string_view json);

/// \brief Serializes a configuration; parsing the result yields an equal one.
std::string ToJson(const configuration& value);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CONTRACT_CONFIGURATION_PARSER_H_
