#ifndef FIREFLYSLIP_EVENTS_EVENT_LOG_H_
#define FIREFLYSLIP_EVENTS_EVENT_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "fireflyslip/core/result.h"
#include "fireflyslip/events/event_record.h"

namespace fireflyslip {

/// \brief Part of an event log.
struct event_page {
  std::uint64_t next = 0;  ///< Sequence to ask for next.
  std::uint64_t lost = 0;  ///< Requested records that the log has overwritten.
  std::vector<event_record> records;

  bool operator==(const event_page&) const = default;
};

/// \brief JSON of a page, the answer of `/events`.
std::string ToJson(const event_page& page);

/// \brief Parses the output of `ToJson(event_page)`. Other text gives
/// `kProtocolError`.
result<event_page> ParseEventPage(std::string_view json);

/// \brief Keeps the latest records in memory. Threads may share it.
class event_log {
 public:
  /// \brief The log holds at most `capacity` records; at least one.
  explicit event_log(std::size_t capacity);

  /// \brief Adds a record and returns its sequence; the first has 0.
  std::uint64_t Append(event_record record);

  /// \brief At most `limit` records from a sequence on.
  ///
  /// A sequence above the end, which a reader has after a restart of the
  /// process, starts again at the first record.
  event_page Since(std::uint64_t sequence, std::size_t limit = 1000) const;

 private:
  mutable std::mutex mutex_;
  std::size_t capacity_;
  std::uint64_t first_ = 0;  // sequence of the first record that is kept
  std::deque<event_record> records_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_EVENTS_EVENT_LOG_H_
