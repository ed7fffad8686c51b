#ifndef FIREFLYSLIP_TESTS_PROCESS_CRASHING_UPSTREAM_H_
#define FIREFLYSLIP_TESTS_PROCESS_CRASHING_UPSTREAM_H_

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "process/gateway_fleet.h"
#include "process/http_standin.h"

namespace fireflyslip::testing {

/// \brief Arrivals of one request that crashes upstreams, at all of them.
class crash_record {
 public:
  using clock = std::chrono::steady_clock;

  void AddArrival();
  void AddCrash();

  std::size_t arrivals() const;
  std::size_t crashes() const;
  /// \brief Arrivals later than this time after the third crash.
  std::size_t ArrivalsAfterThirdCrash(std::chrono::milliseconds delay) const;

 private:
  mutable std::mutex mutex_;
  std::vector<clock::time_point> arrivals_;
  std::vector<clock::time_point> crashes_;
};

/// \brief Upstream that ends when it begins to run a request whose body has the
/// marker. After a pause it is back at the same address under another id. What
/// is meant for another id is refused.
class crashing_upstream {
 public:
  static constexpr char kMarker[] = "end of the upstream";

  /// \param streaming respond with a stream of events.
  crashing_upstream(std::string name,
                    std::string service,
                    bool streaming,
                    gateway_fleet& fleet,
                    crash_record& record);
  ~crashing_upstream();
  crashing_upstream(const crashing_upstream&) = delete;
  crashing_upstream& operator=(const crashing_upstream&) = delete;

  /// \brief Ends for a reason that is in no request.
  void Crash();

 private:
  bool Serve(standin_connection& connection);
  void Supervise();
  /// \brief Starts the server; fails if the port is in use.
  bool Listen(std::uint16_t port);
  /// \brief Waits for a crash, for a time or the end of the test; returns
  /// whether there was one.
  bool AwaitCrash(std::chrono::milliseconds time);
  bool IsStopping();
  /// \brief Waits for a time or the end of the test; returns whether the test
  /// goes on.
  bool Pause(std::chrono::milliseconds time);
  std::string Id(int incarnation) const;

  const std::string name_;
  const std::string service_;
  const bool streaming_;
  gateway_fleet& fleet_;
  crash_record& record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  int incarnation_ = 0;  // number of starts before this one
  bool crashed_ = false;
  bool stopping_ = false;
  std::unique_ptr<http_standin> server_;
  std::thread supervisor_;
};

}  // namespace fireflyslip::testing

#endif  // FIREFLYSLIP_TESTS_PROCESS_CRASHING_UPSTREAM_H_
