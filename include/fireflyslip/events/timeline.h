#ifndef FIREFLYSLIP_EVENTS_TIMELINE_H_
#define FIREFLYSLIP_EVENTS_TIMELINE_H_

#include <optional>
#include <vector>

#include "fireflyslip/events/event_record.h"

namespace fireflyslip {

/// \brief Filter for records; all members that are set must match.
struct event_filter {
  std::optional<request_id> request;
  std::optional<workspace_id> workspace;
  std::optional<vm_id> vm;
  std::optional<event_kind> kind;

  bool Matches(const event_record& record) const;

  bool operator==(const event_filter&) const = default;
};

/// \brief Merges the records of several processes, ordered by time and then VM.
std::vector<event_record> MergeTimelines(
    const std::vector<std::vector<event_record>>& timelines,
    const event_filter& filter = {});

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_EVENTS_TIMELINE_H_
