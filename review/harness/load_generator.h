#ifndef REVIEW_HARNESS_LOAD_GENERATOR_H_
#define REVIEW_HARNESS_LOAD_GENERATOR_H_

#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "harness.h"

namespace review {

/// \brief Kind of model requests.
struct request_kind {
  std::string target;
  std::string model;
  int callers = 1;
};

/// \brief Callers of model streams, each with one request after the other.
class load_generator {
 public:
  load_generator(const std::vector<std::string>& gateways,
                 const port_plan& ports,
                 const std::vector<request_kind>& kinds);
  ~load_generator() { Stop(); }
  load_generator(const load_generator&) = delete;
  load_generator& operator=(const load_generator&) = delete;

  void Stop();
  /// \brief Share of the requests sent in a span of time that were served;
  /// `count` is their number.
  double ServedShare(double from, double to, int& count);

 private:
  void Call(const std::string& gateway, int port, const request_kind& kind);

  std::atomic<bool> ended_{false};
  std::mutex mutex_;
  std::vector<std::pair<double, bool>> results_;
  std::vector<std::thread> callers_;
};

}  // namespace review

#endif  // REVIEW_HARNESS_LOAD_GENERATOR_H_
