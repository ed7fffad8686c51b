#ifndef FIREFLYSLIP_DISTRIBUTION_MANIFEST_H_
#define FIREFLYSLIP_DISTRIBUTION_MANIFEST_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "fireflyslip/core/digest.h"
#include "fireflyslip/core/ids.h"
#include "fireflyslip/core/result.h"

namespace fireflyslip {

/// \brief One chunk of a model version, named by the digest of its bytes.
struct chunk_entry {
  digest name;
  std::uint64_t size = 0;  ///< Bytes.

  auto operator<=>(const chunk_entry&) const = default;
};

/// \brief Bounds on a manifest that comes from the network.
struct manifest_limits {
  std::size_t max_bytes = 4U << 20U;  ///< Size of the JSON text.
  std::size_t max_chunks = 16384;
  std::uint64_t max_chunk_size = 256ULL << 20U;  ///< Bytes.

  bool operator==(const manifest_limits&) const = default;
};

/// \brief Ordered list of the chunks of one model version.
struct manifest {
  model_name model;
  model_version version;
  digest name;             ///< SHA-256 of the JSON text.
  std::uint64_t size = 0;  ///< Sum of the chunk sizes in bytes.
  std::vector<chunk_entry> chunks;

  bool operator==(const manifest&) const = default;
};

/// \brief Chunks without repetitions, in the order of their first occurrence.
/// The index in this list is the chunk's bit in a `chunk_bitmap`.
std::vector<chunk_entry> DistinctChunks(const manifest& value);

/// \brief Parses a manifest and checks it against its declared digest.
///
/// Errors: `kPayloadTooLarge` above the limits, `kCorruptData` if the text does
/// not have the declared digest, `kProtocolError` if it is malformed or its
/// sizes do not add up.
result<manifest> ParseManifest(std::string_view json,
                               const digest& declared,
                               const manifest_limits& limits = {});

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_DISTRIBUTION_MANIFEST_H_
