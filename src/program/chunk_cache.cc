#include "program/chunk_cache.h"

#include <utility>

namespace fireflyslip {

chunk_bytes chunk_cache::Find(const digest& name) {
  const auto found = index_.find(name);
  if (found == index_.end()) {
    return nullptr;
  }
  entries_.splice(entries_.begin(), entries_, found->second);
  return found->second->bytes;
}

void chunk_cache::Insert(const digest& name, chunk_bytes bytes) {
  if (bytes->size() > capacity_bytes_ || Find(name) != nullptr) {
    return;
  }
  size_bytes_ += bytes->size();
  entries_.push_front({name, std::move(bytes)});
  index_[name] = entries_.begin();
  while (size_bytes_ > capacity_bytes_) {
    size_bytes_ -= entries_.back().bytes->size();
    index_.erase(entries_.back().name);
    entries_.pop_back();
  }
}

}  // namespace fireflyslip
