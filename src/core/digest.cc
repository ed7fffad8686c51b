#include "fireflyslip/core/digest.h"

#include <openssl/sha.h>

namespace fireflyslip {
namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";

std::optional<std::uint8_t> ParseHexDigit(char digit) {
  const std::size_t value = kHexDigits.find(digit);
  if (value == std::string_view::npos) {
    return std::nullopt;
  }
  return static_cast<std::uint8_t>(value);
}

}  // namespace

digest digest::Of(std::string_view bytes) {
  static_assert(kSize == SHA256_DIGEST_LENGTH);
  digest value;
  SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
         value.bytes_.data());
  return value;
}

std::optional<digest> digest::FromHex(std::string_view hex) {
  if (hex.size() != 2 * kSize) {
    return std::nullopt;
  }
  digest value;
  for (std::size_t i = 0; i < kSize; ++i) {
    const auto high = ParseHexDigit(hex[2 * i]);
    const auto low = ParseHexDigit(hex[2 * i + 1]);
    if (!high || !low) {
      return std::nullopt;
    }
    value.bytes_[i] = static_cast<std::uint8_t>(*high << 4 | *low);
  }
  return value;
}

std::string digest::ToHex() const {
  std::string hex;
  hex.reserve(2 * kSize);
  for (const std::uint8_t byte : bytes_) {
    hex.push_back(kHexDigits[byte >> 4]);
    hex.push_back(kHexDigits[byte & 0xf]);
  }
  return hex;
}

}  // namespace fireflyslip
