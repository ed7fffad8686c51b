#ifndef FIREFLYSLIP_TESTS_PROCESS_REFUSING_UPSTREAM_H_
#define FIREFLYSLIP_TESTS_PROCESS_REFUSING_UPSTREAM_H_

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "process/http_standin.h"

namespace fireflyslip::testing {

/// \brief Runs of all requests at a group of upstreams.
class run_record {
 public:
  void AddRun(const std::string& attempt);
  void AddCopy();

  // Must be called when no request is in progress.
  std::size_t RunsOf(const std::string& attempt) const {
    return runs_.count(attempt);
  }
  int copies() const { return copies_; }

 private:
  std::mutex mutex_;
  std::multiset<std::string> runs_;
  int copies_ = 0;
};

/// \brief Refusals of a `refusing_upstream`, besides those for another id.
struct refusal_plan {
  double refused_share = 0;  ///< With 503, 429 or 408.
  std::uint32_t seed = 1;
};

/// \brief Upstream that refuses requests. A copy of a refusal is sent on its
/// connection in front of the response to the next request there.
class refusing_upstream {
 public:
  refusing_upstream(std::string id, refusal_plan plan, run_record& record);

  std::uint16_t port() const { return server_.port(); }
  /// \brief Changes the id, as after a restart. Requests for another id are
  /// refused with 421.
  void SetId(const std::string& id);

 private:
  bool Serve(standin_connection& connection);
  bool SendCopy(standin_connection& connection, const std::string& copy);
  std::string Refuse(const standin_connection& connection, int status) const;
  std::optional<int> ChooseRefusal(const std::string& expected);

  const refusal_plan plan_;
  run_record& record_;
  std::mutex mutex_;
  std::string id_;
  std::mt19937 random_;
  int refusals_ = 0;
  int copies_ = 0;
  http_standin server_;
};

}  // namespace fireflyslip::testing

#endif  // FIREFLYSLIP_TESTS_PROCESS_REFUSING_UPSTREAM_H_
