#include "fireflyslip/catalog/deployment.h"

#include <algorithm>
#include <set>

namespace fireflyslip {

bool HasOnePriority(const deployment& catalog, const service_name& service) {
  std::set<int> priorities;
  std::size_t routes = 0;
  catalog.routes.ForEach([&](const route& entry) {
    if (std::any_of(entry.services.begin(), entry.services.end(),
                    [&](const weighted_service& part) {
                      return part.service == service;
                    })) {
      priorities.insert(entry.priority);
      ++routes;
    }
  });
  return routes > 1 && priorities.size() == 1;
}

}  // namespace fireflyslip
