#ifndef REVIEW_HARNESS_HARNESS_H_
#define REVIEW_HARNESS_HARNESS_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

/// \brief Stand-ins and a client for the cases of the review. They follow the
/// users' pages, run in the process of a case and listen on loopback addresses
/// only.
namespace review {

/// Exit statuses of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCannotRun = 2;

/// \brief Seconds since the start of the case.
double Now();
void Sleep(double seconds);
/// \brief Waits until a condition holds; false if it does not in time.
bool WaitFor(double seconds, const std::function<bool()>& condition);

/// \brief Writes a line with the time to the record of the case.
void Record(const std::string& line);
/// \brief Starts the record, which is `record.txt` in the given folder.
bool OpenRecord(const std::string& folder);

/// \brief Whether the case runs with its disruption.
bool WithTrouble();

/// \brief Request that a stand-in received.
struct request {
  std::string method;
  std::string target;
  std::map<std::string, std::string> fields;  ///< Names in lower case.
  std::string body;

  std::string Field(const std::string& name) const;
  std::string path() const { return target.substr(0, target.find('?')); }
  std::string Query(const std::string& name) const;
};

using header_list = std::vector<std::pair<std::string, std::string>>;

/// \brief Connection of a stand-in to its caller.
class connection {
 public:
  connection(int socket, std::atomic<bool>& stopped)
      : socket_(socket), stopped_(stopped) {}

  /// \brief Reads the next request; false at the end of the connection.
  bool Read(request& received);
  bool Write(std::string_view bytes);
  bool Respond(int status,
               const std::string& body,
               const header_list& fields = {});
  bool stopped() const { return stopped_; }

 private:
  int socket_;
  std::atomic<bool>& stopped_;
  std::string buffer_;
};

/// \brief HTTP server with one thread for each connection.
class server {
 public:
  /// Returns whether the connection stays open.
  using handler = std::function<bool(connection&, const request&)>;

  server(const std::string& address, int port, handler handle);
  ~server();
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  bool listening() const { return listener_ >= 0; }

 private:
  void Accept();

  handler handle_;
  int listener_ = -1;
  std::atomic<bool> stopped_{false};
  std::mutex mutex_;
  std::set<int> sockets_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

/// \brief Answer that a client received.
struct answer {
  int status = 0;  ///< 0 if there was none.
  std::map<std::string, std::string> fields;
  std::string body;
  bool complete = false;  ///< The body is whole by its framing.
};

/// \brief Client connection that is kept open for several requests.
class client {
 public:
  client(std::string address, int port)
      : address_(std::move(address)), port_(port) {}
  ~client() { Close(); }
  client(const client&) = delete;
  client& operator=(const client&) = delete;

  /// \brief Sends a request on the open connection, or on a new one.
  answer Send(const std::string& method,
              const std::string& target,
              const header_list& fields,
              const std::string& body,
              double timeout);
  void Close();

 private:
  bool Connect(double timeout);

  std::string address_;
  int port_;
  int socket_ = -1;
  std::string buffer_;
};

/// \brief Process of the project, started with the command of the deploy file.
class process {
 public:
  process(std::string role, std::string name, nlohmann::json settings);
  ~process();
  process(const process&) = delete;
  process& operator=(const process&) = delete;

  bool Start();
  void Signal(int number);
  /// \brief Sends SIGKILL and waits for the end.
  void Kill();
  /// \brief Whether the process has not ended.
  bool IsRunning();
  /// \brief Resident memory in MB; 0 if the process has ended.
  double ResidentMb() const { return StatusMb("VmRSS:"); }
  /// \brief The most that it has been.
  double PeakMb() const { return StatusMb("VmHWM:"); }

 private:
  double StatusMb(const std::string& name) const;

