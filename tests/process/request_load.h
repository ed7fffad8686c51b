#ifndef FIREFLYSLIP_TESTS_PROCESS_REQUEST_LOAD_H_
#define FIREFLYSLIP_TESTS_PROCESS_REQUEST_LOAD_H_

#include <atomic>
#include <cstddef>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "process/process_fleet.h"

namespace fireflyslip::testing {

/// \brief Generates load: a few callers send streamed model requests through
/// the given entries, each one request at a time, until the load is stopped.
class request_load {
 public:
  request_load(const process_fleet& fleet, std::vector<std::string> entries);
  ~request_load();

  /// \brief Waits until `count` more requests have been answered.
  void WaitForAnswers(std::size_t count) const;

  /// \brief Stops the load and returns the faults of all answers.
  std::vector<std::string> Stop();

  /// \brief Versions that produced the answers. Must be called after `Stop()`.
  const std::set<std::string>& versions() const { return versions_; }

 private:
  void Run(std::size_t caller);

  const process_fleet& fleet_;
  const std::vector<std::string> entries_;
  std::atomic<bool> stopping_ = false;
  std::atomic<std::size_t> answers_ = 0;
  std::mutex mutex_;
  std::vector<std::string> faults_;
  std::set<std::string> versions_;
  std::vector<std::thread> callers_;
};

}  // namespace fireflyslip::testing

#endif  // FIREFLYSLIP_TESTS_PROCESS_REQUEST_LOAD_H_
