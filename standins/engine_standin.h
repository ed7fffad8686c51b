#ifndef FIREFLYSLIP_STANDINS_ENGINE_STANDIN_H_
#define FIREFLYSLIP_STANDINS_ENGINE_STANDIN_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "standins/async_condition.h"
#include "standins/http_server.h"

namespace fireflyslip::standins {

struct engine_options {
  std::size_t slots = 4;          ///< Requests that generate concurrently.
  double token_ms = 10;           ///< Generation time per token and slot.
  std::uint64_t load_ms = 0;      ///< Time to load a version.
  std::uint64_t load_lag_ms = 0;  ///< Delay of the load values of `/state`.
  bool check_fencing = false;
  std::string refused_version;  ///< Loading it fails with status 422.
  std::string model;            ///< Loaded at the start unless empty.
  std::string version;
};

/// \brief Stand-in for a model engine with continuous batching.
///
/// A request is pinned to the version that is loaded when it gets a slot. A
/// load waits until all slots are free; requests that arrive in the meantime
/// are queued until the load has finished.
class engine_standin : public http_handler {
 public:
  explicit engine_standin(engine_options options);

  boost::asio::awaitable<void> Handle(const http_request& request,
                                      http_exchange& exchange) override;

  void OnStopped() override {
    queue_.clear();
    jobs_.clear();
  }

  /// \brief Token of a completion at an index. All but the first begin with a
  /// space.
  static std::string Token(const std::string& prompt, std::uint64_t index);

 private:
  // State of a completion request from its arrival to its completion.
  struct job {
    explicit job(const boost::asio::any_io_executor& executor)
        : timer(executor) {}

    bool is_aborted() const { return cancelled || disconnected; }

    std::string id;
    std::string model;
    std::string prompt;
    std::string resume_version;
    std::string version;  // set when a slot is assigned
    std::uint64_t offset = 0;
    std::uint64_t max_tokens = 0;
    std::pair<std::int64_t, std::uint64_t> queue_key;  // priority, arrival
    bool stream = false;
    bool running = false;
    bool cancelled = false;
    bool disconnected = false;
    boost::asio::steady_timer timer;
  };

  struct load_sample {
    std::chrono::steady_clock::time_point time;
    std::size_t running = 0;
    std::uint64_t queued_tokens = 0;
  };

  using job_ptr = std::shared_ptr<job>;

  boost::asio::awaitable<void> HandleCompletion(const http_request& request,
                                                http_exchange& exchange);
  boost::asio::awaitable<void> Generate(job_ptr request_job,
                                        http_exchange& exchange);
  boost::asio::awaitable<void> GenerateStream(job_ptr request_job,
                                              http_exchange& exchange);
  boost::asio::awaitable<void> WaitForSlot(job_ptr request_job);
  boost::asio::awaitable<void> WaitForToken(
      job_ptr request_job,
      std::chrono::steady_clock::time_point deadline);
  boost::asio::awaitable<void> HandleOrder(const http_request& request,
                                           http_exchange& exchange);
  boost::asio::awaitable<http_response> Load(nlohmann::json order);
  http_response HandleChunk(const http_request& request,
                            const std::string& name);
  http_response CancelRequest(const std::string& id);
  http_response ReportState();
  std::optional<http_response> CheckRequest(const job& request_job) const;
  std::optional<http_response> CheckLoadOrder(
      const nlohmann::json& order) const;
  bool IsStaleFence(std::uint64_t fence) const;
  std::chrono::steady_clock::time_point TokenDeadline(
      std::chrono::steady_clock::time_point start,
      std::uint64_t tokens) const;
  void AssignSlots();
  void ReleaseSlot(const job_ptr& request_job);
  void RecordLoad();

  engine_options options_;
  std::string model_;
  std::string version_;
  bool loading_ = false;
  async_condition load_changed_;
  std::uint64_t highest_fence_ = 0;
  std::map<std::string, std::string> chunks_;

  std::uint64_t arrival_sequence_ = 0;
  std::size_t running_ = 0;
  std::uint64_t queued_tokens_ = 0;
  std::map<std::pair<std::int64_t, std::uint64_t>, job_ptr> queue_;
  std::multimap<std::string, job_ptr> jobs_;
  std::deque<load_sample> load_samples_;

  std::map<std::string, std::uint64_t> executions_;
  std::vector<nlohmann::json> orders_;
};

}  // namespace fireflyslip::standins

#endif  // FIREFLYSLIP_STANDINS_ENGINE_STANDIN_H_
