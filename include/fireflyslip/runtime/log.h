#ifndef FIREFLYSLIP_RUNTIME_LOG_H_
#define FIREFLYSLIP_RUNTIME_LOG_H_

#include <string_view>

namespace fireflyslip {

/// \brief Directs logs to standard output, one line for each event. Writers
/// never wait: lines beyond a bounded rate and queue are left out and counted.
void StartLogging();

/// \brief Writes one line of key=value pairs. May be called on any thread.
void LogLine(std::string_view line);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_RUNTIME_LOG_H_
