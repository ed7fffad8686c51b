#include "fireflyslip/core/rendezvous.h"

#include "fireflyslip/core/hash.h"

namespace fireflyslip {

std::uint64_t RendezvousScore(std::string_view key, std::string_view node) {
  return StableHash(node, StableHash(key));
}

}  // namespace fireflyslip
