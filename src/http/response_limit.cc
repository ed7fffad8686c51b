#include "fireflyslip/http/response_limit.h"

#include <array>
#include <atomic>
#include <string>

#include "fireflyslip/runtime/log.h"

namespace fireflyslip {
namespace {

std::atomic<std::uint64_t> oversize_responses{0};

}  // namespace

error RejectOversizeResponse(const http_endpoint& server,
                             response_part part,
                             std::size_t limit) {
  static constexpr std::array<const char*, 6> kNames = {
      "head", "interim", "framing", "body", "event", "total"};
  ++oversize_responses;
  const std::string name = kNames[static_cast<std::size_t>(part)];
  const std::string address =
      server.address + ":" + std::to_string(server.port);
  LogLine("event=response_over_limit server=" + address + " part=" + name +
          " limit=" + std::to_string(limit));
  return {error_kind::kResponseTooLarge,
          address + ": the response exceeds the limit of its " + name + ", " +
              std::to_string(limit)};
}

std::uint64_t OversizeResponses() {
  return oversize_responses;
}

}  // namespace fireflyslip
