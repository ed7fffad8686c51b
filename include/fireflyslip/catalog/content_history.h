#ifndef FIREFLYSLIP_CATALOG_CONTENT_HISTORY_H_
#define FIREFLYSLIP_CATALOG_CONTENT_HISTORY_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "fireflyslip/catalog/text_delta.h"
#include "fireflyslip/core/digest.h"

namespace fireflyslip {

/// \brief Identifies one version of a content, e.g. of the configuration.
struct content_id {
  std::uint64_t version = 0;  ///< 0 if nothing is known.
  digest content_digest;

  auto operator<=>(const content_id&) const = default;
};

/// \brief Step from one version of a content to the next one that is known.
struct content_change {
  content_id from;  ///< Version 0 for the empty text.
  content_id to;
  text_delta delta;

  auto operator<=>(const content_change&) const = default;
};

/// \brief A version of a content with its text.
struct versioned_content {
  content_id id;
  std::string text;

  auto operator<=>(const versioned_content&) const = default;
};

/// \brief Newest version of a content and the changes that led to it.
///
/// Load pattern: each change of a configuration of some 100 KB goes to all
/// processes of a data centre over the link of one small VM. A process that
/// knows one of the last versions gets the changes after it.
class content_history {
 public:
  /// \param max_changes number of changes that are kept.
  explicit content_history(std::size_t max_changes = 64)
      : max_changes_(max_changes) {}

  /// \brief Sets the newest version; has no effect unless it is higher than the
  /// known one.
  void Set(std::uint64_t version, std::string text);

  const versioned_content& newest() const { return newest_; }

  /// \brief Whether the changes after a version are known, and smaller than
  /// the whole content.
  bool HasChangesSince(const content_id& known) const {
    return FindSteps(known).has_value();
  }
  /// \brief The changes after the version that a process knows, oldest first.
  /// If they are not known, the whole content as a change of the empty text.
  std::vector<content_change> Since(const content_id& known) const;

 private:
  /// \brief Index of the first step after a version; empty if the whole content
  /// is to be sent.
  std::optional<std::size_t> FindSteps(const content_id& known) const;

  std::size_t max_changes_;
  versioned_content newest_;
  std::deque<content_change> steps_;  // oldest first
};

/// \brief Applies changes to the version that a process knows; empty if they
/// belong to another version, if a result is not the content that the change
/// names, or if it exceeds `max_bytes`.
std::optional<versioned_content> ApplyChanges(
    versioned_content known,
    const std::vector<content_change>& changes,
    std::size_t max_bytes);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CATALOG_CONTENT_HISTORY_H_
