#ifndef REVIEW_FLEET_2_REPLICA_H_
#define REVIEW_FLEET_2_REPLICA_H_

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "fleet.h"

namespace review {

/// \brief Model of a deployment: pieces that all versions share in size.
struct model {
  std::string name = "m0";
  std::size_t pieces = 2;
  std::size_t piece_bytes = 1000;

  std::string Piece(std::uint64_t version, std::size_t index) const;
};

/// \brief Origin of the weights.
class origin {
 public:
  explicit origin(model weights);
  std::uint16_t port() const { return server_.port(); }

 private:
  bool Serve(const http_message& request, connection& client) const;

  model weights_;
  server server_;
};

/// \brief Model replica on a VM of its own. It holds version 1 at its start,
/// and streams events. A request that its owner names crashes it as it begins
/// to write the answer; it is back after `down_time`, with a new id and without
/// weights, and what was staged is still there.
class replica {
 public:
  struct hooks {
    /// Whether the request ends the replica.
    std::function<bool(const http_message&)> crashes;
    /// The replica writes the first token of the request.
    std::function<void(const http_message&)> begun;
    std::function<void()> crashed;
    milliseconds down_time{2000};
  };

  replica(std::size_t vm,
          std::string service,
          const model& weights,
          store& platform,
          hooks callbacks);
  ~replica();
  replica(const replica&) = delete;
  replica& operator=(const replica&) = delete;
  std::uint16_t port() const { return port_; }

 private:
  bool Serve(const http_message& request, connection& client);
  bool Run(const http_message& request, connection& client);
  std::string Order(const http_message& request);
  std::string Report();
  void Supervise();
  void Publish();
  std::string Id() const;
  bool Pause(milliseconds time);

  const std::size_t vm_;
  const std::string service_;
  const model weights_;
  store& platform_;
  const hooks hooks_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  bool crashed_ = false;
  int incarnation_ = 0;
  std::uint64_t born_ = 0;  // Unix time of the start, in ms
  // Entries of former incarnations, and when the platform removes them.
  std::deque<std::pair<clock::time_point, std::string>> expiries_;
  std::uint64_t version_ = 1;
  std::uint64_t loading_ = 0;  // version; 0 for none
  clock::time_point loaded_at_;
  std::size_t sequence_ = 0;
  std::size_t active_ = 0;
  std::vector<std::string> staged_;
  std::uint16_t port_ = 0;
  std::unique_ptr<server> server_;
  std::thread supervisor_;
};

}  // namespace review

#endif  // REVIEW_FLEET_2_REPLICA_H_
