#ifndef FIREFLYSLIP_NODE_COMPRESSION_H_
#define FIREFLYSLIP_NODE_COMPRESSION_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace fireflyslip {

/// \brief Compresses bytes (zlib format, RFC 1950).
std::string Compress(std::string_view bytes);

/// \brief Restores compressed bytes; empty if they are malformed, incomplete or
/// yield more than `max_bytes`.
std::optional<std::string> Decompress(std::string_view compressed,
                                      std::size_t max_bytes);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_NODE_COMPRESSION_H_
