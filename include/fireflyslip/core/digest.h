#ifndef FIREFLYSLIP_CORE_DIGEST_H_
#define FIREFLYSLIP_CORE_DIGEST_H_

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fireflyslip {

/// \brief SHA-256 digest that identifies a chunk, a manifest or a caller key.
class digest {
 public:
  static constexpr std::size_t kSize = 32;  // bytes

  digest() = default;

  /// \brief Computes the SHA-256 digest of the bytes.
  static digest Of(std::string_view bytes);

  /// \brief Parses 64 hexadecimal digits.
  static std::optional<digest> FromHex(std::string_view hex);

  std::string ToHex() const;

  auto operator<=>(const digest&) const = default;

 private:
  std::array<std::uint8_t, kSize> bytes_{};
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CORE_DIGEST_H_
