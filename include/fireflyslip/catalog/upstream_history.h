#ifndef FIREFLYSLIP_CATALOG_UPSTREAM_HISTORY_H_
#define FIREFLYSLIP_CATALOG_UPSTREAM_HISTORY_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "fireflyslip/catalog/store_position.h"
#include "fireflyslip/catalog/upstream_entry.h"

namespace fireflyslip {

/// \brief Change of one upstream entry.
struct upstream_change {
  upstream_id id;
  std::optional<upstream_entry> entry;  ///< Empty if the entry was removed.

  bool operator==(const upstream_change&) const = default;
};

/// \brief Changes after a position, or the complete list.
struct upstream_changes {
  store_position position;  ///< The changes are complete up to here.
  bool complete = false;    ///< `changes` holds all entries.
  std::vector<upstream_change> changes;

  bool operator==(const upstream_changes&) const = default;
};

/// \brief Upstream entries with the store position of their last change.
///
/// Answers what has changed since a position. Positions are those of the
/// platform's store, so a process can continue at another relay, or at the
/// store, from the position that it knows. For a position of an older era the
/// answer is the complete list.
class upstream_history {
 public:
  /// \param max_removed number of removed entries that are remembered.
  explicit upstream_history(std::size_t max_removed = 1024)
      : max_removed_(max_removed) {}

  /// \brief Replaces all entries by a list that was read at `position`.
  void Replace(const std::vector<upstream_entry>& entries,
               const store_position& position);
  /// \brief Applies changes that are complete up to `position`, which must be
  /// of the same era as the last list. Entries that differ from the known ones
  /// at most in their heartbeats are no changes.
  void Apply(const std::vector<upstream_change>& changes,
             const store_position& position);

  /// \brief Position up to which the changes are known; revision 0 before the
  /// first list.
  const store_position& position() const { return position_; }

  /// \brief The entries that have not been removed.
  std::map<upstream_id, upstream_entry> Present() const;

  /// \brief Whether `Since(position)` contains any change.
  bool HasChangesAfter(const store_position& position) const {
    return position_.revision > 0 &&
           (position < complete_since_ || last_change_ > position);
  }
  /// \brief The changes after a position; the complete list if they are not
  /// known.
  upstream_changes Since(const store_position& position) const;

 private:
  struct record {
    std::optional<upstream_entry> entry;
    store_position position;  // of its last change
    /// Was removed, and is in an older copy of the store. Its next heartbeat is
    /// a change, because it proves that the upstream is alive.
    bool returned = false;
  };

  void Set(const upstream_id& id,
           const std::optional<upstream_entry>& entry,
           const store_position& position);
  void ForgetOldRemovals();

  std::size_t max_removed_;
  std::map<upstream_id, record> records_;
  store_position position_;
  store_position last_change_;
  store_position complete_since_;  // all later changes are in `records_`
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CATALOG_UPSTREAM_HISTORY_H_
