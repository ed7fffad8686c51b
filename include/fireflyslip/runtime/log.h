#ifndef FIREFLYSLIP_RUNTIME_LOG_H_
#define FIREFLYSLIP_RUNTIME_LOG_H_

#include <string_view>

namespace fireflyslip {

/// \brief Directs logs to standard error, one line for each event.
void StartLogging();

/// \brief Writes one line of key=value pairs. May be called on any thread.
void LogLine(std::string_view line);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_RUNTIME_LOG_H_
