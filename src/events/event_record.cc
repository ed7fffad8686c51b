#include "fireflyslip/events/event_record.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string_view>

namespace fireflyslip {
namespace {

void AppendPair(std::string& line,
                std::string_view key,
                std::string_view value) {
  if (!line.empty()) {
    line += ' ';
  }
  line += key;
  line += '=';
  const bool plain =
      !value.empty() && std::all_of(value.begin(), value.end(), [](char c) {
        return c > ' ' && c < '\x7f' && c != '"' && c != '=' && c != '\\';
      });
  if (plain) {
    line += value;
  } else {
    using nlohmann::json;
    line += json(value).dump(-1, ' ', false, json::error_handler_t::replace);
  }
}

}  // namespace

std::string ToLine(const event_record& record) {
  std::string line;
  AppendPair(line, "time", ToString(record.time));
  AppendPair(line, "vm", record.vm.value());
  AppendPair(line, "role", ToString(record.role));
  AppendPair(line, "kind", ToString(record.kind));
  if (record.request.has_value()) {
    AppendPair(line, "request", ToString(*record.request));
  }
  if (!record.workspace.empty()) {
    AppendPair(line, "workspace", record.workspace.value());
  }
  for (const event_field& field : record.fields) {
    AppendPair(line, field.key, field.value);
  }
  return line;
}

}  // namespace fireflyslip
