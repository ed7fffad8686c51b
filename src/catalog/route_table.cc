#include "fireflyslip/catalog/route_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace fireflyslip {
namespace {

std::string NormalizeHost(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  std::string name(host.substr(0, colon));
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return name;
}

}  // namespace

route_table::route_table(std::vector<route> routes) {
  for (route& entry : routes) {
    by_host_[NormalizeHost(entry.host)].push_back(std::move(entry));
  }
  for (auto& [host, entries] : by_host_) {
    std::stable_sort(entries.begin(), entries.end(),
                     [](const route& a, const route& b) {
                       return a.path_prefix.size() > b.path_prefix.size();
                     });
  }
}

const route* route_table::Find(std::string_view host,
                               std::string_view path) const {
  const auto found = by_host_.find(NormalizeHost(host));
  if (found == by_host_.end()) {
    return nullptr;
  }
  for (const route& entry : found->second) {
    if (path.starts_with(entry.path_prefix)) {
      return &entry;
    }
  }
  return nullptr;
}

std::size_t route_table::size() const {
  std::size_t sum = 0;
  for (const auto& [host, entries] : by_host_) {
    sum += entries.size();
  }
  return sum;
}

}  // namespace fireflyslip
