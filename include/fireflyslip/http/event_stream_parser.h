#ifndef FIREFLYSLIP_HTTP_EVENT_STREAM_PARSER_H_
#define FIREFLYSLIP_HTTP_EVENT_STREAM_PARSER_H_

#include <string>
#include <string_view>
#include <vector>

namespace fireflyslip {

/// \brief Incremental parser of a server-sent event stream.
class event_stream_parser {
 public:
  /// \brief Appends bytes and returns the data of each event completed by them.
  std::vector<std::string> Feed(std::string_view bytes);
  /// \brief Length of the event that is not complete yet.
  std::size_t partial_event_bytes() const { return pending_.size(); }

 private:
  std::string pending_;
};

/// \brief Formats data as one server-sent event.
std::string FormatEvent(std::string_view data);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_HTTP_EVENT_STREAM_PARSER_H_
