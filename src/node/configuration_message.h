#ifndef FIREFLYSLIP_NODE_CONFIGURATION_MESSAGE_H_
#define FIREFLYSLIP_NODE_CONFIGURATION_MESSAGE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fireflyslip/catalog/content_history.h"
#include "fireflyslip/core/digest.h"

namespace fireflyslip {

/// \brief Path at which a relay provides the content of the newest
/// configuration, compressed, to processes that do not ask for changes.
inline constexpr char kConfigurationPath[] = "/configuration";
/// \brief Path at which a relay provides the changes of the configuration after
/// a version; 503 if its link is busy with whole contents.
inline constexpr char kConfigurationChangesPath[] = "/configuration/changes";
/// \brief Path at which a relay provides the newest configuration without
/// routes and keys, compressed.
inline constexpr char kServicesPath[] = "/configuration/services";

/// \brief Longest content of a configuration. The store limits an object to
/// about 1 MB.
inline constexpr std::size_t kMaxConfigurationBytes = 8UL << 20;

/// \brief Path and query of the request for the changes after a version.
std::string ConfigurationChangesTarget(const content_id& known);
/// \brief Parses `ConfigurationChangesTarget()`; empty if it is malformed.
std::optional<content_id> ParseConfigurationChangesTarget(
    std::string_view target);

/// \brief Encodes changes as compressed CBOR.
std::string EncodeConfigurationChanges(
    const std::vector<content_change>& changes);
/// \brief Decodes changes; empty if they are malformed.
std::optional<std::vector<content_change>> DecodeConfigurationChanges(
    std::string_view bytes);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_NODE_CONFIGURATION_MESSAGE_H_
