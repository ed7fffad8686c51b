#ifndef FIREFLYSLIP_CATALOG_REGION_RESTRICTION_H_
#define FIREFLYSLIP_CATALOG_REGION_RESTRICTION_H_

#include <compare>
#include <optional>
#include <set>
#include <utility>

#include "fireflyslip/core/ids.h"

namespace fireflyslip {

/// \brief Regions in which a request may be served. By default there is no
/// restriction.
class region_restriction {
 public:
  region_restriction() = default;
  /// \param regions the only regions that are allowed; none if it is empty.
  explicit region_restriction(std::set<region_id> regions)
      : regions_(std::move(regions)) {}

  bool restricts() const { return regions_.has_value(); }

  bool Allows(const region_id& region) const {
    return !regions_ || regions_->contains(region);
  }

  /// \brief The regions that both allow, possibly none.
  region_restriction Intersect(const region_restriction& other) const {
    if (!regions_ || !other.regions_) {
      return regions_ ? *this : other;
    }
    std::set<region_id> common;
    for (const region_id& region : *regions_) {
      if (other.regions_->contains(region)) {
        common.insert(region);
      }
    }
    return region_restriction(std::move(common));
  }

  auto operator<=>(const region_restriction&) const = default;

 private:
  std::optional<std::set<region_id>> regions_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CATALOG_REGION_RESTRICTION_H_
