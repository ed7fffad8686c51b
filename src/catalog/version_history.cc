#include "fireflyslip/catalog/version_history.h"

#include <algorithm>

namespace fireflyslip {

bool version_history::Add(const version_publication& publication) {
  if (publication.version <= newest()) {
    return false;
  }
  publications_.push_back(publication);
  return true;
}

void version_history::RemoveSupersededBy(time_point time) {
  // The first publication whose successor is later is still needed.
  const auto first_needed = std::adjacent_find(
      publications_.begin(), publications_.end(),
      [time](const version_publication&, const version_publication& next) {
        return next.not_before > time;
      });
  if (first_needed != publications_.end()) {
    publications_.erase(publications_.begin(), first_needed);
  } else if (!publications_.empty()) {
    publications_.erase(publications_.begin(), publications_.end() - 1);
  }
}

std::optional<time_point> version_history::SupersededNotBefore(
    std::uint64_t version) const {
  const auto newer =
      std::find_if(publications_.begin(), publications_.end(),
                   [version](const version_publication& publication) {
                     return publication.version > version;
                   });
  if (newer == publications_.end()) {
    return std::nullopt;
  }
  return newer->not_before;
}

std::vector<version_publication> LearnPublications(
    std::uint64_t newest_known,
    const std::vector<version_publication>& relayed,
    const change_age& age) {
  std::vector<version_publication> learned;
  if (relayed.empty()) {
    return learned;
  }
  const version_publication& oldest = relayed.front();
  const bool may_miss_versions =
      oldest.version > std::max(newest_known, kFirstModelVersion) + 1;
  if (may_miss_versions && age.known_until() < oldest.not_before) {
    learned.push_back({oldest.version - 1, age.known_until()});
  }
  for (const version_publication& publication : relayed) {
    if (publication.version > newest_known) {
      learned.push_back(
          {publication.version,
           std::max(publication.not_before,
                    age.current_as_of().value_or(publication.not_before))});
    }
  }
  return learned;
}

}  // namespace fireflyslip
