#include "fireflyslip/contract/configuration_parser.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "contract/json_reader.h"

namespace fireflyslip {
namespace {

using internal::object_reader;
using nlohmann::json;
using enum finding_kind;

constexpr internal::number_range kPositive = {};
constexpr internal::number_range kShare = {.low = 0,
                                           .low_included = true,
                                           .high = 1,
                                           .high_included = true};
// With a share of 1 no replica could be taken out of service, so a rollout
// could never start.
constexpr internal::number_range kServingShare = {.low = 0,
                                                  .low_included = true,
                                                  .high = 1,
                                                  .high_included = false};
// One day; a request with a longer deadline would occupy its queue slot for an
// unbounded time.
constexpr std::uint32_t kMaxMilliseconds = 24U * 3600U * 1000U;
constexpr std::uint32_t kMaxEntries = 100000;
// Tolerates rounding errors when three decimal fractions add up to 1.
constexpr double kFloorShareTolerance = 1e-9;

std::optional<digest> ReadDigest(object_reader& reader, std::string_view name) {
  const std::optional<std::string> text = reader.Text(name, true);
  if (!text.has_value()) {
    return std::nullopt;
  }
  std::optional<digest> value = digest::FromHex(*text);
  if (!value.has_value()) {
    reader.Report(kInvalidValue, name, "must be 64 hexadecimal digits");
  }
  return value;
}

rank_objectives ReadRankObjectives(object_reader reader) {
  rank_objectives terms;
  const auto target = reader.Integer("target_ms", true, 1, kMaxMilliseconds);
  const auto deadline =
      reader.Integer("deadline_ms", true, 1, kMaxMilliseconds);
  terms.floor_share = reader.Number("floor_share", true, kShare).value_or(0);
  if (target.has_value() && deadline.has_value()) {
    if (*deadline < *target) {
      reader.Report(kInconsistency, "deadline_ms", "is below target_ms");
    }
    terms.target = milliseconds(*target);
    terms.deadline = milliseconds(*deadline);
  }
  reader.ReportUnknownFields();
  return terms;
}

contract ReadContract(object_reader reader) {
  contract terms;
  terms.key_digest = ReadDigest(reader, "key_digest").value_or(digest());
  terms.weight = reader.Number("weight", false, kPositive).value_or(1);
  terms.requests_per_second =
      reader.Number("requests_per_second", true, kPositive).value_or(0);
  terms.tokens_per_second =
      reader.Number("tokens_per_second", true, kPositive).value_or(0);
  terms.burst_seconds = reader.Number("burst_seconds", false, kPositive)
                            .value_or(contract().burst_seconds);
  if (std::optional<object_reader> ranks = reader.Object("ranks", true)) {
    double floor_share_sum = 0;
    for (const request_rank rank : kAllRanks) {
      if (auto rank_reader = ranks->Object(ToString(rank), true)) {
        terms.ranks[IndexOf(rank)] = ReadRankObjectives(*rank_reader);
        floor_share_sum += terms.ranks[IndexOf(rank)].floor_share;
      }
    }
    if (floor_share_sum > 1 + kFloorShareTolerance) {
      ranks->Report(kInconsistency, "", "the floor shares add up to over 1");
    }
    ranks->ReportUnknownFields();
  }
  reader.ReportUnknownFields();
  return terms;
}

model_declaration ReadModel(object_reader reader) {
  model_declaration model;
  model.version = model_version(reader.Name("version", true).value_or(""));
  model.manifest_digest =
      ReadDigest(reader, "manifest_digest").value_or(digest());
  model.serving_share = reader.Number("serving_share", false, kServingShare)
                            .value_or(model.serving_share);
  reader.ReportUnknownFields();
  return model;
}

service_declaration ReadService(object_reader reader) {
  service_declaration service;
  const json* patterns = reader.Field("non_idempotent", false);
  if (patterns != nullptr && !patterns->is_array()) {
    reader.Report(kWrongType, "non_idempotent", "must be a list");
  } else if (patterns != nullptr) {
    for (std::size_t i = 0; i < patterns->size(); ++i) {
      const json& item = (*patterns)[i];
      std::optional<call_pattern> pattern;
      if (item.is_string()) {
        pattern = ParseCallPattern(item.get_ref<const std::string&>());
      }
      if (pattern.has_value()) {
        service.non_idempotent.push_back(*std::move(pattern));
      } else {
        reader.Report(kInvalidValue, "non_idempotent",
                      "item " + std::to_string(i) +
                          " must have the form \"METHOD /path\"");
      }
    }
  }
  reader.ReportUnknownFields();
  return service;
}

upstream_declaration ReadUpstream(object_reader reader,
                                  const configuration_parts& parts) {
  upstream_declaration upstream;
  upstream.data_centre =
      data_centre_id(reader.Name("data_centre", true).value_or(""));
  if (reader.Has("model") == reader.Has("service")) {
    reader.Report(kInconsistency, "",
                  "must have exactly one of model and service");
  }
  if (std::optional<std::string> name = reader.Name("model", false)) {
    upstream.model = model_name(*std::move(name));
    if (!parts.models.contains(*upstream.model)) {
      reader.Report(kInconsistency, "model", "is not a declared model");
    }
  }
  if (std::optional<std::string> name = reader.Name("service", false)) {
    upstream.service = service_name(*std::move(name));
    if (!parts.services.contains(*upstream.service)) {
      reader.Report(kInconsistency, "service", "is not a declared service");
    }
  }
  if (reader.Has("checks_fencing") && !reader.Has("model")) {
    reader.Report(kInconsistency, "checks_fencing",
                  "applies only to an upstream with a model");
  }
  upstream.checks_fencing =
      reader.Boolean("checks_fencing", false).value_or(false);
  reader.ReportUnknownFields();
  return upstream;
}

// Reads an object whose keys are identifiers.
template <typename Id, typename Value, typename Read>
std::map<Id, Value> ReadMap(object_reader& parent,
                            std::string_view name,
                            bool required,
                            Read read) {
  std::map<Id, Value> values;
  std::optional<object_reader> reader = parent.Object(name, required);
  if (!reader.has_value()) {
    return values;
  }
  for (const std::string& key : reader->Names()) {
    if (!internal::IsName(key)) {
      reader->Report(
          kInvalidValue, key,
          "must be a name of at most 128 letters, digits, '.', '_' or '-'");
    }
    if (std::optional<object_reader> item = reader->Object(key, true)) {
      values.emplace(Id(key), read(*std::move(item)));
    }
  }
  return values;
}

configuration_parts ReadConfiguration(std::string_view text,
                                      std::vector<finding>& findings) {
  configuration_parts parts;
  const std::optional<json> document = internal::ParseDocument(text, findings);
  if (!document.has_value()) {
    return parts;
  }
  object_reader reader(*document, "$", findings);
  parts.change_id = reader.Text("change_id", false).value_or("");
  if (std::optional<object_reader> entries = reader.Object("entries", true)) {
    for (const std::string& name : entries->Names()) {
      if (!internal::IsName(name)) {
        entries->Report(kInvalidValue, name, "is not a name");
      }
      parts.entries.emplace(
          data_centre_id(name),
          entries->Integer(name, true, 1, kMaxEntries).value_or(1));
    }
    if (parts.entries.empty()) {
      entries->Report(kInvalidValue, "", "must name a data centre");
    }
  }
  parts.workspaces =
      ReadMap<workspace_id, contract>(reader, "workspaces", true, ReadContract);
  std::map<digest, workspace_id> keys;
  for (const auto& [id, terms] : parts.workspaces) {
    const auto [first, inserted] = keys.emplace(terms.key_digest, id);
    if (!inserted && terms.key_digest != digest()) {
      reader.Report(
          kInconsistency, "workspaces",
          id.value() + " has the same key_digest as " + first->second.value());
    }
  }
  parts.models = ReadMap<model_name, model_declaration>(reader, "models", false,
                                                        ReadModel);
  parts.services = ReadMap<service_name, service_declaration>(
      reader, "services", false, ReadService);
  parts.upstreams = ReadMap<upstream_id, upstream_declaration>(
      reader, "upstreams", true, [&parts](object_reader item) {
        return ReadUpstream(std::move(item), parts);
      });
  reader.ReportUnknownFields();
  return parts;
}

json ToJsonValue(const contract& terms) {
  json ranks = json::object();
  for (const request_rank rank : kAllRanks) {
    const rank_objectives& objectives = terms.ObjectivesOf(rank);
    ranks[std::string(ToString(rank))] = {
        {"target_ms", objectives.target.count()},
        {"deadline_ms", objectives.deadline.count()},
        {"floor_share", objectives.floor_share}};
  }
  return {{"key_digest", terms.key_digest.ToHex()},
          {"weight", terms.weight},
          {"requests_per_second", terms.requests_per_second},
          {"tokens_per_second", terms.tokens_per_second},
          {"burst_seconds", terms.burst_seconds},
          {"ranks", ranks}};
}

json ToJsonValue(const upstream_declaration& upstream) {
  json value = {{"data_centre", upstream.data_centre.value()}};
  if (upstream.model.has_value()) {
    value["model"] = upstream.model->value();
    value["checks_fencing"] = upstream.checks_fencing;
  }
  if (upstream.service.has_value()) {
    value["service"] = upstream.service->value();
  }
  return value;
}

}  // namespace

std::vector<finding> CheckConfiguration(std::string_view json) {
  std::vector<finding> findings;
  ReadConfiguration(json, findings);
  return findings;
}

result<configuration> ParseConfiguration(std::string_view json) {
  std::vector<finding> findings;
  configuration_parts parts = ReadConfiguration(json, findings);
  if (!findings.empty()) {
    return ToError(findings);
  }
  return configuration(std::move(parts));
}

std::string ToJson(const configuration& value) {
  json document = {{"entries", json::object()},
                   {"workspaces", json::object()},
                   {"models", json::object()},
                   {"services", json::object()},
                   {"upstreams", json::object()}};
  if (!value.change_id().empty()) {
    document["change_id"] = value.change_id();
  }
  for (const auto& [id, count] : value.entries()) {
    document["entries"][id.value()] = count;
  }
  for (const auto& [id, terms] : value.workspaces()) {
    document["workspaces"][id.value()] = ToJsonValue(terms);
  }
  for (const auto& [name, model] : value.models()) {
    document["models"][name.value()] = {
        {"version", model.version.value()},
        {"manifest_digest", model.manifest_digest.ToHex()},
        {"serving_share", model.serving_share}};
  }
  for (const auto& [name, service] : value.services()) {
    json patterns = json::array();
    for (const call_pattern& pattern : service.non_idempotent) {
      patterns.push_back(ToString(pattern));
    }
    document["services"][name.value()] = {{"non_idempotent", patterns}};
  }
  for (const auto& [id, upstream] : value.upstreams()) {
    document["upstreams"][id.value()] = ToJsonValue(upstream);
  }
  return document.dump(2, ' ', false, json::error_handler_t::replace);
}

}  // namespace fireflyslip
