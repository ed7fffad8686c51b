#ifndef FIREFLYSLIP_STAGER_CHUNK_STORE_H_
#define FIREFLYSLIP_STAGER_CHUNK_STORE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
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
