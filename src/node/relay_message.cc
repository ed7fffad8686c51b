#include "node/relay_message.h"

#include <boost/url/encode.hpp>
#include <boost/url/pct_string_view.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "fireflyslip/http/http_message.h"
#include "node/array_reader.h"
#include "node/cbor.h"
#include "node/compression.h"

namespace fireflyslip {
namespace {

using nlohmann::json;

constexpr std::string_view kPath = "/catalog";
/// Some 50,000 upstreams.
constexpr std::size_t kMaxAnswerBytes = 8UL << 20;
constexpr std::string_view kConfigurationParameter = "configuration";
constexpr std::string_view kUpstreamsParameter = "upstreams";
constexpr std::string_view kVersionsParameter = "versions";
constexpr std::string_view kEvacuationsParameter = "evacuations";
constexpr std::string_view kHoldParameter = "hold_us";
constexpr std::string_view kDataCentreParameter = "data_centre";
constexpr std::string_view kEraSuffix = "_era";

void AppendParameter(std::string& target,
                     std::string_view name,
                     std::uint64_t value) {
  target += target.find('?') == std::string::npos ? '?' : '&';
  target += name;
  target += '=';
  target += std::to_string(value);
}

void AppendPosition(std::string& target,
                    std::string_view name,
                    const std::optional<store_position>& position,
                    bool states_eras) {
  if (!position) {
    return;
  }
  AppendParameter(target, name, position->revision);
  if (states_eras) {
    AppendParameter(target, std::string(name) + std::string(kEraSuffix),
                    position->era);
  }
}

/// Reads a parameter that may be missing; returns whether it is well-formed.
bool ReadParameter(const http_request& request,
                   std::string_view name,
                   std::optional<std::uint64_t>& value) {
  const std::string_view text = request.QueryParameter(name);
  if (text.empty()) {
    return true;
  }
  std::uint64_t number = 0;
  const auto [end, code] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  value = number;
  return code == std::errc() && end == text.data() + text.size();
}

/// Reads the position of a kind, which may be missing; returns whether it is
/// well-formed.
bool ReadPosition(const http_request& request,
                  std::string_view name,
                  std::optional<store_position>& position,
                  bool& states_eras) {
  std::optional<std::uint64_t> revision;
  std::optional<std::uint64_t> era;
  const std::string era_name = std::string(name) + std::string(kEraSuffix);
  if (!ReadParameter(request, name, revision) ||
      !ReadParameter(request, era_name, era)) {
    return false;
  }
  if (revision) {
    position = {era.value_or(0), *revision};
    states_eras &= era.has_value();
  }
  return true;
}

// Answers are arrays without field names, because an answer with all upstreams
// of a large fleet is sent to each process of a data centre. Elements that were
// added later are at the end, where older processes ignore them.

json EncodeVersions(const std::map<model_name, std::uint64_t>& versions) {
  json list = json::array();
  for (const auto& [model, version] : versions) {
    list.push_back(model.value());
    list.push_back(version);
  }
  return list;
}

std::int64_t Microseconds(duration value) {
  return value.count();
}

json EncodeChange(const upstream_change& change) {
  json item = json::array({change.id.value()});
  if (change.entry) {
    const upstream_entry& entry = *change.entry;
    item.push_back(entry.service.value());
    item.push_back(entry.address);
    item.push_back(entry.data_centre.value());
    item.push_back(entry.slots);
    item.push_back(entry.draining);
    item.push_back(entry.has_engine);
    item.push_back(entry.started_ms);
    item.push_back(EncodeVersions(entry.model_versions));
    item.push_back(entry.sequence);
    if (entry.cold_for > duration(0)) {
      item.push_back(Microseconds(entry.cold_for));
    }
  }
  return item;
}

std::optional<upstream_change> DecodeChange(const json& item) {
  array_reader reader(item);
  upstream_change change;
  change.id = upstream_id(reader.Text());
  if (!reader.AtEnd()) {
    upstream_entry entry;
    entry.id = change.id;
    entry.service = service_name(reader.Text());
    entry.address = reader.Text();
    entry.data_centre = data_centre_id(reader.Text());
    entry.slots = reader.Unsigned();
    entry.draining = reader.Bool();
    entry.has_engine = reader.Bool();
    entry.started_ms = reader.Unsigned();
    entry.model_versions = reader.Versions();
    entry.sequence = reader.OptionalUnsigned();
    entry.cold_for =
        duration(static_cast<duration::rep>(reader.OptionalUnsigned()));
    change.entry = std::move(entry);
  }
  if (!reader.ok()) {
    return std::nullopt;
  }
  return change;
}

}  // namespace

bool IsOfOlderEra(const relay_answer& answer, const relay_query& query) {
  const auto is_older = [](const auto& answered, const auto& known) {
    return answered && known && answered->position.era < known->era;
  };
  return is_older(answer.configuration, query.configuration) ||
         is_older(answer.upstreams, query.upstreams) ||
         is_older(answer.versions, query.versions) ||
         is_older(answer.evacuations, query.evacuations);
}

std::string RelayTarget(const relay_query& query) {
  std::string target(kPath);
  AppendPosition(target, kConfigurationParameter, query.configuration,
                 query.states_eras);
  AppendPosition(target, kUpstreamsParameter, query.upstreams,
                 query.states_eras);
  AppendPosition(target, kVersionsParameter, query.versions, query.states_eras);
  AppendPosition(target, kEvacuationsParameter, query.evacuations,
                 query.states_eras);
  AppendParameter(target, kHoldParameter,
                  static_cast<std::uint64_t>(query.hold.count()));
  if (!query.data_centre.empty()) {
    target += "&" + std::string(kDataCentreParameter) + "=" +
              boost::urls::encode(query.data_centre.value(),
                                  boost::urls::unreserved_chars);
  }
  return target;
}

std::optional<relay_query> ParseRelayTarget(std::string_view target) {
  http_request request;
  request.target = target;
  relay_query query;
  std::optional<std::uint64_t> hold;
  if (request.path() != kPath ||
      !ReadPosition(request, kConfigurationParameter, query.configuration,
                    query.states_eras) ||
      !ReadPosition(request, kUpstreamsParameter, query.upstreams,
                    query.states_eras) ||
      !ReadPosition(request, kVersionsParameter, query.versions,
                    query.states_eras) ||
      !ReadPosition(request, kEvacuationsParameter, query.evacuations,
                    query.states_eras) ||
      !ReadParameter(request, kHoldParameter, hold)) {
    return std::nullopt;
  }
  constexpr std::uint64_t kMaxHold = 60'000'000;  // µs
  query.hold = duration(
      static_cast<duration::rep>(std::min(hold.value_or(0), kMaxHold)));
  const auto data_centre = boost::urls::make_pct_string_view(
      request.QueryParameter(kDataCentreParameter));
  if (!data_centre) {
    return std::nullopt;
  }
  query.data_centre = data_centre_id(data_centre->decode());
  return query;
}

std::string EncodeRelayAnswer(const relay_answer& answer) {
  json outage;
  if (answer.outage) {
    outage = json::array({Microseconds(answer.outage->length),
                          Microseconds(answer.outage->ended_for)});
  }
  json configuration;
  if (answer.configuration) {
    configuration = json::array({answer.configuration->position.revision,
                                 answer.configuration->version,
                                 Microseconds(answer.configuration->age),
                                 answer.configuration->position.era});
  }
  json upstreams;
  if (answer.upstreams) {
    json changes = json::array();
    for (const upstream_change& change : answer.upstreams->changes) {
      changes.push_back(EncodeChange(change));
    }
    upstreams = json::array({answer.upstreams->position.revision,
                             answer.upstreams->complete, std::move(changes),
                             answer.upstreams->position.era});
  }
  json versions;
  if (answer.versions) {
    json list = json::array();
    // Older processes use the last of several publications of a model.
    for (const auto& [model, publications] : answer.versions->versions) {
      for (const relayed_version& published : publications) {
        list.push_back(model.value());
        list.push_back(published.version);
        list.push_back(Microseconds(published.age));
      }
    }
    versions = json::array({answer.versions->position.revision,
                            Microseconds(answer.versions->age), std::move(list),
                            answer.versions->position.era});
  }
  json message =
      json::array({answer.fresh, Microseconds(answer.held), std::move(outage),
                   std::move(configuration), std::move(upstreams),
                   std::move(versions), answer.relays});
  if (answer.evacuations) {
    json list = json::array();
    for (const data_centre_id& data_centre : answer.evacuations->data_centres) {
      list.push_back(data_centre.value());
    }
    message.push_back(
        json::array({answer.evacuations->position.revision,
                     answer.evacuations->position.era, std::move(list)}));
  }
  std::string bytes;
  json::to_cbor(message, bytes);
  return Compress(bytes);
}

std::optional<relay_answer> DecodeRelayAnswer(std::string_view bytes) {
  const std::optional<std::string> content = Decompress(bytes, kMaxAnswerBytes);
  if (!content) {
    return std::nullopt;
  }
  const json message = ParseCbor(*content);
  if (message.is_discarded()) {
    return std::nullopt;
  }
  array_reader reader(message);
  relay_answer answer;
  answer.fresh = reader.Bool();
  answer.held = reader.Duration();
  bool ok = true;
  if (const json& item = reader.Next(); !item.is_null()) {
    array_reader outage(item);
    answer.outage = {outage.Duration(), outage.Duration()};
    ok &= outage.ok();
  }
  if (const json& item = reader.Next(); !item.is_null()) {
    array_reader configuration(item);
    relayed_configuration newest;
    newest.position.revision = configuration.Unsigned();
    newest.version = configuration.Unsigned();
    newest.age = configuration.Duration();
    newest.position.era = configuration.OptionalUnsigned();
    answer.configuration = newest;
    ok &= configuration.ok();
  }
  if (const json& item = reader.Next(); !item.is_null()) {
    array_reader upstreams(item);
    upstream_changes changes;
    changes.position.revision = upstreams.Unsigned();
    changes.complete = upstreams.Bool();
    array_reader list(upstreams.Next());
    while (!list.AtEnd()) {
      std::optional<upstream_change> change = DecodeChange(list.Next());
      ok &= change.has_value();
      if (change) {
        changes.changes.push_back(*std::move(change));
      }
    }
    changes.position.era = upstreams.OptionalUnsigned();
    ok &= upstreams.ok() && list.ok();
    answer.upstreams = std::move(changes);
  }
  if (const json& item = reader.Next(); !item.is_null()) {
    array_reader reader_of_versions(item);
    relayed_versions versions;
    versions.position.revision = reader_of_versions.Unsigned();
    versions.age = reader_of_versions.Duration();
    array_reader list(reader_of_versions.Next());
    while (!list.AtEnd()) {
      relayed_version& published =
          versions.versions[model_name(list.Text())].emplace_back();
      published.version = list.Unsigned();
      published.age = list.Duration();
    }
    versions.position.era = reader_of_versions.OptionalUnsigned();
    ok &= reader_of_versions.ok() && list.ok();
    answer.versions = std::move(versions);
  }
  array_reader relays(reader.Next());
  while (!relays.AtEnd()) {
    answer.relays.push_back(relays.Text());
  }
  ok &= relays.ok();
  if (!reader.AtEnd()) {
    array_reader evacuations(reader.Next());
    relayed_evacuations all;
    all.position.revision = evacuations.Unsigned();
    all.position.era = evacuations.Unsigned();
    array_reader list(evacuations.Next());
    while (!list.AtEnd()) {
      all.data_centres.emplace(list.Text());
    }
    ok &= evacuations.ok() && list.ok();
    answer.evacuations = std::move(all);
  }
  if (!ok || !reader.ok()) {
    return std::nullopt;
  }
  return answer;
}

}  // namespace fireflyslip