  std::string role_;
  std::string name_;
  nlohmann::json settings_;
  pid_t pid_ = -1;
};

/// \brief Ports of all machines of a case.
struct port_plan {
  int store = 0;
  int origin = 0;
  int app = 0;
  int callers = 0;
  int ready = 0;
  int internal = 0;  ///< First of the internal ports.
};

/// \brief Ports that are free on the given addresses.
port_plan ChoosePorts(const std::vector<std::string>& addresses);

/// Addresses of the machines.
inline constexpr char kStoreAddress[] = "127.0.3.1";
inline constexpr char kOriginAddress[] = "127.0.3.2";
inline constexpr char kZone[] = "akl-a";
inline constexpr char kRegion[] = "akl";

/// \brief Settings as the platform writes them from the template.
nlohmann::json GatewaySettings(const std::string& address,
                               const port_plan& ports);
nlohmann::json StagerSettings(const std::string& address,
                              const std::string& service,
                              const port_plan& ports);

/// \brief The platform's store: lists and watches.
class store {
 public:
  explicit store(const port_plan& ports);

  bool listening() const { return server_.listening(); }
  void Put(const std::string& kind,
           const std::string& name,
           const nlohmann::json& spec);
  void Remove(const std::string& kind, const std::string& name);

 private:
  struct object {
    nlohmann::json spec;
    std::uint64_t revision = 0;
  };
  struct event {
    std::string kind;
    std::uint64_t revision = 0;
    nlohmann::json content;
  };

  bool Serve(connection& caller, const request& received);
  nlohmann::json Watch(const std::string& kind,
                       std::uint64_t since,
                       int wait_ms,
                       const connection& caller);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 1;
  std::map<std::string, std::map<std::string, object>> objects_;
  std::vector<event> events_;
  server server_;
};

/// Weights of all cases, as on the sheet of a small deployment.
inline constexpr int kPieces = 48;
inline constexpr std::size_t kPieceBytes = 49152;
inline constexpr char kModel[] = "daka510000";
inline constexpr char kPool[] = "singer";

/// \brief Bytes of a piece of the weights.
std::string PieceOf(const std::string& model, std::uint64_t version, int index);
std::string Sha256Hex(const std::string& bytes);

/// \brief Service with the origin of the weights.
class origin {
 public:
  explicit origin(const port_plan& ports);

  bool listening() const { return server_.listening(); }
  /// \brief A version of a model is named, and the origin has it.
  void Publish(const std::string& model, std::uint64_t version);
  /// \brief One digit of the next manifests that are sent is changed on the
  /// way.
  void SpoilManifests(int count) { spoil_manifests_ = count; }
  int pieces_sent() const { return pieces_sent_; }

 private:
  bool Serve(connection& caller, const request& received);
  bool ServeManifest(connection& caller,
                     const std::string& model,
                     std::uint64_t version);

  std::mutex mutex_;
  std::map<std::string, std::uint64_t> newest_;  // by model
  std::atomic<int> spoil_manifests_{0};
  std::atomic<int> pieces_sent_{0};
  server server_;
};

/// \brief Route of the configuration.
struct route_entry {
  std::string prefix;  ///< Begins and ends with a slash.
  std::string type;
  std::string service;
  int timeout_ms = 2500;
  int max_attempts = 1;
};

inline constexpr char kHost[] = "hulo84.example";
inline constexpr char kKey[] = "jnbanfqasnmgkcuyj8pj";
inline constexpr char kTenantName[] = "bozi300";

/// \brief Service of model replicas.
struct pool_entry {
  std::string service = kPool;
  std::string model = kModel;
};

/// \brief Content of `config/main`.
nlohmann::json Configuration(std::uint64_t version,
                             const std::vector<route_entry>& routes,
                             const std::vector<pool_entry>& pools,
                             const std::vector<std::string>& plain_services,
                             const port_plan& ports);

/// \brief Entry of a replica in the list of the store.
nlohmann::json ReplicaEntry(const std::string& service,
                            const std::string& address,
                            int slots);

/// \brief Header fields of a client's request.
header_list ClientFields(const std::string& attempt_id, int deadline_ms);
/// \brief Name for an attempt, new at each call.
std::string NewAttemptId();

/// \brief Waits until a gateway says that it is ready.
bool AwaitReady(const std::string& address, int port, double timeout);

}  // namespace review

#endif  // REVIEW_HARNESS_HARNESS_H_
