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

/// \brief LRU cache of chunks with a bound on their total size.
class chunk_cache {
 public:
  explicit chunk_cache(std::size_t capacity_bytes)
      : capacity_bytes_(capacity_bytes) {}

  /// \brief Returns the chunk and marks it as most recently used, or returns
  /// null.
  chunk_bytes Find(const digest& name);

  /// \brief Adds a chunk and evicts the least recently used ones to stay within
  /// the capacity. A chunk that is larger than the capacity is not added.
  void Insert(const digest& name, chunk_bytes bytes);

  std::size_t size_bytes() const { return size_bytes_; }

 private:
  struct entry {
    digest name;
    chunk_bytes bytes;
  };

  std::size_t capacity_bytes_;
  std::size_t size_bytes_ = 0;
  std::list<entry> entries_;  // Most recently used first.
  std::map<digest, std::list<entry>::iterator> index_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_CHUNK_CACHE_H_
