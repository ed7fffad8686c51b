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
  std::size_t slots = 4;          ///< Requests that generate at the same time.
  double token_ms = 10;           ///< Time of one token in one slot.
  std::uint64_t load_ms = 0;      ///< Time to load a version.
  std::uint64_t load_lag_ms = 0;  ///< Delay of the load values of `/state`.
  bool check_fencing = false;
  std::string refused_version;  ///< A load of it is answered by 422.
  std::string model;            ///< Loaded at the start unless empty.
  std::string version;
};

/// \brief Stand-in for a model engine with continuous batching.
///
/// A request uses the version that is loaded when it gets a slot, until its
/// end: a load waits until all slots are free, and requests that arrive
/// meanwhile wait for the load.
class engine_standin : public http_handler {
 public:
  explicit engine_standin(engine_options options);

  boost::asio::awaitable<void> Handle(const http_request& request,
                                      http_exchange& exchange) override;

  void OnStopped() override {
    waiting_.clear();
    jobs_.clear();
  }

  /// \brief Token of an answer at an index, with a space before all but the
  /// first.
  static std::string Token(const std::string& prompt, std::uint64_t index);

 private:
  // A request from its arrival to its end.
  struct job {
    explicit job(const boost::asio::any_io_executor& executor)
        : timer(executor) {}

    bool is_ended() const { return cancelled || disconnected; }

    std::string id;
    std::string model;
    std::string prompt;
    std::string resume_version;
    std::string version;  // set when the request gets its slot
    std::uint64_t offset = 0;
    std::uint64_t max_tokens = 0;
    std::pair<std::int64_t, std::uint64_t> position;  // priority and arrival
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

  boost::asio::awaitable<void> Complete(const http_request& request,
                                        http_exchange& exchange);
  boost::asio::awaitable<void> Run(job_ptr work, http_exchange& exchange);
  boost::asio::awaitable<void> RunStream(job_ptr work, http_exchange& exchange);
  boost::asio::awaitable<void> WaitForSlot(job_ptr work);
  boost::asio::awaitable<void> WaitForToken(
      job_ptr work,
      std::chrono::steady_clock::time_point due);
  boost::asio::awaitable<void> Order(const http_request& request,
                                     http_exchange& exchange);
  boost::asio::awaitable<http_response> Load(nlohmann::json order);
  http_response Stage(const http_request& request, const std::string& name);
  http_response Cancel(const std::string& id);
  http_response State();
  std::optional<http_response> Refusal(const job& work) const;
  std::optional<http_response> LoadRefusal(const nlohmann::json& order) const;
  bool IsStale(std::uint64_t fence) const;
  std::chrono::steady_clock::time_point Due(
      std::chrono::steady_clock::time_point start,
      std::uint64_t tokens) const;
  void Dispatch();
  void Release(const job_ptr& work);
  void RecordLoad();

  engine_options options_;
  std::string model_;
  std::string version_;
  bool loading_ = false;
  async_condition load_changed_;
  std::uint64_t highest_fence_ = 0;
  std::map<std::string, std::string> chunks_;

  std::uint64_t arrivals_ = 0;
  std::size_t running_ = 0;
  std::uint64_t queued_tokens_ = 0;
  std::map<std::pair<std::int64_t, std::uint64_t>, job_ptr> waiting_;
  std::multimap<std::string, job_ptr> jobs_;
  std::deque<load_sample> samples_;

  std::map<std::string, std::uint64_t> executions_;
  std::vector<nlohmann::json> orders_;
};

}  // namespace fireflyslip::standins

#endif  // FIREFLYSLIP_STANDINS_ENGINE_STANDIN_H_
