#include "fireflyslip/distribution/chunk_bitmap.h"

#include <bit>

namespace fireflyslip {

namespace {
constexpr std::size_t kByteBits = 8;
}  // namespace

std::size_t chunk_bitmap::Count() const {
  std::size_t count = 0;
  for (const std::uint64_t word : words_) {
    count += static_cast<std::size_t>(std::popcount(word));
  }
  return count;
}

std::string chunk_bitmap::ToBytes() const {
  std::string bytes((size_ + kByteBits - 1) / kByteBits, '\0');
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    const std::uint64_t word = words_[i / sizeof(std::uint64_t)];
    const auto shift = (i % sizeof(std::uint64_t)) * kByteBits;
    bytes[i] = static_cast<char>((word >> shift) & 0xffU);
  }
  return bytes;
}

std::optional<chunk_bitmap> chunk_bitmap::FromBytes(std::string_view bytes,
                                                    std::size_t size) {
  if (bytes.size() != (size + kByteBits - 1) / kByteBits) {
    return std::nullopt;
  }
  chunk_bitmap bitmap(size);
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    const std::uint64_t value = static_cast<unsigned char>(bytes[i]);
    const auto shift = (i % sizeof(std::uint64_t)) * kByteBits;
    bitmap.words_[i / sizeof(std::uint64_t)] |= value << shift;
  }
  const std::size_t tail = size % kWordBits;
  if (tail != 0 && (bitmap.words_.back() >> tail) != 0) {
    return std::nullopt;
  }
  return bitmap;
}

}  // namespace fireflyslip
