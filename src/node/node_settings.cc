#include "node/node_settings.h"

#include <utility>

#include "contract/json_reader.h"

namespace fireflyslip {
namespace {

using internal::number_range;
using internal::object_reader;

constexpr std::uint32_t kMaxPort = 65535;
constexpr std::uint32_t kMaxDurationMs = 3'600'000;  // ms

/// Reads an endpoint; an empty string counts as absent.
std::optional<http_endpoint> ReadEndpoint(object_reader& reader,
                                          std::string_view name,
                                          bool required) {
  const std::optional<std::string> text = reader.Text(name, required);
  if (!text || (text->empty() && !required)) {
    return std::nullopt;
  }
  std::optional<http_endpoint> endpoint = ParseHttpEndpoint(*text);
  if (!endpoint) {
    reader.Report(finding_kind::kInvalidValue, name, "must be ADDRESS:PORT");
  }
  return endpoint;
}

duration ReadMilliseconds(object_reader& reader,
                          std::string_view name,
                          duration fallback) {
  const auto value = reader.Integer(name, false, 1, kMaxDurationMs);
  return value ? duration(milliseconds(*value)) : fallback;
}

void ReadPorts(object_reader& reader, node_settings& settings) {
  const nlohmann::json* ports = reader.Field("internal_ports", true);
  if (ports == nullptr) {
    return;
  }
  if (!ports->is_array() || ports->empty() ||
      !ports->front().is_number_unsigned() ||
      ports->front().get<std::uint64_t>() == 0 ||
      ports->front().get<std::uint64_t>() > kMaxPort - 3) {
    reader.Report(finding_kind::kInvalidValue, "internal_ports",
                  "must begin with the first of four consecutive ports");
    return;
  }
  settings.first_internal_port = ports->front().get<std::uint16_t>();
}

void ReadRegions(object_reader& reader, node_settings& settings) {
  std::optional<object_reader> regions = reader.Object("regions", false);
  if (!regions) {
    return;
  }
  for (const std::string& name : regions->Names()) {
    if (auto region = regions->Text(name, true)) {
      settings.regions.emplace(data_centre_id(name), region_id(*region));
    }
  }
}

void ReadLimits(object_reader& reader, node_settings& settings) {
  settings.drain_timeout =
      ReadMilliseconds(reader, "drain_timeout_ms", settings.drain_timeout);
  settings.upstream_drain_timeout = ReadMilliseconds(
      reader, "upstream_drain_ms", settings.upstream_drain_timeout);
  settings.key_revocation_timeout = ReadMilliseconds(
      reader, "key_revocation_ms", settings.key_revocation_timeout);
  settings.rollout_timeout =
      ReadMilliseconds(reader, "rollout_ms", settings.rollout_timeout);
  settings.startup_grace =
      ReadMilliseconds(reader, "startup_grace_ms", settings.startup_grace);
  if (const auto value =
          reader.Integer("evacuation_ms", false, 1, kMaxDurationMs)) {
    settings.evacuation_timeout = milliseconds(*value);
  }
  if (auto ratio = reader.Number("retry_ratio", false, {0, true, 1, true})) {
    settings.retry_ratio = *ratio;
  }
  if (auto length = reader.Number("retry_window_s", false, number_range{})) {
    settings.retry_window = FromSeconds(*length);
  }
  if (auto rate = reader.Number("link_mbps", false, number_range{})) {
    settings.link_mbps = *rate;
  }
  if (auto size = reader.Number("memory_mb", false, number_range{})) {
    constexpr double kBytesPerMegabyte = 1 << 20;
    settings.memory_bytes = static_cast<std::size_t>(*size * kBytesPerMegabyte);
  }
  constexpr double kMaxRetryAllowance = 1e6;
  if (auto count = reader.Number("retry_allowance", false,
                                 {0, true, kMaxRetryAllowance, true})) {
    settings.retry_allowance = *count;
  }
}

}  // namespace

region_id node_settings::RegionOf(const data_centre_id& data_centre) const {
  const auto found = regions.find(data_centre);
  return found == regions.end() ? region_id(data_centre.value())
                                : found->second;
}

result<node_settings> ParseNodeSettings(std::string_view json,
                                        node_role role,
                                        std::vector<finding>& findings) {
  const auto document = internal::ParseDocument(json, findings);
  if (!document) {
    return ToError(findings);
  }
  object_reader reader(*document, "$", findings);
  node_settings settings;
  settings.vm = vm_id(reader.Name("vm", true).value_or(""));
  settings.address = reader.Text("address", true).value_or("");
  settings.data_centre =
      data_centre_id(reader.Name("data_centre", true).value_or(""));
  settings.region = region_id(reader.Name("region", true).value_or(""));
  const bool gateway = role == node_role::kGateway;
  settings.client_endpoint = ReadEndpoint(reader, "callers", gateway);
  settings.readiness_endpoint = ReadEndpoint(reader, "ready", gateway);
  settings.engine = ReadEndpoint(reader, "engine", !gateway);
  settings.service = service_name(reader.Text("service", false).value_or(""));
  settings.platform =
      ReadEndpoint(reader, "platform", true).value_or(http_endpoint{});
  ReadPorts(reader, settings);
  ReadRegions(reader, settings);
  ReadLimits(reader, settings);
  reader.ReportUnknownFields();
  if (!findings.empty()) {
    return ToError(findings);
  }
  return settings;
}

}  // namespace fireflyslip
