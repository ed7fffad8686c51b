#include "program/chunk_announcement.h"

#include <charconv>
#include <string>
#include <string_view>

namespace fireflyslip {
namespace {

constexpr int kHexBase = 16;

std::string EncodeHex(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  hex.reserve(2 * bytes.size());
  for (const char byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    hex += kDigits[value / kHexBase];
    hex += kDigits[value % kHexBase];
  }
  return hex;
}

std::optional<std::string> DecodeHex(std::string_view hex) {
  if (hex.size() % 2 != 0) {
    return std::nullopt;
  }
  std::string bytes;
  bytes.reserve(hex.size() / 2);
  for (std::size_t i = 0; i < hex.size(); i += 2) {
    unsigned value = 0;
    const char* end = hex.data() + i + 2;
    const auto [position, code] =
        std::from_chars(hex.data() + i, end, value, kHexBase);
    if (code != std::errc() || position != end) {
      return std::nullopt;
    }
    bytes += static_cast<char>(value);
  }
  return bytes;
}

}  // namespace

chunk_have_message MakeAnnouncement(const digest& manifest_name,
                                    const chunk_bitmap& chunks) {
  return {manifest_name.ToHex(), EncodeHex(chunks.ToBytes())};
}

std::optional<chunk_bitmap> ParseAnnouncement(const chunk_have_message& message,
                                              std::size_t chunks) {
  const std::optional<std::string> bytes = DecodeHex(message.bitmap);
  if (!bytes) {
    return std::nullopt;
  }
  return chunk_bitmap::FromBytes(*bytes, chunks);
}

}  // namespace fireflyslip
