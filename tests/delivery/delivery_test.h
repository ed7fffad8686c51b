#ifndef FIREFLYSLIP_TESTS_DELIVERY_DELIVERY_TEST_H_
#define FIREFLYSLIP_TESTS_DELIVERY_DELIVERY_TEST_H_

#include <cstdint>
#include <variant>
#include <vector>

#include "fireflyslip/core/ids.h"

namespace fireflyslip {

inline attempt_id Attempt(std::uint64_t sequence, std::uint32_t number = 1) {
  return {{vm_id("entry"), 1, sequence}, number};
}

// Returns the actions of type `Action`.
template <typename Action, typename Variant>
std::vector<Action> Select(const std::vector<Variant>& actions) {
  std::vector<Action> selected;
  for (const auto& action : actions) {
    if (const auto* match = std::get_if<Action>(&action)) {
      selected.push_back(*match);
    }
  }
  return selected;
}

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_TESTS_DELIVERY_DELIVERY_TEST_H_
