#ifndef REVIEW_FLEET_2_FLEET_H_
#define REVIEW_FLEET_2_FLEET_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

/// Stand-ins for clients, replicas and the platform, and a fleet of the
/// project's programs on loopback addresses.
namespace review {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// \brief Log of a case: what was sent, answered and run, with times.
class record {
 public:
  explicit record(const std::string& file);
  void Add(const std::string& line);

 private:
  std::mutex mutex_;
  std::ofstream file_;
  clock::time_point start_ = clock::now();
};

struct http_message {
  std::string method;
  std::string target;
  int status = 0;  ///< 0 if no head arrived.
  std::map<std::string, std::string> fields;
  std::string body;
  bool complete = false;

  std::string Field(const std::string& name) const;
};

std::string FormatResponse(
    int status,
    const std::string& body,
    const std::vector<std::pair<std::string, std::string>>& fields = {});

/// \brief Server side of one connection, with blocking operations.
class connection {
 public:
  explicit connection(int socket) : socket_(socket) {}
  /// \brief Reads a request with its body; false at the end.
  bool Read(http_message& request);
  bool Write(std::string_view bytes);

 private:
  bool Fill();

  int socket_;
  std::string buffer_;
};

/// \brief HTTP server with a thread for each connection.
class server {
 public:
  /// Returns whether the connection stays open.
  using handler = std::function<bool(const http_message&, connection&)>;

  /// \param port 0 for a free one.
  server(handler serve, const std::string& address, std::uint16_t port = 0);
  ~server();
  server(const server&) = delete;
  server& operator=(const server&) = delete;
  std::uint16_t port() const { return port_; }

 private:
  void Accept();

  handler serve_;
  int listener_ = -1;
  std::uint16_t port_ = 0;
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;
  std::set<int> sockets_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

/// \brief Sends a request on a new connection and reads the response.
http_message Send(
    const std::string& address,
    std::uint16_t port,
    const std::string& method,
    const std::string& target,
    const std::vector<std::pair<std::string, std::string>>& fields,
    const std::string& body = "",
    milliseconds timeout = milliseconds(20000));

/// \brief The platform's store: lists in pages of 500 entries or 1 MB, and
/// watches.
class store {
 public:
  store();
  ~store();
  store(const store&) = delete;
  store& operator=(const store&) = delete;
  std::uint16_t port() const { return server_->port(); }
  void Put(const std::string& kind,
           const std::string& name,
           const nlohmann::json& spec);
  void Remove(const std::string& kind, const std::string& name);

 private:
  struct event {
    std::string kind;
    std::uint64_t revision = 0;
    std::string text;
  };

  bool Serve(const http_message& request, connection& client);
  std::string List(const std::string& kind, const std::string& after);
  std::string Watch(const std::string& kind, std::uint64_t since, int wait_ms);

  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  std::uint64_t revision_ = 1;
  std::map<std::string, std::map<std::string, std::string>> objects_;
  std::vector<event> events_;
  std::unique_ptr<server> server_;
};

/// \brief A process, which is ended by its id only.
class child {
 public:
  /// Output is appended to a log file.
  child(const std::vector<std::string>& command, const std::string& log_file);
  /// Kills the process.
  ~child();
  child(const child&) = delete;
  child& operator=(const child&) = delete;
  pid_t pid() const { return pid_; }
  bool IsRunning();
  void Signal(int number);

 private:
  pid_t pid_ = 0;
  bool ended_ = false;
};

/// \brief Gateways and stagers, started with the commands of the deploy file
/// and settings of a small deployment (Tūī Lane).
class fleet {
 public:
  explicit fleet(std::uint16_t store_port);
  ~fleet();
  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;

  /// \brief Address of the VM with this number.
  static std::string Address(std::size_t vm);
  void StartGateway(std::size_t vm);
  void StartStager(std::size_t vm,
                   const std::string& service,
                   std::uint16_t engine_port);
  /// \brief Waits until the gateway says that it is ready.
  bool WaitUntilReady(std::size_t vm, milliseconds timeout) const;
  bool IsReady(std::size_t vm) const;
  std::uint16_t callers_port() const { return callers_port_; }
  child& process(std::size_t vm) { return *processes_.at(vm); }
  bool has_process(std::size_t vm) const { return processes_.contains(vm); }
  void Kill(std::size_t vm) { processes_.erase(vm); }
  std::string LogFile(std::size_t vm) const;

 private:
  nlohmann::json Settings(std::size_t vm, const std::string& role) const;
  void Start(std::size_t vm,
             const std::string& role,
             const nlohmann::json& settings);

  std::filesystem::path folder_;
  std::uint16_t store_port_;
  std::uint16_t internal_port_ = 0;  // first of 16
  std::uint16_t callers_port_ = 0;
  std::uint16_t ready_port_ = 0;
  std::map<std::size_t, std::unique_ptr<child>> processes_;
};

/// \brief A configuration with the limits of a small deployment.
nlohmann::json Configuration(std::uint64_t version,
                             nlohmann::json routes,
                             nlohmann::json services);
inline constexpr char kHost[] = "rooms.example";
inline constexpr char kKey[] = "caller-key";

/// \brief Whether the disruption is to be left out (`TROUBLE=0`).
bool IsCalm();

}  // namespace review

#endif  // REVIEW_FLEET_2_FLEET_H_
