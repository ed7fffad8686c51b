#ifndef FIREFLYSLIP_RUNTIME_LOG_H_
#define FIREFLYSLIP_RUNTIME_LOG_H_

#include <string_view>

namespace fireflyslip {

/// \brief Configures logging to standard output, one line per event. Writers
/// never block: lines in excess of the rate limit are dropped and counted, and
/// a full queue overwrites its oldest lines.
void StartLogging();

/// \brief Writes one line of key=value pairs. Thread-safe.
void LogLine(std::string_view line);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_RUNTIME_LOG_H_
