#ifndef FIREFLYSLIP_HTTP_EVENT_STREAM_PARSER_H_
#define FIREFLYSLIP_HTTP_EVENT_STREAM_PARSER_H_

#include <string>
#include <string_view>
#include <vector>

namespace fireflyslip {

/// \brief Splits a stream of server-sent events into the data of each event.
class event_stream_parser {
 public:
  /// \brief Adds bytes and returns the data of the events that they complete.
  std::vector<std::string> Feed(std::string_view bytes);

 private:
  std::string pending_;
};

/// \brief Frames data as one server-sent event.
std::string FormatEvent(std::string_view data);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_HTTP_EVENT_STREAM_PARSER_H_
