#include "fireflyslip/catalog/evacuation_registry.h"

#include <algorithm>

#include "fireflyslip/core/result.h"

namespace fireflyslip {

std::vector<evacuation_registry::action> evacuation_registry::Handle(
    const event& event,
    time_point now) {
  bool known = published_.has_value();
  std::visit(overloaded{
                 [](const tick&) {},
                 [&](const listed& list) {
                   Apply(list, now);
                   known = true;
                 },
                 [&](const changed& change) {
                   kept_.erase(change.data_centre);
                   if (change.evacuated) {
                     listed_.insert(change.data_centre);
                   } else {
                     listed_.erase(change.data_centre);
                   }
                 },
             },
             event);
  std::erase_if(kept_, [now](const auto& item) { return item.second <= now; });
  evacuated_set in_force = listed_;
  for (const auto& [data_centre, until] : kept_) {
    in_force.insert(data_centre);
  }
  if (!known || published_ == in_force) {
    return {};
  }
  published_ = in_force;
  return {publish{std::move(in_force)}};
}

std::optional<time_point> evacuation_registry::NextDeadline() const {
  std::optional<time_point> deadline;
  for (const auto& [data_centre, until] : kept_) {
    deadline = std::min(deadline.value_or(until), until);
  }
  return deadline;
}

void evacuation_registry::Apply(const listed& list, time_point now) {
  if (list.restored) {
    for (const data_centre_id& data_centre : listed_) {
      kept_[data_centre] = now + grace_period_;
    }
  }
  listed_ = list.data_centres;
  // A later end of these is the operator's.
  std::erase_if(
      kept_, [this](const auto& item) { return listed_.contains(item.first); });
}

}  // namespace fireflyslip
