#ifndef FIREFLYSLIP_DISTRIBUTION_CHUNK_BITMAP_H_
#define FIREFLYSLIP_DISTRIBUTION_CHUNK_BITMAP_H_

#include <cassert>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fireflyslip {

/// \brief Set of chunk indices of one manifest, as a bit vector.
///
/// Invariant: bits beyond `size()` are zero.
class chunk_bitmap {
 public:
  static constexpr std::size_t kWordBits = 64;

  chunk_bitmap() = default;
  explicit chunk_bitmap(std::size_t size)
      : size_(size), words_((size + kWordBits - 1) / kWordBits) {}

  std::size_t size() const { return size_; }

  bool Test(std::size_t index) const {
    assert(index < size_);
    return ((words_[index / kWordBits] >> (index % kWordBits)) & 1U) != 0;
  }
  void Set(std::size_t index) {
    assert(index < size_);
    words_[index / kWordBits] |= std::uint64_t{1} << (index % kWordBits);
  }
  void Reset(std::size_t index) {
    assert(index < size_);
    words_[index / kWordBits] &= ~(std::uint64_t{1} << (index % kWordBits));
  }

  std::size_t Count() const;
  bool IsFull() const { return Count() == size_; }

  /// \brief Storage words of 64 bits; the least significant bit comes first.
  const std::vector<std::uint64_t>& words() const { return words_; }

  /// \brief Wire encoding: one byte for eight chunks, least significant bit
  /// first, without a length prefix.
  std::string ToBytes() const;

  /// \brief Decodes a bitmap of `size` chunks. Returns `std::nullopt` if the
  /// length does not match or a bit beyond `size` is set.
  static std::optional<chunk_bitmap> FromBytes(std::string_view bytes,
                                               std::size_t size);

  auto operator<=>(const chunk_bitmap&) const = default;

 private:
  std::size_t size_ = 0;
  std::vector<std::uint64_t> words_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_DISTRIBUTION_CHUNK_BITMAP_H_
