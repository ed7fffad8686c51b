#ifndef FIREFLYSLIP_CATALOG_ROUTE_TABLE_H_
#define FIREFLYSLIP_CATALOG_ROUTE_TABLE_H_

#include <compare>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "fireflyslip/core/ids.h"
#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief What may be done with a request whose outcome is not known.
enum class request_idempotency {
  kIdempotent,       ///< May run any number of times.
  kNonIdempotent,    ///< Runs at most once.
  kResumableStream,  ///< May be continued after the last event delivered.
};

/// \brief A service and its share of the requests of a route.
struct weighted_service {
  service_name service;
  double weight = 1;

  auto operator<=>(const weighted_service&) const = default;
};

/// \brief How requests below one path of one host are served.
struct route {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< Begins and ends with a slash.
  request_idempotency idempotency_class = request_idempotency::kNonIdempotent;
  bool streaming = false;
  bool public_access = false;  ///< No caller key is needed.
  int priority = 0;            ///< 0 is the most urgent.
  int max_attempts = 1;        ///< Upstreams that one request may reach.
  duration timeout = {};
  duration target_latency = {};
  duration target_gap = {};  ///< Longest pause between events of a stream.
  std::vector<weighted_service> services;  ///< Not empty.

  bool operator==(const route&) const = default;
};

/// \brief Routes by host and longest matching path prefix.
class route_table {
 public:
  route_table() = default;
  explicit route_table(std::vector<route> routes);

  /// \brief The route of a request, or null. `host` may end with a port;
  /// `path` is without its query. Valid while the table lives.
  const route* Find(std::string_view host, std::string_view path) const;

  std::size_t size() const;

  bool operator==(const route_table&) const = default;

 private:
  // Longest prefix first.
  std::map<std::string, std::vector<route>, std::less<>> by_host_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CATALOG_ROUTE_TABLE_H_
