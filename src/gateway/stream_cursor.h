#ifndef FIREFLYSLIP_GATEWAY_STREAM_CURSOR_H_
#define FIREFLYSLIP_GATEWAY_STREAM_CURSOR_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fireflyslip {

/// \brief Position in a stream of server-sent events that several upstreams may
/// continue one after the other.
///
/// Only whole events are handed on, because an upstream may stop in the middle
/// of one. Events that the caller already has are left out.
class stream_cursor {
 public:
  /// \param last_event event after which the caller asked to continue.
  explicit stream_cursor(std::optional<std::uint64_t> last_event)
      : last_event_(last_event) {}

  /// \brief Adds bytes of the present upstream; returns the whole events that
  /// they complete, as they came.
  std::string Feed(std::string_view bytes);

  /// \brief Another upstream continues after `last_event()`.
  void Restart() { pending_.clear(); }

  /// \brief Whether the bytes end in the middle of an event.
  bool has_partial_event() const { return !pending_.empty(); }
  /// \brief Number of the last event handed on or asked for.
  std::optional<std::uint64_t> last_event() const { return last_event_; }
  std::uint64_t events() const { return events_; }

 private:
  std::string pending_;
  std::optional<std::uint64_t> last_event_;
  std::uint64_t events_ = 0;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_GATEWAY_STREAM_CURSOR_H_
