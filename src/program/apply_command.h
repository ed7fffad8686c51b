#ifndef FIREFLYSLIP_PROGRAM_APPLY_COMMAND_H_
#define FIREFLYSLIP_PROGRAM_APPLY_COMMAND_H_

#include <CLI/CLI.hpp>

#include <cstdint>
#include <optional>
#include <string>

#include "program/operator_client.h"
namespace fireflyslip {

/// \brief Writes a configuration with the change id `change_id` as a
/// conditional update of the revision `expected`, or of the current revision if
/// `expected` is empty. Returns the new revision.
///
/// If the response is lost, the configuration is read back and its change id is
/// compared. Fails with `kConflict` if another update came first, with
/// `kPlatformUnavailable` if the platform is unreachable, and with
/// `kOutcomeUnknown` if the update may have taken effect.
result<std::uint64_t> WriteUpdate(operator_client& client,
                                  const std::string& body,
                                  const std::string& change_id,
                                  std::optional<std::uint64_t> expected);

/// \brief Adds the command `apply`, which replaces the configuration. Its exit
/// code is stored in `exit_code`.
void AddApplyCommand(CLI::App& app, int& exit_code);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_APPLY_COMMAND_H_
