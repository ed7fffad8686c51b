#include "fireflyslip/booking/journal_codec.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

namespace fireflyslip {
namespace {

using nlohmann::json;

constexpr int kFormat = 1;
constexpr std::string_view kBase64Alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

// Bodies are arbitrary bytes, which JSON strings cannot represent.
std::string ToBase64(std::string_view bytes) {
  std::string text;
  text.reserve((bytes.size() + 2) / 3 * 4);
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group <<= 8;
      group |= j < count ? static_cast<std::uint8_t>(bytes[i + j]) : 0;
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += j <= count ? kBase64Alphabet[(group >> (18 - 6 * j)) & 63U] : '=';
    }
  }
  return text;
}

std::optional<std::string> FromBase64(std::string_view text) {
  if (text.size() % 4 != 0) {
    return std::nullopt;
  }
  std::size_t padding = 0;
  while (padding < 2 && padding < text.size() &&
         text[text.size() - 1 - padding] == '=') {
    ++padding;
  }
  std::string bytes;
  bytes.reserve(text.size() / 4 * 3);
  std::uint32_t group = 0;
  for (std::size_t i = 0; i < text.size(); ++i) {
    std::size_t value = 0;
    if (i < text.size() - padding) {
      value = kBase64Alphabet.find(text[i]);
      if (value == std::string_view::npos) {
        return std::nullopt;
      }
    }
    group = (group << 6) | static_cast<std::uint32_t>(value);
    if (i % 4 == 3) {
      bytes += static_cast<char>((group >> 16) & 255U);
      bytes += static_cast<char>((group >> 8) & 255U);
      bytes += static_cast<char>(group & 255U);
      group = 0;
    }
  }
  bytes.resize(bytes.size() - padding);
  return bytes;
}

constexpr std::array<std::pair<claim_state, std::string_view>, 3> kStateNames =
    {{{claim_state::kClaimed, "claimed"},
      {claim_state::kAnswered, "answered"},
      {claim_state::kUnknown, "unknown"}}};

error Malformed(std::string detail) {
  return {error_kind::kCorruptData, "journal: " + std::move(detail)};
}

digest DecodeDigest(const json& value) {
  const auto parsed = digest::FromHex(value.get_ref<const std::string&>());
  if (!parsed) {
    throw std::invalid_argument("not a digest");
  }
  return *parsed;
}

stored_answer DecodeAnswer(const json& value) {
  stored_answer answer;
  answer.status = value.at("status").get<int>();
  answer.content_type = value.at("content_type").get<std::string>();
  answer.body_digest = DecodeDigest(value.at("body_digest"));
  if (value.contains("body")) {
    answer.body = FromBase64(value.at("body").get_ref<const std::string&>());
    if (!answer.body || digest::Of(*answer.body) != answer.body_digest) {
      throw std::invalid_argument("body does not match its digest");
    }
  }
  return answer;
}

journal_record DecodeRecord(const json& value) {
  journal_record record;
  const auto& name = value.at("state").get_ref<const std::string&>();
  const auto* found =
      std::find_if(kStateNames.begin(), kStateNames.end(),
                   [&](const auto& entry) { return entry.second == name; });
  if (found == kStateNames.end()) {
    throw std::invalid_argument("unknown state");
  }
  record.state = found->first;
  record.request = DecodeDigest(value.at("request"));
  if (record.state == claim_state::kAnswered) {
    record.answer = DecodeAnswer(value);
  }
  return record;
}

}  // namespace

bool IsPrintable(std::string_view text, std::size_t max_size) {
  return !text.empty() && text.size() <= max_size &&
         std::all_of(text.begin(), text.end(),
                     [](char c) { return c >= ' ' && c <= '~'; });
}

std::string EncodeRecord(const idempotency_key& key,
                         const journal_record& record) {
  json value;
  value["key"] = key.value();
  value["request"] = record.request.ToHex();
  value["state"] = kStateNames[static_cast<std::size_t>(record.state)].second;
  if (record.answer) {
    value["status"] = record.answer->status;
    value["content_type"] = record.answer->content_type;
    value["body_digest"] = record.answer->body_digest.ToHex();
    if (record.answer->body) {
      value["body"] = ToBase64(*record.answer->body);
    }
  }
  return value.dump();
}

std::string EncodeJournal(incarnation_number incarnation,
                          std::string_view update_id,
                          std::string_view joined_records) {
  std::string body = R"({"format":)" + std::to_string(kFormat) +
                     R"(,"incarnation":)" + std::to_string(incarnation) +
                     R"(,"update_id":")";
  body += update_id;
  body += R"(","claims":[)";
  body += joined_records;
  body += "]}";
  return body;
}

std::string EncodeJournal(const journal_document& document) {
  std::string joined;
  for (const auto& [key, record] : document.records) {
    if (!joined.empty()) {
      joined += ',';
    }
    joined += EncodeRecord(key, record);
  }
  return EncodeJournal(document.incarnation, document.update_id, joined);
}

result<journal_document> DecodeJournal(std::string_view body) {
  try {
    const json value = json::parse(body);
    if (value.at("format").get<int>() != kFormat) {
      return Malformed("unknown format number");
    }
    journal_document document;
    document.incarnation = value.at("incarnation").get<incarnation_number>();
    document.update_id = value.at("update_id").get<std::string>();
    const json& claims = value.at("claims");
    if (!claims.is_array() || document.update_id.empty()) {
      return Malformed("missing claims or update id");
    }
    for (const json& claim : claims) {
      const idempotency_key key(claim.at("key").get<std::string>());
      if (!document.records.emplace(key, DecodeRecord(claim)).second) {
        return Malformed("repeated key");
      }
    }
    return document;
  } catch (const std::exception& failure) {
    return Malformed(failure.what());
  }
}

}  // namespace fireflyslip
