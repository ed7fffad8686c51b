#ifndef REVIEW_HARNESS_PLAIN_REPLICA_H_
#define REVIEW_HARNESS_PLAIN_REPLICA_H_

#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "harness.h"

namespace review {

/// \brief Replica of a service without weights.
class plain_replica {
 public:
  /// \param work_time seconds for each request.
  plain_replica(std::string id,
                std::string service,
                std::string address,
                int port,
                double work_time,
                store& platform);

  bool listening() const { return server_.listening(); }
  /// \brief The next answer begins as a sound one and goes on without end, at
  /// this rate, until the caller closes.
  void SendWithoutEnd(double bytes_per_second) {
    flood_rate_ = bytes_per_second;
  }
  /// \brief Number of requests that have run here.
  int runs();
  /// \brief Whether a request has run here.
  bool HasRun(const std::string& attempt_id);

 private:
  bool Serve(connection& caller, const request& received);
  bool Flood(connection& caller, const std::string& attempt, double rate);

  const std::string id_;
  const double work_time_;
  std::atomic<double> flood_rate_{0};
  std::mutex mutex_;
  std::set<std::string> runs_;
  server server_;
};

}  // namespace review

#endif  // REVIEW_HARNESS_PLAIN_REPLICA_H_
