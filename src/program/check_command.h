#ifndef FIREFLYSLIP_PROGRAM_CHECK_COMMAND_H_
#define FIREFLYSLIP_PROGRAM_CHECK_COMMAND_H_

#include <CLI/CLI.hpp>

namespace fireflyslip {

/// \brief Adds the command `check`, which validates settings and configuration
/// files. Its exit code is stored in `exit_code`.
void AddCheckCommand(CLI::App& app, int& exit_code);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_CHECK_COMMAND_H_
