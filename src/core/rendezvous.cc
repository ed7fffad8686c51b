#include "fireflyslip/core/rendezvous.h"

#include <xxhash.h>

namespace fireflyslip {

std::uint64_t RendezvousScore(std::string_view key, std::string_view node) {
  const std::uint64_t seed = XXH3_64bits(key.data(), key.size());
  return XXH3_64bits_withSeed(node.data(), node.size(), seed);
}

}  // namespace fireflyslip
