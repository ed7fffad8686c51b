#ifndef FIREFLYSLIP_EVENTS_EVENT_RECORD_H_
#define FIREFLYSLIP_EVENTS_EVENT_RECORD_H_

#include <compare>
#include <optional>
#include <string>
#include <vector>

#include "fireflyslip/core/ids.h"
#include "fireflyslip/core/process_role.h"
#include "fireflyslip/events/event_kind.h"
#include "fireflyslip/events/hybrid_clock.h"

namespace fireflyslip {

/// \brief Additional key-value pair of a record.
struct event_field {
  std::string key;  ///< Snake case, without spaces.
  std::string value;

  auto operator<=>(const event_field&) const = default;
};

/// \brief An action or observation of a process.
struct event_record {
  hybrid_time time;
  vm_id vm;
  process_role role = process_role::kEntry;
  event_kind kind = event_kind::kProcessStarted;
  std::optional<request_id> request;
  workspace_id workspace;  ///< Empty if not specific to a workspace.
  std::vector<event_field> fields;

  bool operator==(const event_record&) const = default;
};

/// \brief Formats a record as a line of key=value pairs without a line break.
///
/// Values that are empty or contain spaces, quotes, equals signs or control
/// characters are quoted and escaped as in JSON.
std::string ToLine(const event_record& record);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_EVENTS_EVENT_RECORD_H_
