#ifndef FIREFLYSLIP_CATALOG_ROUTE_TABLE_H_
#define FIREFLYSLIP_CATALOG_ROUTE_TABLE_H_

#include <algorithm>
#include <compare>
#include <concepts>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "fireflyslip/catalog/region_restriction.h"
#include "fireflyslip/core/ids.h"
#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief How a request with an unknown outcome may be retried.
enum class request_idempotency {
  kIdempotent,       ///< May run any number of times.
  kNonIdempotent,    ///< Must run at most once.
  kResumableStream,  ///< May be resumed after the last delivered event.
};

/// \brief A service and its weight in the traffic split of a route.
struct weighted_service {
  service_name service;
  double weight = 1;

  auto operator<=>(const weighted_service&) const = default;
};

/// \brief Handling of the requests below one path prefix of one host.
struct route {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< Begins and ends with a slash.
  request_idempotency idempotency_class = request_idempotency::kNonIdempotent;
  bool streaming = false;
  bool public_access = false;  ///< No API key is needed.
  int priority = 0;            ///< 0 is the most urgent.
  int max_attempts = 1;        ///< Upstreams that may receive one request.
  duration timeout = {};
  duration target_latency = {};
  duration target_gap = {};  ///< Maximum time between events of a stream.
  region_restriction regions;
  std::vector<weighted_service> services;  ///< Not empty.

  bool operator==(const route&) const = default;
};

/// \brief Routes by host and longest matching path prefix.
class route_table {
 public:
  route_table() = default;
  explicit route_table(std::vector<route> routes);

  /// \brief Returns the route of a request, or null. `host` may include a port;
  /// `path` has no query. The pointer is valid for the lifetime of the table.
  const route* Find(std::string_view host, std::string_view path) const;

  std::size_t size() const;

  /// \brief Calls `visit` with each route.
  template <std::invocable<const route&> Visitor>
  void ForEach(Visitor visit) const {
    for (const auto& [host, routes] : by_host_) {
      std::for_each(routes.begin(), routes.end(), visit);
    }
  }

  bool operator==(const route_table&) const = default;

 private:
  // Longest prefix first.
  std::map<std::string, std::vector<route>, std::less<>> by_host_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CATALOG_ROUTE_TABLE_H_
