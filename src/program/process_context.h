#ifndef FIREFLYSLIP_PROGRAM_PROCESS_CONTEXT_H_
#define FIREFLYSLIP_PROGRAM_PROCESS_CONTEXT_H_

#include <optional>
#include <string>
#include <vector>

#include "fireflyslip/contract.h"
#include "fireflyslip/events.h"
#include "fireflyslip/link.h"
#include "fireflyslip/runtime.h"

namespace fireflyslip {

/// \brief Settings, incarnation, clock, event log and metrics of a daemon,
/// shared by all its components.
///
/// All functions may be called on any thread.
class process_context {
 public:
  explicit process_context(process_settings settings);

  const process_settings& settings() const { return settings_; }
  incarnation_number incarnation() const { return incarnation_; }
  event_log& events() { return events_; }
  fireflyslip::metrics& metrics() { return metrics_; }

  /// \brief Adds a timestamp of the hybrid clock to a message.
  link_envelope Stamp(link_message message);
  /// \brief Advances the hybrid clock past the timestamp of a received message.
  void Observe(const link_envelope& envelope);

  /// \brief Appends a record to the event log and writes it as a log line.
  void Record(event_kind kind,
              std::vector<event_field> fields = {},
              std::optional<request_id> request = std::nullopt,
              workspace_id workspace = {});

 private:
  const process_settings settings_;
  const incarnation_number incarnation_;
  hybrid_clock clock_;
  event_log events_;
  fireflyslip::metrics metrics_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_PROCESS_CONTEXT_H_
