#ifndef REVIEW_RIG_3_MODEL_FLEET_H_
#define REVIEW_RIG_3_MODEL_FLEET_H_

#include <sys/types.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <filesystem>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "rig.h"

namespace fireflyslip::review {

/// \brief Head and body of a message, with field names in lower case.
struct message {
  std::string first_line;
  std::map<std::string, std::string> fields;
  std::string body;

  std::string Field(const std::string& name) const;
  std::string target() const;  ///< Of a request.
  int status() const;          ///< Of a response.
};

/// \brief Connection of the stand-ins and callers of one thread.
class async_connection {
 public:
  explicit async_connection(boost::asio::ip::tcp::socket socket)
      : socket_(std::move(socket)) {}

  boost::asio::ip::tcp::socket& socket() { return socket_; }
  /// \brief Reads a head; false at the end of the connection.
  boost::asio::awaitable<bool> ReadHead(message& received);
  /// \brief Reads a body of the stated length.
  boost::asio::awaitable<bool> ReadBody(message& received);
  /// \brief Reads one chunk; empty after the last one. False if the connection
  /// ends before.
  boost::asio::awaitable<bool> ReadChunk(std::string& chunk);
  boost::asio::awaitable<bool> Write(std::string bytes);
  /// \brief Closes the connection with a reset.
  void Reset();

 private:
  boost::asio::awaitable<bool> Fill();

  boost::asio::ip::tcp::socket socket_;
  std::string buffer_;
};

/// \brief What happens at the replicas.
class replica_observer {
 public:
  virtual ~replica_observer() = default;
  virtual void OnArrival(const message& request) = 0;
  virtual void OnBegin(const message& request) = 0;
  virtual void OnCrash() = 0;
  /// \brief Whether a replica ends when it begins to answer the request.
  virtual bool Crashes(const message& request) = 0;
};

/// \brief Replica of a model: a batch of requests whose tokens are made in
/// passes. It is back under a new id some seconds after a crash, without
/// weights; what was staged is kept.
class model_replica {
 public:
  model_replica(boost::asio::io_context& context,
                object_store& store,
                replica_observer& observer,
                std::string address,
                std::uint16_t port,
                std::string zone,
                int number);

  void Start();
  const std::string& address() const { return address_; }
  const std::string& zone() const { return zone_; }

 private:
  struct job {
    message request;
    std::shared_ptr<async_connection> connection;
    std::size_t prompt_tokens = 0;
    int events = 0;
    int next_event = 1;
    bool gone = false;
    bool done = false;
    std::chrono::steady_clock::time_point deadline;
    std::shared_ptr<boost::asio::steady_timer> end;
  };

  boost::asio::awaitable<void> Accept(int incarnation);
  boost::asio::awaitable<void> Serve(std::shared_ptr<async_connection> client);
  boost::asio::awaitable<bool> ServeRequest(
      std::shared_ptr<async_connection> client);
  boost::asio::awaitable<bool> ServeStage(async_connection& client,
                                          const message& request);
  boost::asio::awaitable<bool> ServeOrder(async_connection& client,
                                          const message& request);
  boost::asio::awaitable<bool> ServeModel(
      std::shared_ptr<async_connection> client,
      message request);
  boost::asio::awaitable<void> MakeTokens(int incarnation);
  boost::asio::awaitable<void> Load(int incarnation);
  boost::asio::awaitable<void> SendHeartbeats();
  boost::asio::awaitable<void> Sleep(std::chrono::microseconds time);
  void Crash();
  boost::asio::awaitable<void> Restart(std::string old_id);
  void Open();
  std::string id() const;
  nlohmann::json Report() const;
  void Register();

  boost::asio::io_context& context_;
  object_store& store_;
  replica_observer& observer_;
  const std::string address_;
  const std::uint16_t port_;
  const std::string zone_;
  const int number_;
  std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
  std::list<std::weak_ptr<async_connection>> connections_;
  std::deque<std::shared_ptr<job>> queue_;
  std::vector<std::shared_ptr<job>> running_;
  std::map<std::size_t, std::string> staged_;
  bool alive_ = false;
  bool loading_ = false;
  std::uint64_t version_ = 1;
  std::uint64_t orders_ = 0;
  std::uint64_t beats_ = 0;
  std::uint64_t born_ms_ = 0;
  int incarnation_ = 0;
};

/// \brief Gateways, stagers and model replicas of a small deployment.
class model_fleet {
 public:
  static constexpr int kGateways = 8;
  static constexpr int kReplicas = 16;

  model_fleet(boost::asio::io_context& context, replica_observer& observer);
  ~model_fleet();
  model_fleet(const model_fleet&) = delete;
  model_fleet& operator=(const model_fleet&) = delete;

  /// \brief Starts the stand-ins and the processes.
  void Start();
  /// \brief Waits until all gateways are ready; false after 30 s. Blocks, so
  /// the stand-ins must run on another thread.
  bool AwaitReady() const;

  boost::asio::ip::tcp::endpoint Gateway(int index) const;

 private:
  struct process {
    std::string name;
    std::string role;
    nlohmann::json settings;
  };

  nlohmann::json Settings(const std::string& name,
                          const std::string& address,
                          const std::string& zone) const;
  void Spawn(const process& started);
  bool ServeOrigin(testing::standin_connection& connection);

  const temporary_folder folder_;
  object_store store_;
  testing::http_standin origin_;
  std::vector<std::unique_ptr<model_replica>> replicas_;
  std::uint16_t internal_port_ = 0;
  std::vector<std::uint16_t> callers_;
  std::vector<std::uint16_t> ready_;
  std::vector<pid_t> pids_;
};

/// Parts of the weights, which the origin and the replicas hold.
inline constexpr std::size_t kPieces = 4;
inline constexpr std::size_t kPieceBytes = 1024;
inline constexpr char kModel[] = "singer-model";
inline constexpr char kModelService[] = "singer";
inline constexpr int kDownMs = 3000;

}  // namespace fireflyslip::review

#endif  // REVIEW_RIG_3_MODEL_FLEET_H_
