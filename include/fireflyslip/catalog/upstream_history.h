#ifndef FIREFLYSLIP_CATALOG_UPSTREAM_HISTORY_H_
#define FIREFLYSLIP_CATALOG_UPSTREAM_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "fireflyslip/catalog/upstream_entry.h"

namespace fireflyslip {

/// \brief Change of one upstream entry.
struct upstream_change {
  upstream_id id;
  std::optional<upstream_entry> entry;  ///< Empty if the entry was removed.

  bool operator==(const upstream_change&) const = default;
};

/// \brief Changes after a revision, or the complete list.
struct upstream_changes {
  std::uint64_t revision = 0;  ///< The changes are complete up to here.
  bool complete = false;       ///< `changes` holds all entries.
  std::vector<upstream_change> changes;

  bool operator==(const upstream_changes&) const = default;
};

/// \brief Upstream entries with the store revision of their last change.
///
/// Answers what has changed since a revision. Revisions are those of the
/// platform's store, so a process can continue at another relay, or at the
/// store, from the revision that it knows.
class upstream_history {
 public:
  /// \param max_removed number of removed entries that are remembered.
  explicit upstream_history(std::size_t max_removed = 1024)
      : max_removed_(max_removed) {}

  /// \brief Replaces all entries by a list that was read at `revision`.
  void Replace(const std::vector<upstream_entry>& entries,
               std::uint64_t revision);
  /// \brief Applies changes that are complete up to `revision`. Entries that
  /// are equal to the known ones are no changes.
  void Apply(const std::vector<upstream_change>& changes,
             std::uint64_t revision);

  /// \brief Revision up to which the changes are known; 0 before the first
  /// list.
  std::uint64_t revision() const { return revision_; }

  /// \brief The entries that have not been removed.
  std::map<upstream_id, upstream_entry> Present() const;

  /// \brief Whether `Since(revision)` contains any change.
  bool HasChangesAfter(std::uint64_t revision) const {
    return revision_ > 0 &&
           (revision < complete_since_ || (last_change_ > revision));
  }
  /// \brief The changes after a revision; the complete list if they are not
  /// known.
  upstream_changes Since(std::uint64_t revision) const;

 private:
  struct record {
    std::optional<upstream_entry> entry;
    std::uint64_t revision = 0;
  };

  void Set(const upstream_id& id,
           const std::optional<upstream_entry>& entry,
           std::uint64_t revision);
  void ForgetOldRemovals();

  std::size_t max_removed_;
  std::map<upstream_id, record> records_;
  std::uint64_t revision_ = 0;
  std::uint64_t last_change_ = 0;
  std::uint64_t complete_since_ = 0;  // all later changes are in `records_`
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CATALOG_UPSTREAM_HISTORY_H_
