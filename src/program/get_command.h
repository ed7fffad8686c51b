#ifndef FIREFLYSLIP_PROGRAM_GET_COMMAND_H_
#define FIREFLYSLIP_PROGRAM_GET_COMMAND_H_

#include <CLI/CLI.hpp>

namespace fireflyslip {

/// \brief Adds the command `get`, which prints the configuration. Its exit code
/// is stored in `exit_code`.
void AddGetCommand(CLI::App& app, int& exit_code);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_GET_COMMAND_H_
