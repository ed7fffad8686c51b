#ifndef FIREFLYSLIP_HTTP_MEMORY_BUDGET_H_
#define FIREFLYSLIP_HTTP_MEMORY_BUDGET_H_

#include <cstddef>
#include <memory>
#include <utility>

namespace fireflyslip {

/// \brief Bytes that all bodies of one kind may take together. Not thread-safe.
///
/// A body may grow as long as it takes no more than what then remains free
/// (dynamic threshold of shared buffers). Few bodies may thus be long, many
/// must be short, and a short one always fits beside any number of long ones.
class memory_budget {
 public:
  explicit memory_budget(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  /// \brief Sets the limit; bodies that exceed it now can no longer grow.
  void set_max_bytes(std::size_t max_bytes) { max_bytes_ = max_bytes; }
  std::size_t max_bytes() const { return max_bytes_; }
  std::size_t used() const { return used_; }

 private:
  friend class memory_reservation;

  bool Allows(std::size_t held, std::size_t wanted) const {
    const std::size_t others = used_ - held;
    return wanted <= held ||
           (others <= max_bytes_ && wanted <= (max_bytes_ - others) / 2);
  }

  std::size_t max_bytes_;
  std::size_t used_ = 0;
};

/// \brief Part of a budget that one body takes; released at its end.
class memory_reservation {
 public:
  explicit memory_reservation(std::shared_ptr<memory_budget> budget)
      : budget_(std::move(budget)) {}
  ~memory_reservation() { budget_->used_ -= size_; }
  memory_reservation(const memory_reservation&) = delete;
  memory_reservation& operator=(const memory_reservation&) = delete;

  /// \brief Whether the body may have this length in bytes.
  bool Allows(std::size_t size) const { return budget_->Allows(size_, size); }

  /// \brief Changes the length in bytes; false, and without effect, if the
  /// budget does not allow it.
  bool Resize(std::size_t size) {
    if (!Allows(size)) {
      return false;
    }
    budget_->used_ = budget_->used_ - size_ + size;
    size_ = size;
    return true;
  }

 private:
  std::shared_ptr<memory_budget> budget_;
  std::size_t size_ = 0;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_HTTP_MEMORY_BUDGET_H_
