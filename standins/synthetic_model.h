#ifndef FIREFLYSLIP_STANDINS_SYNTHETIC_MODEL_H_
#define FIREFLYSLIP_STANDINS_SYNTHETIC_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace fireflyslip::standins {

struct model_description {
  std::string name;
  std::string version;
  std::uint64_t size = 0;        ///< Bytes.
  std::uint64_t chunk_size = 0;  ///< Bytes; the last chunk may be smaller.
  /// Fraction of the chunks that are identical in all versions of the model.
  double shared_fraction = 0;
};

/// \brief Parses `NAME=VERSION:SIZE_BYTES:CHUNK_BYTES`. Throws
/// `std::invalid_argument`.
model_description ParseModelDescription(const std::string& text,
                                        double shared_fraction);

/// \brief Weights generated deterministically from their description on demand.
class synthetic_model {
 public:
  /// \brief Throws `std::invalid_argument` if a size is zero.
  explicit synthetic_model(model_description description);

  const model_description& description() const { return description_; }
  const std::string& manifest() const { return manifest_; }

  /// \brief Hexadecimal digests of the chunks.
  const std::vector<std::string>& chunk_digests() const { return digests_; }

  /// \brief Bytes of a chunk. The index must be less than the number of chunks.
  std::string Chunk(std::size_t index) const;

 private:
  model_description description_;
  std::vector<std::string> digests_;
  std::string manifest_;
};

}  // namespace fireflyslip::standins

#endif  // FIREFLYSLIP_STANDINS_SYNTHETIC_MODEL_H_
