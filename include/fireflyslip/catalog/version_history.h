#ifndef FIREFLYSLIP_CATALOG_VERSION_HISTORY_H_
#define FIREFLYSLIP_CATALOG_VERSION_HISTORY_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

#include "fireflyslip/catalog/change_age.h"
#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// Lowest version of a model; replicas may hold it before any version is
/// published.
inline constexpr std::uint64_t kFirstModelVersion = 1;

/// \brief Publication of a version of a model.
struct version_publication {
  std::uint64_t version = 0;
  /// Time before which the version was not published, on the clock of the
  /// process.
  time_point not_before;

  auto operator<=>(const version_publication&) const = default;
};

/// \brief Recent publications of one model, oldest first.
///
/// The newest version alone does not tell when an older one was superseded:
/// that happened with the first publication after it.
class version_history {
 public:
  /// \brief Adds a publication; returns whether it is newer than all others.
  bool Add(const version_publication& publication);

  /// \brief Removes publications that were followed by another one at `time` or
  /// before. Versions that only these supersede are dated by the next one.
  void RemoveSupersededBy(time_point time);

  /// \brief Newest version; 0 if none is known.
  std::uint64_t newest() const {
    return publications_.empty() ? 0 : publications_.back().version;
  }

  /// \brief Time before which no version newer than `version` was published;
  /// empty if none is known.
  std::optional<time_point> SupersededNotBefore(std::uint64_t version) const;

  const std::vector<version_publication>& publications() const {
    return publications_;
  }

 private:
  std::vector<version_publication> publications_;  // ascending versions
};

/// \brief Publications that a process learns of from a relay.
///
/// A relay knows all publications since its oldest one, but may have started
/// after others. If the process may have missed those, too, the first element
/// stands for them: the newest version that may be missing, with the time up to
/// which the process knows all publications.
///
/// \param newest_known newest version that the process knows; 0 if it knows
/// none.
/// \param relayed recent publications by the relay, oldest first.
/// \param age what the process knows of the publications on its own.
/// \returns publications newer than `newest_known`, oldest first.
std::vector<version_publication> LearnPublications(
    std::uint64_t newest_known,
    const std::vector<version_publication>& relayed,
    const change_age& age);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CATALOG_VERSION_HISTORY_H_
