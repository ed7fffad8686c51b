#include "node/relay_message.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "fireflyslip/http/http_message.h"
#include "node/cbor.h"
#include "node/compression.h"

namespace fireflyslip {
namespace {

using nlohmann::json;

constexpr std::string_view kPath = "/catalog";
/// Some 100,000 upstreams.
constexpr std::size_t kMaxAnswerBytes = 16UL << 20;
constexpr std::string_view kConfigurationParameter = "configuration";
constexpr std::string_view kUpstreamsParameter = "upstreams";
constexpr std::string_view kVersionsParameter = "versions";
constexpr std::string_view kHoldParameter = "hold_us";

void AppendParameter(std::string& target,
                     std::string_view name,
                     const std::optional<std::uint64_t>& value) {
  if (value) {
    target += target.find('?') == std::string::npos ? '?' : '&';
    target += name;
    target += '=';
    target += std::to_string(*value);
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

// Answers are arrays without field names, because an answer with all upstreams
// of a large fleet is sent to each process of a data centre.

json EncodeVersions(const std::map<model_name, std::uint64_t>& versions) {
  json list = json::array();
  for (const auto& [model, version] : versions) {
    list.push_back(model.value());
    list.push_back(version);
  }
  return list;
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
  }
  return item;
}

std::int64_t Microseconds(duration value) {
  return value.count();
}

/// \brief Reads the elements of an array in order; every getter fails for good
/// once an element is missing or of another type.
class array_reader {
 public:
  explicit array_reader(const json& list) : list_(list) {
    ok_ = list.is_array();
  }

  bool ok() const { return ok_; }
  bool AtEnd() const { return !ok_ || next_ >= list_.size(); }

  const json& Next() {
    static const json null;
    if (AtEnd()) {
      ok_ = false;
      return null;
    }
    return list_[next_++];
  }
  std::uint64_t Unsigned() {
    const json& item = Next();
    ok_ &= item.is_number_unsigned();
    return ok_ ? item.get<std::uint64_t>() : 0;
  }
  duration Duration() {
    const json& item = Next();
    ok_ &= item.is_number_integer();
    return duration(ok_ ? item.get<std::int64_t>() : 0);
  }
  bool Bool() {
    const json& item = Next();
    ok_ &= item.is_boolean();
    return ok_ && item.get<bool>();
  }
  std::string Text() {
    const json& item = Next();
    ok_ &= item.is_string();
    return ok_ ? item.get<std::string>() : std::string();
  }
  std::map<model_name, std::uint64_t> Versions() {
    std::map<model_name, std::uint64_t> versions;
    array_reader list(Next());
    while (!list.AtEnd()) {
      model_name model(list.Text());
      versions[std::move(model)] = list.Unsigned();
    }
    ok_ &= list.ok();
    return versions;
  }

 private:
  const json& list_;
  std::size_t next_ = 0;
  bool ok_ = false;
};

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
    change.entry = std::move(entry);
  }
  if (!reader.ok()) {
    return std::nullopt;
  }
  return change;
}

}  // namespace

std::string RelayTarget(const relay_query& query) {
  std::string target(kPath);
  AppendParameter(target, kConfigurationParameter, query.configuration);
  AppendParameter(target, kUpstreamsParameter, query.upstreams);
  AppendParameter(target, kVersionsParameter, query.versions);
  AppendParameter(target, kHoldParameter,
                  static_cast<std::uint64_t>(query.hold.count()));
  return target;
}

std::optional<relay_query> ParseRelayTarget(std::string_view target) {
  http_request request;
  request.target = target;
  relay_query query;
  std::optional<std::uint64_t> hold;
  if (request.path() != kPath ||
      !ReadParameter(request, kConfigurationParameter, query.configuration) ||
      !ReadParameter(request, kUpstreamsParameter, query.upstreams) ||
      !ReadParameter(request, kVersionsParameter, query.versions) ||
      !ReadParameter(request, kHoldParameter, hold)) {
    return std::nullopt;
  }
  constexpr std::uint64_t kMaxHold = 60'000'000;  // µs
  query.hold = duration(
      static_cast<duration::rep>(std::min(hold.value_or(0), kMaxHold)));
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
    configuration = json::array({answer.configuration->revision,
                                 answer.configuration->version,
                                 Microseconds(answer.configuration->age)});
  }
  json upstreams;
  if (answer.upstreams) {
    json changes = json::array();
    for (const upstream_change& change : answer.upstreams->changes) {
      changes.push_back(EncodeChange(change));
    }
    upstreams = json::array({answer.upstreams->revision,
                             answer.upstreams->complete, std::move(changes)});
  }
  json versions;
  if (answer.versions) {
    json list = json::array();
    for (const auto& [model, published] : answer.versions->versions) {
      list.push_back(model.value());
      list.push_back(published.version);
      list.push_back(Microseconds(published.age));
    }
    versions =
        json::array({answer.versions->revision,
                     Microseconds(answer.versions->age), std::move(list)});
  }
  const json message =
      json::array({answer.fresh, Microseconds(answer.held), std::move(outage),
                   std::move(configuration), std::move(upstreams),
                   std::move(versions), answer.relays});
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
    answer.configuration = {configuration.Unsigned(), configuration.Unsigned(),
                            configuration.Duration()};
    ok &= configuration.ok();
  }
  if (const json& item = reader.Next(); !item.is_null()) {
    array_reader upstreams(item);
    upstream_changes changes;
    changes.revision = upstreams.Unsigned();
    changes.complete = upstreams.Bool();
    array_reader list(upstreams.Next());
    while (!list.AtEnd()) {
      std::optional<upstream_change> change = DecodeChange(list.Next());
      ok &= change.has_value();
      if (change) {
        changes.changes.push_back(*std::move(change));
      }
    }
    ok &= upstreams.ok() && list.ok();
    answer.upstreams = std::move(changes);
  }
  if (const json& item = reader.Next(); !item.is_null()) {
    array_reader reader_of_versions(item);
    relayed_versions versions;
    versions.revision = reader_of_versions.Unsigned();
    versions.age = reader_of_versions.Duration();
    array_reader list(reader_of_versions.Next());
    while (!list.AtEnd()) {
      relayed_version& published = versions.versions[model_name(list.Text())];
      published.version = list.Unsigned();
      published.age = list.Duration();
    }
    ok &= reader_of_versions.ok() && list.ok();
    answer.versions = std::move(versions);
  }
  array_reader relays(reader.Next());
  while (!relays.AtEnd()) {
    answer.relays.push_back(relays.Text());
  }
  ok &= relays.ok();
  if (!ok || !reader.ok()) {
    return std::nullopt;
  }
  return answer;
}

}  // namespace fireflyslip
