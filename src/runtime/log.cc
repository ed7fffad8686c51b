#include "fireflyslip/runtime/log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace fireflyslip {

void StartLogging() {
  auto logger = spdlog::stderr_logger_mt("fireflyslip");
  logger->set_pattern("%v");
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(std::move(logger));
}

void LogLine(std::string_view line) {
  spdlog::info(line);
}

}  // namespace fireflyslip
