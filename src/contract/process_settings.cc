#include "fireflyslip/contract/process_settings.h"

#include <arpa/inet.h>

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "contract/json_reader.h"

namespace fireflyslip {
namespace {

using internal::object_reader;
using nlohmann::json;
using enum finding_kind;

constexpr std::uint32_t kMaxMilliseconds = 3600U * 1000U;

bool IsIpAddress(const std::string& text) {
  in6_addr parsed = {};
  return inet_pton(AF_INET, text.c_str(), &parsed) == 1 ||
         inet_pton(AF_INET6, text.c_str(), &parsed) == 1;
}

std::optional<endpoint> ReadEndpoint(object_reader& parent,
                                     std::string_view name,
                                     bool required) {
  std::optional<object_reader> reader = parent.Object(name, required);
  if (!reader.has_value()) {
    return std::nullopt;
  }
  endpoint value;
  value.address = reader->Text("address", true).value_or("");
  if (!value.address.empty() && !IsIpAddress(value.address)) {
    reader->Report(kInvalidValue, "address", "must be an IP address");
  }
  value.port = static_cast<std::uint16_t>(
      reader->Integer("port", true, 1, 65535).value_or(0));
  reader->ReportUnknownFields();
  return value;
}

// Reads an endpoint of the form `ADDRESS:PORT`. IPv6 addresses are not
// bracketed, as in the platform's VM list.
endpoint ReadEndpointText(object_reader& parent, std::string_view name) {
  const std::optional<std::string> text = parent.Text(name, true);
  if (!text.has_value()) {
    return {};
  }
  const std::size_t colon = text->rfind(':');
  endpoint value;
  value.address = text->substr(0, colon);
  const char* end = text->data() + text->size();
  const char* begin = colon == std::string::npos ? end : &(*text)[colon] + 1;
  const auto [position, code] = std::from_chars(begin, end, value.port);
  if (code != std::errc() || position != end || value.port == 0 ||
      !IsIpAddress(value.address)) {
    parent.Report(kInvalidValue, name, "must be \"IP:PORT\"");
  }
  return value;
}

seed_peer ReadPeer(object_reader reader) {
  seed_peer peer;
  peer.vm = vm_id(reader.Name("vm", true).value_or(""));
  peer.data_centre =
      data_centre_id(reader.Name("data_centre", true).value_or(""));
  const std::string role = reader.Text("role", true).value_or("entry");
  if (const auto parsed = ParseProcessRole(role)) {
    peer.role = *parsed;
  } else {
    reader.Report(kInvalidValue, "role", "must be \"entry\" or \"agent\"");
  }
  peer.link = ReadEndpointText(reader, "link");
  peer.admin = ReadEndpointText(reader, "admin");
  reader.ReportUnknownFields();
  return peer;
}

std::vector<seed_peer> ReadPeers(object_reader& parent,
                                 std::vector<finding>& findings) {
  std::vector<seed_peer> peers;
  const json* list = parent.Field("peers", false);
  if (list == nullptr) {
    return peers;
  }
  if (!list->is_array()) {
    parent.Report(kWrongType, "peers", "must be an array");
    return peers;
  }
  for (const json& item : *list) {
    const std::string path = "$.peers[" + std::to_string(peers.size()) + "]";
    if (!item.is_object()) {
      findings.push_back({kWrongType, path, "must be an object"});
      return peers;
    }
    peers.push_back(ReadPeer(object_reader(item, path, findings)));
  }
  return peers;
}

tls_settings ReadTls(object_reader reader) {
  tls_settings tls;
  const std::string mode = reader.Text("mode", true).value_or("off");
  if (mode != "on" && mode != "off") {
    reader.Report(kInvalidValue, "mode", "must be \"on\" or \"off\"");
  }
  tls.enabled = mode == "on";
  if (tls.enabled) {
    tls.certificate_file = reader.Text("certificate_file", true).value_or("");
    tls.key_file = reader.Text("key_file", true).value_or("");
    tls.authority_file = reader.Text("authority_file", true).value_or("");
  }
  reader.ReportUnknownFields();
  return tls;
}

void ReadMilliseconds(object_reader& reader,
                      std::string_view name,
                      milliseconds& value) {
  if (const auto count = reader.Integer(name, false, 1, kMaxMilliseconds)) {
    value = milliseconds(*count);
  }
}

// Reports fields that do not apply to the role.
void RejectFields(object_reader& reader,
                  process_role role,
                  std::initializer_list<const char*> names) {
  for (const char* name : names) {
    if (reader.Has(name)) {
      reader.Field(name, false);
      reader.Report(kInconsistency, name,
                    "does not apply to an " + std::string(ToString(role)));
    }
  }
}

void ReadNumbers(object_reader& reader, process_settings& settings) {
  ReadMilliseconds(reader, "drain_timeout_ms", settings.drain_timeout);
  ReadMilliseconds(reader, "platform_timeout_ms", settings.platform_timeout);
  ReadMilliseconds(reader, "platform_watch_wait_ms",
                   settings.platform_watch_wait);
  ReadMilliseconds(reader, "upstream_connect_timeout_ms",
                   settings.upstream_connect_timeout);
  ReadMilliseconds(reader, "heartbeat_interval_ms",
                   settings.heartbeat_interval);
  ReadMilliseconds(reader, "link_silence_timeout_ms",
                   settings.link_silence_timeout);
  ReadMilliseconds(reader, "load_report_interval_ms",
                   settings.load_report_interval);
  ReadMilliseconds(reader, "pause_bound_ms", settings.pause_bound);
  settings.event_log_records =
      reader.Integer("event_log_records", false, 1, 1U << 20)
          .value_or(settings.event_log_records);
  settings.chunk_cache_bytes =
      reader.Integer("chunk_cache_bytes", false, 1, 1U << 30)
          .value_or(settings.chunk_cache_bytes);
  settings.traffic_threads = reader.Integer("traffic_threads", false, 1, 64)
                                 .value_or(settings.traffic_threads);
  settings.upstream_slots = reader.Integer("upstream_slots", false, 1, 4096)
                                .value_or(settings.upstream_slots);
  if (settings.link_silence_timeout <= settings.heartbeat_interval) {
    reader.Report(kInconsistency, "link_silence_timeout_ms",
                  "must be above heartbeat_interval_ms");
  }
}

process_settings ReadSettings(std::string_view text,
                              std::optional<process_role> role,
                              std::vector<finding>& findings) {
  process_settings settings;
  const std::optional<json> document = internal::ParseDocument(text, findings);
  if (!document.has_value()) {
    return settings;
  }
  object_reader reader(*document, "$", findings);
  settings.role = role.value_or(reader.Has("upstream") ? process_role::kAgent
                                                       : process_role::kEntry);
  settings.vm = vm_id(reader.Name("vm", true).value_or(""));
  settings.data_centre =
      data_centre_id(reader.Name("data_centre", true).value_or(""));
  settings.region = region_id(reader.Name("region", true).value_or(""));
  if (settings.role == process_role::kEntry) {
    settings.listen = ReadEndpoint(reader, "listen", true);
    RejectFields(reader, settings.role,
                 {"upstream", "origin", "upstream_slots"});
  } else {
    settings.upstream = ReadEndpoint(reader, "upstream", true);
    settings.origin = ReadEndpoint(reader, "origin", false);
    RejectFields(reader, settings.role, {"listen"});
  }
  settings.link = ReadEndpoint(reader, "link", true).value_or(endpoint());
  settings.admin = ReadEndpoint(reader, "admin", true).value_or(endpoint());
  settings.platform =
      ReadEndpoint(reader, "platform", true).value_or(endpoint());
  settings.peers = ReadPeers(reader, findings);
  settings.shared_key = reader.Text("shared_key", true).value_or("");
  if (std::optional<object_reader> tls = reader.Object("tls", true)) {
    settings.tls = ReadTls(*std::move(tls));
  }
  ReadNumbers(reader, settings);
  reader.ReportUnknownFields();
  return settings;
}

}  // namespace

std::vector<finding> CheckSettings(std::string_view json,
                                   std::optional<process_role> role) {
  std::vector<finding> findings;
  ReadSettings(json, role, findings);
  return findings;
}

result<process_settings> ParseSettings(std::string_view json,
                                       std::optional<process_role> role) {
  std::vector<finding> findings;
  process_settings settings = ReadSettings(json, role, findings);
  if (!findings.empty()) {
    return ToError(findings);
  }
  return settings;
}

}  // namespace fireflyslip
