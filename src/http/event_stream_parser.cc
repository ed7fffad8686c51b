#include "fireflyslip/http/event_stream_parser.h"

#include <optional>

namespace fireflyslip {
namespace {

constexpr std::string_view kDataPrefix = "data:";

std::optional<std::string> ParseEvent(std::string_view event) {
  std::optional<std::string> data;
  while (!event.empty()) {
    std::string_view line = event.substr(0, event.find('\n'));
    event.remove_prefix(std::min(event.size(), line.size() + 1));
    if (!line.starts_with(kDataPrefix)) {
      continue;
    }
    line.remove_prefix(kDataPrefix.size());
    if (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    data = data ? *data + "\n" + std::string(line) : std::string(line);
  }
  return data;
}

}  // namespace

std::vector<std::string> event_stream_parser::Feed(std::string_view bytes) {
  for (const char byte : bytes) {
    if (byte != '\r') {
      pending_.push_back(byte);
    }
  }
  std::vector<std::string> events;
  std::size_t start = 0;
  std::size_t end = 0;
  while ((end = pending_.find("\n\n", start)) != std::string::npos) {
    const std::string_view event =
        std::string_view(pending_).substr(start, end - start);
    if (auto data = ParseEvent(event)) {
      events.push_back(std::move(*data));
    }
    start = end + 2;
  }
  pending_.erase(0, start);
  return events;
}

std::string FormatEvent(std::string_view data) {
  std::string event(kDataPrefix);
  event += ' ';
  event += data;
  event += "\n\n";
  return event;
}

}  // namespace fireflyslip
