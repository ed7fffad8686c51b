#ifndef REVIEW_RIG_3_RIG_H_
#define REVIEW_RIG_3_RIG_H_

#include <sys/types.h>

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "../../tests/process/http_standin.h"

namespace fireflyslip::review {

inline constexpr char kHost[] = "orders.example";
inline constexpr char kKey[] = "caller-key";
inline constexpr char kZone[] = "akl-a";

/// Exit codes of a script.
inline constexpr int kRuleHeld = 0;
inline constexpr int kRuleBroken = 1;
inline constexpr int kCannotRun = 2;

/// \brief Whether the run includes the disruption (`TROUBLE` is not 0).
bool HasTrouble();

/// \brief Writes `record.txt`: lines with the time since the start.
/// Thread-safe.
class recorder {
 public:
  explicit recorder(const std::filesystem::path& file);

  void Write(const std::string& line);

 private:
  std::mutex mutex_;
  std::ofstream file_;
  const std::chrono::steady_clock::time_point start_;
};

/// \brief Folder that is removed with its contents.
class temporary_folder {
 public:
  temporary_folder();
  ~temporary_folder();
  temporary_folder(const temporary_folder&) = delete;
  temporary_folder& operator=(const temporary_folder&) = delete;

  const std::filesystem::path& path() const { return path_; }

 private:
  std::filesystem::path path_;
};

/// \brief First of 16 consecutive ports that are free on all addresses.
std::uint16_t FreePorts(const std::vector<std::string>& addresses);

/// \brief Lets this process end with the script that started it.
void EndWithParent();

/// \brief Starts `fireflyslip ROLE` with a settings file. Its output is
/// appended to the file NAME.log in the folder. It ends with this process, also
/// if that is killed.
pid_t StartProcess(const std::string& role,
                   const nlohmann::json& settings,
                   const std::filesystem::path& folder,
                   const std::string& name);
/// \brief Ends a process that was started here.
void KillProcess(pid_t pid);

/// \brief Whether a gateway reports itself ready within 30 s.
bool AwaitReady(const std::string& address, std::uint16_t port);

/// \brief Stand-in for the platform's store: lists and watches of objects.
class object_store {
 public:
  object_store();

  std::uint16_t port() const { return server_.port(); }
  void Put(const std::string& kind,
           const std::string& name,
           const nlohmann::json& spec);
  void Remove(const std::string& kind, const std::string& name);

 private:
  struct change {
    std::string kind;
    std::uint64_t revision = 0;
    nlohmann::json content;
  };

  bool Serve(testing::standin_connection& connection);
  nlohmann::json List(const std::string& kind);
  nlohmann::json Watch(const std::string& kind,
                       std::uint64_t since,
                       int wait_ms);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 1;
  std::map<std::string, std::map<std::string, nlohmann::json>> objects_;
  std::vector<change> changes_;
  testing::http_standin server_;
};

/// \brief Route to a service of the same name without an engine.
struct plain_route {
  std::string service;  ///< The prefix of the path is `/SERVICE/`.
  std::string type;
  int timeout_ms = 2500;
};

/// \brief Configuration of a small deployment with one tenant.
nlohmann::json Configuration(const std::vector<plain_route>& routes);

/// \brief Replica of a service without an engine: a server with an entry in the
/// store.
class replica {
 public:
  /// Serves a request whose head has been read; returns whether the connection
  /// stays open.
  using handler = std::function<bool(testing::standin_connection&)>;

  replica(object_store& store,
          const std::string& id,
          const std::string& service,
          handler serve);

 private:
  testing::http_standin server_;
};

/// \brief `fireflyslip gateway` with the settings of a small deployment, on a
/// loopback address of its own.
class gateway_process {
 public:
  static constexpr std::size_t kMemoryBytes = 260UL << 20;

  gateway_process(const object_store& store,
                  const std::filesystem::path& folder);
  ~gateway_process();
  gateway_process(const gateway_process&) = delete;
  gateway_process& operator=(const gateway_process&) = delete;

  /// \brief Starts the process, also once more after its end.
  void Start();
  /// \brief Ends the process without notice.
  void Kill();
  bool IsRunning() const;
  bool AwaitReady() const { return review::AwaitReady(address_, ready_); }
  /// \brief Resident memory in bytes; 0 if the process has ended.
  std::size_t ResidentBytes() const;

  const std::string& address() const { return address_; }
  std::uint16_t port() const { return callers_; }

 private:
  std::filesystem::path folder_;
  nlohmann::json settings_;
  std::string address_;
  std::uint16_t callers_ = 0;
  std::uint16_t ready_ = 0;
  pid_t pid_ = 0;  // 0 while no process runs
};

/// \brief Head and body of an answer; status 0 if there is no complete head.
struct answer {
  int status = 0;
  std::size_t length = 0;  ///< As stated by the head.
  std::string body;        ///< May be incomplete.
  bool complete = false;
};

/// \brief Client side of a connection with blocking operations.
class client_connection {
 public:
  using deadline = std::chrono::steady_clock::time_point;

  /// \param receive_buffer_bytes 0 for the default of the system.
  client_connection(const std::string& address,
                    std::uint16_t port,
                    int receive_buffer_bytes = 0);
  ~client_connection();
  client_connection(const client_connection&) = delete;
  client_connection& operator=(const client_connection&) = delete;

  bool is_open() const { return socket_ >= 0; }
  /// \brief Whether the server has closed or reset the connection.
  bool was_closed() const { return closed_; }
  bool Send(std::string_view bytes);
  /// \brief Reads the head of an answer and the part of the body that came
  /// with it.
  answer ReadHead(deadline until);
  /// \brief Reads up to `limit` bytes; empty at the end of the connection or of
  /// the time.
  std::string Read(std::size_t limit, deadline until);
  /// \brief Reads a whole answer.
  answer ReadAnswer(deadline until);

 private:
  int socket_ = -1;
  bool closed_ = false;
};

/// \brief Head of a request of a client, with an empty line at its end.
/// \param fields further fields, each with its line end.
std::string RequestHead(const std::string& method,
                        const std::string& target,
                        const std::string& attempt,
                        int deadline_ms,
                        const std::string& fields);

/// \brief Ends the run with `kCannotRun`, and the gateways, if it takes too
/// long.
class run_limit {
 public:
  explicit run_limit(std::chrono::seconds limit);
  ~run_limit();
  run_limit(const run_limit&) = delete;
  run_limit& operator=(const run_limit&) = delete;

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  bool ended_ = false;
  std::thread thread_;
};

}  // namespace fireflyslip::review

#endif  // REVIEW_RIG_3_RIG_H_
