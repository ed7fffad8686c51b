#ifndef FIREFLYSLIP_PROGRAM_CHUNK_CACHE_H_
#define FIREFLYSLIP_PROGRAM_CHUNK_CACHE_H_

#include <cstddef>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "fireflyslip/core.h"

namespace fireflyslip {

/// \brief Bytes of a chunk, shared by the cache and uploads in progress.
using chunk_bytes = std::shared_ptr<const std::string>;

/// \brief Recently used chunks, bounded by their total size.
class chunk_cache {
 public:
  explicit chunk_cache(std::size_t capacity_bytes)
      : capacity_(capacity_bytes) {}

  /// \brief The chunk, or null. A chunk that is found counts as used.
  chunk_bytes Find(const digest& name);

  /// \brief Adds a chunk and drops the least recently used ones above the
  /// capacity; a chunk above the capacity itself is not kept.
  void Insert(const digest& name, chunk_bytes bytes);

  std::size_t size_bytes() const { return size_; }

 private:
  struct entry {
    digest name;
    chunk_bytes bytes;
  };

  std::size_t capacity_;
  std::size_t size_ = 0;
  std::list<entry> entries_;  // Most recently used first.
  std::map<digest, std::list<entry>::iterator> index_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_CHUNK_CACHE_H_
