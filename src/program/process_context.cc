#include "program/process_context.h"

#include <utility>

namespace fireflyslip {

process_context::process_context(process_settings settings)
    : settings_(std::move(settings)),
      incarnation_(WallMilliseconds()),
      events_(settings_.event_log_records) {}

link_envelope process_context::Stamp(link_message message) {
  const hybrid_time now = clock_.Next(WallMilliseconds());
  return {now.physical_ms, now.counter, std::move(message)};
}

void process_context::Observe(const link_envelope& envelope) {
  clock_.Observe(
      {envelope.physical_ms, static_cast<std::uint32_t>(envelope.counter)},
      WallMilliseconds());
}

void process_context::Record(event_kind kind,
                             std::vector<event_field> fields,
                             std::optional<request_id> request,
                             workspace_id workspace) {
  event_record record;
  record.time = clock_.Next(WallMilliseconds());
  record.vm = settings_.vm;
  record.role = settings_.role;
  record.kind = kind;
  record.request = std::move(request);
  record.workspace = std::move(workspace);
  record.fields = std::move(fields);
  LogLine(ToLine(record));
  metrics_.Count("fireflyslip_events_total",
                 {{"kind", std::string(ToString(kind))}});
  events_.Append(std::move(record));
}

}  // namespace fireflyslip
