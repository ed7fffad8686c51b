#ifndef FIREFLYSLIP_PROGRAM_STATUS_COMMAND_H_
#define FIREFLYSLIP_PROGRAM_STATUS_COMMAND_H_

#include <CLI/CLI.hpp>

namespace fireflyslip {

/// \brief Adds the command `status`, which prints the state of each process.
/// Its exit code is stored in `exit_code`.
void AddStatusCommand(CLI::App& app, int& exit_code);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_STATUS_COMMAND_H_
