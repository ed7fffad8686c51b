#ifndef REVIEW_HARNESS_MODEL_REPLICA_H_
#define REVIEW_HARNESS_MODEL_REPLICA_H_

#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "harness.h"

namespace review {

/// \brief Model replica: staged pieces, orders, reports and streams.
class model_replica {
 public:
  struct options {
    std::string service = kPool;
    std::string model = kModel;
    int slots = 16;
    int events = 10;           ///< Of each stream.
    double event_time = 0.02;  ///< Seconds between two events.
    /// Time that the replica takes for each staged piece that it returns.
    double read_time = 0.001;
  };

  model_replica(std::string address,
                const port_plan& ports,
                store& platform,
                options chosen);
  ~model_replica();
  model_replica(const model_replica&) = delete;
  model_replica& operator=(const model_replica&) = delete;

  /// \brief Starts a new incarnation; one that was present at the start of the
  /// deployment holds version 1.
  bool PowerOn(bool holds_first_version);
  /// \brief Loses power: connections, layers and staged pieces are gone, the
  /// entry in the store after three heartbeats.
  void PowerOff();

  /// \brief Whether the machine stands still: nothing is read or sent.
  void set_frozen(bool frozen) { frozen_ = frozen; }

  std::uint64_t version() const { return version_; }
  /// \brief A staged piece turns bad.
  void Spoil(int piece);
  /// \brief Called after a staged piece was read; number of reads since the
  /// last order or write.
  void OnRead(std::function<void(int reads)> callback) {
    on_read_ = std::move(callback);
  }
  /// \brief From now on, one in so many answers to `GET /fireflyslip/report`
  /// has no end.
  void SendReportsWithoutEnd(int period) { reports_without_end_ = period; }
  /// \brief Streams that were begun with layers of which a piece was bad for
  /// more than three seconds when it was taken.
  int spoilt_streams() const { return spoilt_streams_; }
  int streams() const { return streams_; }

 private:
  struct piece {
    std::string bytes;
    double changed_at = 0;
  };

  bool Serve(connection& caller, const request& received);
  bool ServeReport(connection& caller);
  bool ServeStage(connection& caller, const request& received);
  bool ServeOrder(connection& caller, const request& received);
  bool ServeStream(connection& caller, const request& received);
  void AwaitThaw() const;
  void Register();
  /// \brief Completes a load whose time has come.
  void Advance();

  const std::string address_;
  const port_plan ports_;
  store& platform_;
  const options options_;
  std::function<void(int)> on_read_;

  std::mutex mutex_;
  int incarnation_ = 0;
  std::string id_;
  std::string departed_id_;
  double departed_at_ = 0;
  std::int64_t born_ = 0;
  std::array<piece, kPieces> staged_;
  std::atomic<std::uint64_t> version_{0};
  std::uint64_t loading_ = 0;
  double loaded_at_ = 0;
  bool spoilt_load_ = false;    // of the load in progress
  bool spoilt_layers_ = false;  // of the layers that serve
  int sequence_ = 0;
  int heartbeats_ = 0;
  int active_ = 0;
  int reads_ = 0;
  std::atomic<int> reports_without_end_{0};  // one in so many; 0 for none
  std::atomic<int> reports_{0};
  std::atomic<int> spoilt_streams_{0};
  std::atomic<int> streams_{0};
  std::unique_ptr<server> server_;
  std::atomic<bool> on_{false};
  std::atomic<bool> frozen_{false};
  std::atomic<bool> ended_{false};
  std::thread heartbeat_;
};

}  // namespace review

#endif  // REVIEW_HARNESS_MODEL_REPLICA_H_
