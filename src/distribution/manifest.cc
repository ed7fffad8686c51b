#include "fireflyslip/distribution/manifest.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace fireflyslip {
namespace {

using nlohmann::json;

error Malformed(std::string detail) {
  return error{error_kind::kProtocolError, "manifest: " + std::move(detail)};
}

std::optional<std::string> TextField(const json& object, const char* field) {
  const auto it = object.find(field);
  if (it == object.end() || !it->is_string()) {
    return std::nullopt;
  }
  return it->get<std::string>();
}

std::optional<std::uint64_t> SizeField(const json& object) {
  const auto it = object.find("size");
  if (it == object.end() || !it->is_number_unsigned()) {
    return std::nullopt;
  }
  return it->get<std::uint64_t>();
}

}  // namespace

std::vector<chunk_entry> DistinctChunks(const manifest& value) {
  std::vector<chunk_entry> distinct;
  std::set<digest> seen;
  for (const chunk_entry& chunk : value.chunks) {
    if (seen.insert(chunk.name).second) {
      distinct.push_back(chunk);
    }
  }
  return distinct;
}

result<manifest> ParseManifest(std::string_view text,
                               const digest& declared,
                               const manifest_limits& limits) {
  if (text.size() > limits.max_bytes) {
    return error{error_kind::kPayloadTooLarge,
                 "manifest: " + std::to_string(text.size()) + " bytes"};
  }
  manifest parsed;
  parsed.name = digest::Of(text);
  if (parsed.name != declared) {
    return error{error_kind::kCorruptData,
                 "manifest: digest " + parsed.name.ToHex() +
                     " differs from declared " + declared.ToHex()};
  }
  const json root = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!root.is_object()) {
    return Malformed("not a JSON object");
  }
  const auto model = TextField(root, "model");
  const auto version = TextField(root, "version");
  const auto size = SizeField(root);
  const auto chunks = root.find("chunks");
  if (!model || model->empty() || !version || version->empty() || !size ||
      chunks == root.end() || !chunks->is_array()) {
    return Malformed("model, version, size or chunks missing or mistyped");
  }
  if (chunks->size() > limits.max_chunks) {
    return error{error_kind::kPayloadTooLarge,
                 "manifest: " + std::to_string(chunks->size()) + " chunks"};
  }
  parsed.model = model_name(*model);
  parsed.version = model_version(*version);
  parsed.size = *size;
  std::uint64_t sum = 0;
  for (const json& item : *chunks) {
    if (!item.is_object()) {
      return Malformed("chunk is not an object");
    }
    const auto hex = TextField(item, "digest");
    const auto name = hex ? digest::FromHex(*hex) : std::nullopt;
    const auto chunk_size = SizeField(item);
    if (!name || !chunk_size || *chunk_size == 0) {
      return Malformed("chunk digest or size missing or invalid");
    }
    if (*chunk_size > limits.max_chunk_size) {
      return error{
          error_kind::kPayloadTooLarge,
          "manifest: chunk of " + std::to_string(*chunk_size) + " bytes"};
    }
    sum += *chunk_size;
    parsed.chunks.push_back({*name, *chunk_size});
  }
  if (parsed.chunks.empty() || sum != parsed.size) {
    return Malformed("size differs from the sum of the chunk sizes");
  }
  return parsed;
}

}  // namespace fireflyslip
