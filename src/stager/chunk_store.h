#ifndef FIREFLYSLIP_STAGER_CHUNK_STORE_H_
#define FIREFLYSLIP_STAGER_CHUNK_STORE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fireflyslip/core/digest.h"

namespace fireflyslip {

/// \brief In-memory store of the chunks of one model version, verified by
/// digest.
class chunk_store {
 public:
  /// \brief Switches to a new version and drops the chunks of the previous one.
  void Reset(std::uint64_t version, std::vector<digest> digests) {
    version_ = version;
    digests_ = std::move(digests);
    chunks_.assign(digests_.size(), nullptr);
  }

  std::uint64_t version() const { return version_; }
  std::size_t size() const { return digests_.size(); }
  const std::vector<digest>& digests() const { return digests_; }

  /// \brief Whether the bytes match the digest of the chunk.
  bool Matches(std::size_t index, const std::string& bytes) const {
    return index < digests_.size() && digest::Of(bytes) == digests_[index];
  }

  /// \brief Stores a chunk if its bytes match its digest; returns whether they
  /// do.
  bool Put(std::size_t index, std::string bytes) {
    if (!Matches(index, bytes)) {
      return false;
    }
    chunks_[index] = std::make_shared<const std::string>(std::move(bytes));
    return true;
  }

  /// \brief Replaces the digest of a chunk that is not stored by that of
  /// another manifest of the version, and stores the chunk, if its bytes match
  /// that one. Bytes and a digest that agree prove that the former digest was
  /// wrong: each may have been corrupted, but not so that they match. Returns
  /// whether the chunk was stored.
  bool Correct(std::size_t index,
               const std::vector<digest>& other_manifest,
               std::string bytes) {
    if (index >= chunks_.size() || chunks_[index] != nullptr ||
        other_manifest.size() != digests_.size() ||
        digest::Of(bytes) != other_manifest[index]) {
      return false;
    }
    digests_[index] = other_manifest[index];
    return Put(index, std::move(bytes));
  }

  /// \brief Returns the bytes of a chunk, or null if it is not stored.
  std::shared_ptr<const std::string> Get(std::size_t index) const {
    return index < chunks_.size() ? chunks_[index] : nullptr;
  }

 private:
  std::uint64_t version_ = 0;
  std::vector<digest> digests_;
  std::vector<std::shared_ptr<const std::string>> chunks_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_STAGER_CHUNK_STORE_H_
