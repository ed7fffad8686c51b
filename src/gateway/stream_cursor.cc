#include "gateway/stream_cursor.h"

#include "platform/call_codec.h"

namespace fireflyslip {
namespace {

constexpr std::string_view kEventEnd = "\n\n";

}  // namespace

std::string stream_cursor::Feed(std::string_view bytes) {
  pending_ += bytes;
  std::string complete_events;
  std::size_t start = 0;
  std::size_t end = 0;
  while ((end = pending_.find(kEventEnd, start)) != std::string::npos) {
    const std::size_t size = end + kEventEnd.size() - start;
    const std::string_view event =
        std::string_view(pending_).substr(start, size);
    start += size;
    const auto id = platform::DecodeEventId(event);
    if (id && last_event_id_ && *id <= *last_event_id_) {
      continue;
    }
    if (id) {
      last_event_id_ = id;
      ++forwarded_events_;
    }
    complete_events += event;
  }
  pending_.erase(0, start);
  return complete_events;
}

}  // namespace fireflyslip
