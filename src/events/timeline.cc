#include "fireflyslip/events/timeline.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace fireflyslip {

bool event_filter::Matches(const event_record& record) const {
  return (!request.has_value() || record.request == request) &&
         (!workspace.has_value() || record.workspace == *workspace) &&
         (!vm.has_value() || record.vm == *vm) &&
         (!kind.has_value() || record.kind == *kind);
}

std::vector<event_record> MergeTimelines(
    const std::vector<std::vector<event_record>>& timelines,
    const event_filter& filter) {
  std::vector<event_record> merged;
  for (const std::vector<event_record>& timeline : timelines) {
    std::copy_if(timeline.begin(), timeline.end(), std::back_inserter(merged),
                 [&filter](const event_record& record) {
                   return filter.Matches(record);
                 });
  }
  std::stable_sort(merged.begin(), merged.end(),
                   [](const event_record& a, const event_record& b) {
                     return std::tie(a.time, a.vm) < std::tie(b.time, b.vm);
                   });
  return merged;
}

}  // namespace fireflyslip
