#ifndef FIREFLYSLIP_PROGRAM_TIMELINE_COMMAND_H_
#define FIREFLYSLIP_PROGRAM_TIMELINE_COMMAND_H_

#include <CLI/CLI.hpp>

namespace fireflyslip {

/// \brief Adds the command `timeline`, which prints the merged events of all
/// processes. Its exit code is stored in `exit_code`.
void AddTimelineCommand(CLI::App& app, int& exit_code);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_TIMELINE_COMMAND_H_
