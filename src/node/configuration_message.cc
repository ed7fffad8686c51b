#include "node/configuration_message.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "fireflyslip/http/http_message.h"
#include "node/array_reader.h"
#include "node/cbor.h"
#include "node/compression.h"

namespace fireflyslip {
namespace {

using nlohmann::json;

constexpr std::string_view kVersionParameter = "version";
constexpr std::string_view kDigestParameter = "digest";

// Numbers and texts of an edit follow each other without nesting.
json EncodeDelta(const text_delta& delta) {
  json list = json::array();
  for (const text_edit& edit : delta) {
    list.push_back(edit.offset);
    list.push_back(edit.length);
    list.push_back(edit.inserted);
  }
  return list;
}

text_delta DecodeDelta(array_reader& list) {
  text_delta delta;
  while (!list.AtEnd()) {
    text_edit edit;
    edit.offset = list.Unsigned();
    edit.length = list.Unsigned();
    edit.inserted = list.Text();
    delta.push_back(std::move(edit));
  }
  return delta;
}

void AppendId(json& item, const content_id& id) {
  item.push_back(id.version);
  item.push_back(id.content_digest.ToHex());
}

/// Empty if the digest is malformed.
std::optional<content_id> ReadId(array_reader& reader) {
  const std::uint64_t version = reader.Unsigned();
  const std::string hex = reader.Text();
  const auto content_digest = digest::FromHex(hex);
  return content_digest ? std::optional(content_id{version, *content_digest})
                        : std::nullopt;
}

std::optional<content_change> DecodeChange(const json& item) {
  array_reader reader(item);
  const auto from = ReadId(reader);
  const auto to = ReadId(reader);
  array_reader edits(reader.Next());
  text_delta delta = DecodeDelta(edits);
  if (!reader.ok() || !edits.ok() || !from || !to) {
    return std::nullopt;
  }
  return content_change{*from, *to, std::move(delta)};
}

}  // namespace

std::string ConfigurationChangesTarget(const content_id& known) {
  return std::string(kConfigurationChangesPath) + "?" +
         std::string(kVersionParameter) + "=" + std::to_string(known.version) +
         "&" + std::string(kDigestParameter) + "=" +
         known.content_digest.ToHex();
}

std::optional<content_id> ParseConfigurationChangesTarget(
    std::string_view target) {
  http_request request;
  request.target = std::string(target);
  const std::string_view version = request.QueryParameter(kVersionParameter);
  const auto content_digest =
      digest::FromHex(request.QueryParameter(kDigestParameter));
  content_id known;
  const auto [end, code] = std::from_chars(
      version.data(), version.data() + version.size(), known.version);
  if (request.path() != kConfigurationChangesPath || code != std::errc() ||
      end != version.data() + version.size() || !content_digest) {
    return std::nullopt;
  }
  known.content_digest = *content_digest;
  return known;
}

std::string EncodeConfigurationChanges(
    const std::vector<content_change>& changes) {
  json list = json::array();
  for (const content_change& change : changes) {
    json item = json::array();
    AppendId(item, change.from);
    AppendId(item, change.to);
    item.push_back(EncodeDelta(change.delta));
    list.push_back(std::move(item));
  }
  const std::vector<std::uint8_t> bytes = json::to_cbor(list);
  return Compress({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
}

std::optional<std::vector<content_change>> DecodeConfigurationChanges(
    std::string_view bytes) {
  const auto text = Decompress(bytes, kMaxConfigurationBytes);
  const json list = text ? ParseCbor(*text) : json(json::value_t::discarded);
  if (!list.is_array()) {
    return std::nullopt;
  }
  std::vector<content_change> changes;
  for (const json& item : list) {
    std::optional<content_change> change = DecodeChange(item);
    if (!change) {
      return std::nullopt;
    }
    changes.push_back(*std::move(change));
  }
  return changes;
}

}  // namespace fireflyslip
