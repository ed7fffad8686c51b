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

/// \brief One chunk of a model version, identified by the digest of its bytes.
struct chunk_entry {
  digest name;
  std::uint64_t size = 0;  ///< Bytes.

  auto operator<=>(const chunk_entry&) const = default;
};

/// \brief Limits for manifests received over the network.
struct manifest_limits {
  std::size_t max_bytes = 4U << 20U;  ///< Size of the JSON text.
  std::size_t max_chunks = 16384;
  std::uint64_t max_chunk_size = 256ULL << 20U;  ///< Bytes.

  bool operator==(const manifest_limits&) const = default;
};

/// \brief List of the chunks of one model version, in order.
struct manifest {
  model_name model;
  model_version version;
  digest name;             ///< SHA-256 of the JSON text.
  std::uint64_t size = 0;  ///< Sum of the chunk sizes in bytes.
  std::vector<chunk_entry> chunks;

  bool operator==(const manifest&) const = default;
};

/// \brief Returns the chunks without duplicates, in order of first occurrence.
/// The index in this list is the bit index in a `chunk_bitmap`.
std::vector<chunk_entry> DistinctChunks(const manifest& value);

/// \brief Parses a manifest and verifies its declared digest.
///
/// Errors: `kPayloadTooLarge` if a limit is exceeded, `kCorruptData` if the
/// digest of the text differs from the declared one, `kProtocolError` if the
/// text is malformed or the total size is not the sum of the chunk sizes.
result<manifest> ParseManifest(std::string_view json,
                               const digest& declared,
                               const manifest_limits& limits = {});

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_DISTRIBUTION_MANIFEST_H_
