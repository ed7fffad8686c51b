#ifndef FIREFLYSLIP_CORE_HASH_H_
#define FIREFLYSLIP_CORE_HASH_H_

#include <cstdint>
#include <string_view>

namespace fireflyslip {

/// \brief 64-bit hash that is equal in all processes (XXH3); not
/// cryptographic.
std::uint64_t StableHash(std::string_view bytes, std::uint64_t seed = 0);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CORE_HASH_H_
