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

/// \brief Consecutive records of an event log.
struct event_page {
  std::uint64_t next = 0;  ///< Sequence number to request next.
  std::uint64_t lost = 0;  ///< Requested records that were overwritten.
  std::vector<event_record> records;

  bool operator==(const event_page&) const = default;
};

/// \brief Serializes a page to JSON, the response body of `/events`.
std::string ToJson(const event_page& page);

/// \brief Parses the output of `ToJson(event_page)`. Fails with
/// `kProtocolError` on malformed input.
result<event_page> ParseEventPage(std::string_view json);

/// \brief Bounded in-memory log of the most recent records. Thread-safe.
class event_log {
 public:
  /// \brief Limits the log to `capacity` records, which must be positive.
  explicit event_log(std::size_t capacity);

  /// \brief Appends a record and returns its sequence number, starting at 0.
  std::uint64_t Append(event_record record);

  /// \brief Returns at most `limit` records, starting at a sequence number.
  ///
  /// A sequence number beyond the end, as held by a reader from before a
  /// restart of the process, is treated as 0.
  event_page Since(std::uint64_t sequence, std::size_t limit = 1000) const;

 private:
  mutable std::mutex mutex_;
  std::size_t capacity_;
  std::uint64_t first_ = 0;  // sequence number of the first retained record
  std::deque<event_record> records_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_EVENTS_EVENT_LOG_H_
