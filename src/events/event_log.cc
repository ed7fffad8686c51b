#include "fireflyslip/events/event_log.h"

#include <algorithm>
#include <cassert>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace fireflyslip {
namespace {

using nlohmann::json;

json ToJsonValue(const event_record& record) {
  json value = {{"time", ToString(record.time)},
                {"vm", record.vm.value()},
                {"role", ToString(record.role)},
                {"kind", ToString(record.kind)}};
  if (record.request.has_value()) {
    value["request"] = ToString(*record.request);
  }
  if (!record.workspace.empty()) {
    value["workspace"] = record.workspace.value();
  }
  json fields = json::array();
  for (const event_field& field : record.fields) {
    fields.push_back({field.key, field.value});
  }
  value["fields"] = std::move(fields);
  return value;
}

// Returns the value of a string field; empty if it is absent or not a string.
std::string StringField(const json& value, const char* name) {
  const auto found = value.find(name);
  return found != value.end() && found->is_string() ? found->get<std::string>()
                                                    : std::string();
}

std::optional<std::uint64_t> UnsignedField(const json& value,
                                           const char* name) {
  const auto found = value.find(name);
  if (found == value.end() || !found->is_number_unsigned()) {
    return std::nullopt;
  }
  return found->get<std::uint64_t>();
}

std::optional<event_record> ParseRecord(const json& value) {
  if (!value.is_object()) {
    return std::nullopt;
  }
  const auto time = ParseHybridTime(StringField(value, "time"));
  const auto role = ParseProcessRole(StringField(value, "role"));
  const auto kind = ParseEventKind(StringField(value, "kind"));
  const auto fields = value.find("fields");
  if (!time.has_value() || !role.has_value() || !kind.has_value() ||
      fields == value.end() || !fields->is_array()) {
    return std::nullopt;
  }
  event_record record{*time, vm_id(StringField(value, "vm")), *role, *kind};
  if (value.contains("request")) {
    record.request = ParseRequestId(StringField(value, "request"));
    if (!record.request.has_value()) {
      return std::nullopt;
    }
  }
  record.workspace = workspace_id(StringField(value, "workspace"));
  for (const json& field : *fields) {
    if (!field.is_array() || field.size() != 2 || !field[0].is_string() ||
        !field[1].is_string()) {
      return std::nullopt;
    }
    record.fields.push_back(
        {field[0].get<std::string>(), field[1].get<std::string>()});
  }
  return record;
}

}  // namespace

std::string ToJson(const event_page& page) {
  json records = json::array();
  for (const event_record& record : page.records) {
    records.push_back(ToJsonValue(record));
  }
  const json document = {{"next", page.next},
                         {"lost", page.lost},
                         {"records", std::move(records)}};
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<event_page> ParseEventPage(std::string_view text) {
  const error malformed{error_kind::kProtocolError, "malformed event page"};
  const json document = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!document.is_object()) {
    return malformed;
  }
  const auto next = UnsignedField(document, "next");
  const auto lost = UnsignedField(document, "lost");
  const auto records = document.find("records");
  if (!next.has_value() || !lost.has_value() || records == document.end() ||
      !records->is_array()) {
    return malformed;
  }
  event_page page{*next, *lost, {}};
  for (const json& item : *records) {
    std::optional<event_record> record = ParseRecord(item);
    if (!record.has_value()) {
      return malformed;
    }
    page.records.push_back(*std::move(record));
  }
  return page;
}

event_log::event_log(std::size_t capacity) : capacity_(capacity) {
  assert(capacity > 0);
}

std::uint64_t event_log::Append(event_record record) {
  const std::lock_guard lock(mutex_);
  if (records_.size() == capacity_) {
    records_.pop_front();
    ++first_;
  }
  records_.push_back(std::move(record));
  return first_ + records_.size() - 1;
}

event_page event_log::Since(std::uint64_t sequence, std::size_t limit) const {
  const std::lock_guard lock(mutex_);
  const std::uint64_t end = first_ + records_.size();
  if (sequence > end) {
    sequence = 0;
  }
  const std::uint64_t begin = std::max(sequence, first_);
  event_page page;
  page.lost = begin - sequence;
  page.next = begin + std::min<std::uint64_t>(limit, end - begin);
  for (std::uint64_t i = begin; i < page.next; ++i) {
    page.records.push_back(records_[i - first_]);
  }
  return page;
}

}  // namespace fireflyslip
