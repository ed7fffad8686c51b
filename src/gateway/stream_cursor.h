#ifndef FIREFLYSLIP_GATEWAY_STREAM_CURSOR_H_
#define FIREFLYSLIP_GATEWAY_STREAM_CURSOR_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fireflyslip {

/// \brief Position in a stream of server-sent events that may be resumed on
/// other upstreams.
///
/// Only complete events are forwarded, because an upstream may fail in the
/// middle of one. Events that the client has already received are dropped.
class stream_cursor {
 public:
  /// \param last_event_id event after which the client asked to resume.
  explicit stream_cursor(std::optional<std::uint64_t> last_event_id)
      : last_event_id_(last_event_id) {}

  /// \brief Appends bytes from the current upstream; returns the events
  /// completed by them, unmodified.
  std::string Feed(std::string_view bytes);

  /// \brief Drops a partial event, because another upstream resumes the stream
  /// after `last_event_id()`.
  void Restart() { pending_.clear(); }

  /// \brief Whether the bytes end in the middle of an event.
  bool has_partial_event() const { return !pending_.empty(); }
  /// \brief Number of bytes after the last complete event.
  std::size_t partial_event_bytes() const { return pending_.size(); }
  /// \brief Id of the last event that was forwarded, or after which the client
  /// asked to resume.
  std::optional<std::uint64_t> last_event_id() const { return last_event_id_; }
  /// \brief Number of forwarded events that have an id.
  std::uint64_t forwarded_events() const { return forwarded_events_; }

 private:
  std::string pending_;
  std::optional<std::uint64_t> last_event_id_;
  std::uint64_t forwarded_events_ = 0;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_GATEWAY_STREAM_CURSOR_H_
