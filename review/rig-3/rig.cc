#include "rig.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <csignal>
#include <future>
#include <iostream>
#include <set>
#include <stdexcept>
#include <utility>

namespace fireflyslip::review {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::uint16_t kInternalPorts = 16;
constexpr std::chrono::seconds kReadyTimeout{30};
constexpr std::size_t kReadBytes = 64UL << 10;

/// Processes that this one has started and not awaited.
class process_list {
 public:
  void Add(pid_t pid) {
    const std::scoped_lock lock(mutex_);
    pids_.insert(pid);
  }
  void Kill(pid_t pid) {
    const std::scoped_lock lock(mutex_);
    if (pids_.erase(pid) > 0) {
      ::kill(pid, SIGKILL);
      ::waitpid(pid, nullptr, 0);
    }
  }
  void KillAll() {
    const std::scoped_lock lock(mutex_);
    for (const pid_t pid : pids_) {
      ::kill(pid, SIGKILL);
    }
  }

 private:
  std::mutex mutex_;
  std::set<pid_t> pids_;
};

/// Starts processes on a thread that lasts as long as this process: the kernel
/// ends them with the thread that started them.
class process_starter {
 public:
  process_starter() : thread_([this] { Run(); }) { thread_.detach(); }

  pid_t Start(const std::string& program,
              char* const* arguments,
              char* const* variables,
              const std::string& log) {
    std::promise<pid_t> started;
    std::future<pid_t> result = started.get_future();
    {
      const std::scoped_lock lock(mutex_);
      order_ = [&] {
        started.set_value(Fork(program, arguments, variables, log));
      };
    }
    changed_.notify_all();
    return result.get();
  }

 private:
  static pid_t Fork(const std::string& program,
                    char* const* arguments,
                    char* const* variables,
                    const std::string& log) {
    const pid_t parent = ::getpid();
    const pid_t pid = ::fork();
    if (pid != 0) {
      return pid;
    }
    // Only functions that are safe after a fork of one of several threads.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    if (::getppid() != parent || output < 0) {
      ::_exit(kCannotRun);
    }
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    // Sockets of the stand-ins would stay open in the process.
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::execve(program.c_str(), arguments, variables);
    ::_exit(kCannotRun);
  }

  void Run() {
    std::unique_lock lock(mutex_);
    for (;;) {
      changed_.wait(lock, [this] { return order_ != nullptr; });
      std::exchange(order_, nullptr)();
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::function<void()> order_;
  std::thread thread_;
};

process_starter& Starter() {
  static auto* const starter = new process_starter();
  return *starter;
}

process_list& Processes() {
  static process_list list;
  return list;
}

json FormatObject(const std::string& name,
                  std::uint64_t revision,
                  const json& spec) {
  return {{"metadata",
           {{"name", name},
            {"revision", revision},
            {"created", 1},
            {"finalizerList", json::array()},
            {"deletionPending", false}}},
          {"spec", spec},
          {"status", nullptr}};
}

std::string FindQuery(const std::string& target, const std::string& name) {
  const std::size_t start = target.find(name + "=");
  if (start == std::string::npos) {
    return "";
  }
  const std::size_t value = start + name.size() + 1;
  return target.substr(value, target.find('&', value) - value);
}

sockaddr_in ToAddress(const std::string& address, std::uint16_t port) {
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_port = htons(port);
  inet_pton(AF_INET, address.c_str(), &target.sin_addr);
  return target;
}

// Port that is free now, or whether the given one is (0 if not).
std::uint16_t FreePort(const std::string& address, std::uint16_t wanted = 0) {
  const int probe = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in target = ToAddress(address, wanted);
  socklen_t size = sizeof(target);
  std::uint16_t port = 0;
  if (::bind(probe, reinterpret_cast<sockaddr*>(&target), size) == 0 &&
      ::getsockname(probe, reinterpret_cast<sockaddr*>(&target), &size) == 0) {
    port = ntohs(target.sin_port);
  }
  ::close(probe);
  return port;
}

std::string Lower(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char c) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  });
  return lower;
}

}  // namespace

bool HasTrouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string_view(value) != "0";
}

std::uint16_t FreePorts(const std::vector<std::string>& addresses) {
  for (;;) {
    const std::uint16_t first = FreePort(addresses.front());
    bool is_free = first != 0 && first < UINT16_MAX - kInternalPorts;
    for (const std::string& address : addresses) {
      for (std::uint16_t i = 0; is_free && i < kInternalPorts; ++i) {
        is_free = FreePort(address, first + i) != 0;
      }
    }
    if (is_free) {
      return first;
    }
  }
}

recorder::recorder(const std::filesystem::path& file)
    : file_(file), start_(steady_clock::now()) {}

void recorder::Write(const std::string& line) {
  const std::scoped_lock lock(mutex_);
  const auto time =
      std::chrono::duration_cast<milliseconds>(steady_clock::now() - start_);
  file_ << time.count() << " ms " << line << std::endl;
}

temporary_folder::temporary_folder() {
  std::string name =
      (std::filesystem::temp_directory_path() / "fireflyslip-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("cannot create " + name);
  }
  path_ = name;
}

temporary_folder::~temporary_folder() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

void EndWithParent() {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
}

pid_t StartProcess(const std::string& role,
                   const json& settings,
                   const std::filesystem::path& folder,
                   const std::string& name) {
  const std::filesystem::path file = folder / (name + ".json");
  std::ofstream(file) << settings.dump();
  std::string program = "target/src/fireflyslip";
  std::string command = role;
  std::string boot = "FIREFLYSLIP_BOOT=" + file.string();
  std::string path = "PATH=/usr/bin:/bin";
  std::array<char*, 3> arguments{program.data(), command.data(), nullptr};
  std::array<char*, 3> variables{boot.data(), path.data(), nullptr};
  const std::string log = (folder / (name + ".log")).string();
  const pid_t pid =
      Starter().Start(program, arguments.data(), variables.data(), log);
  if (pid <= 0) {
    throw std::runtime_error("cannot start " + program);
  }
  Processes().Add(pid);
  return pid;
}

void KillProcess(pid_t pid) {
  Processes().Kill(pid);
}

object_store::object_store()
    : server_([this](testing::standin_connection& connection) {
        return Serve(connection);
      }) {}

void object_store::Put(const std::string& kind,
                       const std::string& name,
                       const json& spec) {
  const std::scoped_lock lock(mutex_);
  const json object = FormatObject(name, ++revision_, spec);
  objects_[kind][name] = object;
  changes_.push_back(
      {kind, revision_, {{"deleted", false}, {"eventObject", object}}});
  changed_.notify_all();
}

void object_store::Remove(const std::string& kind, const std::string& name) {
  const std::scoped_lock lock(mutex_);
  json object = objects_[kind].at(name);
  object["metadata"]["revision"] = ++revision_;
  objects_[kind].erase(name);
  changes_.push_back(
      {kind, revision_, {{"deleted", true}, {"eventObject", object}}});
  changed_.notify_all();
}

bool object_store::Serve(testing::standin_connection& connection) {
  if (!connection.ReadBody()) {
    return false;
  }
  constexpr std::string_view kPrefix = "/fireflyslip/objects/";
  const std::string target(connection.received().target());
  const std::string path = target.substr(0, target.find('?'));
  if (connection.received().method_string() != "GET" ||
      !path.starts_with(kPrefix)) {
    return connection.Write(testing::FormatResponse(404, "{}"));
  }
  const std::string kind = path.substr(kPrefix.size());
  const std::string since = FindQuery(target, "watchRevision");
  const json body = since.empty()
                        ? List(kind)
                        : Watch(kind, std::stoull(since),
                                std::stoi("0" + FindQuery(target, "waitMs")));
  return connection.Write(testing::FormatResponse(
      200, body.dump(), {{"Content-Type", "application/json"}}));
}

json object_store::List(const std::string& kind) {
  const std::scoped_lock lock(mutex_);
  json entries = json::array();
  for (const auto& [name, object] : objects_[kind]) {
    entries.push_back(object);
  }
  return {{"entries", entries}, {"hasMore", false}, {"at", revision_}};
}

json object_store::Watch(const std::string& kind,
                         std::uint64_t since,
                         int wait_ms) {
  constexpr milliseconds kStopInterval{100};
  const auto end = steady_clock::now() + milliseconds(wait_ms);
  std::unique_lock lock(mutex_);
  for (;;) {
    json events = json::array();
    for (const change& item : changes_) {
      if (item.kind == kind && item.revision > since) {
        events.push_back(item.content);
      }
    }
    if (!events.empty() || server_.is_stopping() ||
        steady_clock::now() >= end) {
      return {{"events", events}, {"at", revision_}};
    }
    changed_.wait_until(lock,
                        std::min(end, steady_clock::now() + kStopInterval));
  }
}

json Configuration(const std::vector<plain_route>& routes) {
  json list = json::array();
  json services = json::array();
  for (const plain_route& route : routes) {
    list.push_back({{"name", "r-" + route.service},
                    {"host", kHost},
                    {"pathPrefix", "/" + route.service + "/"},
                    {"routeType", route.type},
                    {"timeoutMs", route.timeout_ms},
                    {"targetLatencyMs", 150},
                    {"priority", 0},
                    {"service", route.service},
                    {"maxAttempts", 1},
                    {"public", false}});
    services.push_back({{"name", route.service},
                        {"healthPath", "/healthz"},
                        {"maxConnections", 110},
                        {"protocol", "h1"},
                        {"tls", false}});
  }
  return {
      {"version", 1},
      {"routes", list},
      {"services", services},
      {"limits",
       {{"maxHeaderBytes", 16384},
        {"maxBodyBytes", 4194304},
        {"headerTimeoutMs", 3000},
        {"idleTimeoutMs", 15000}}},
      {"tenants", {{{"name", "bar-1"}, {"apiKeys", {kKey}}, {"priority", 1}}}}};
}

replica::replica(object_store& store,
                 const std::string& id,
                 const std::string& service,
                 handler serve)
    : server_(std::move(serve)) {
  const auto born = std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  store.Put("servers", id,
            {{"service", service},
             {"address", "127.0.0.1:" + std::to_string(server_.port())},
             {"zone", kZone},
             {"version", "v1"},
             {"slots", 6},
             {"state", "ready"},
             {"coldRemainingMs", 0},
             {"sequence", 1},
             {"born", born.count()}});
}

gateway_process::gateway_process(const object_store& store,
                                 const std::filesystem::path& folder)
    : folder_(folder), address_("127.0.7.1") {
  callers_ = FreePort(address_);
  ready_ = FreePort(address_);
  const std::uint16_t first = FreePorts({address_});
  const std::string local = address_ + ":";
  settings_ = {{"vm", "edge-akl-a-1"},
               {"address", address_},
               {"data_centre", kZone},
               {"region", "akl"},
               {"regions", {{kZone, "akl"}}},
               {"callers", local + std::to_string(callers_)},
               {"ready", local + std::to_string(ready_)},
               {"internal_ports", {first, first + kInternalPorts - 1}},
               {"platform", "127.0.0.1:" + std::to_string(store.port())},
               {"link_mbps", 1000.0},
               {"memory_mb", kMemoryBytes >> 20},
               {"drain_timeout_ms", 8000},
               {"upstream_drain_ms", 2000},
               {"key_revocation_ms", 5000},
               {"rollout_ms", 8000},
               {"startup_grace_ms", 3000},
               {"retry_ratio", 0.2},
               {"retry_window_s", 10},
               {"retry_allowance", 104}};
}

gateway_process::~gateway_process() {
  Kill();
}

void gateway_process::Start() {
  pid_ = StartProcess("gateway", settings_, folder_, "gateway");
}

void gateway_process::Kill() {
  if (pid_ != 0) {
    KillProcess(std::exchange(pid_, 0));
  }
}

bool gateway_process::IsRunning() const {
  siginfo_t state{};
  return pid_ != 0 &&
         ::waitid(P_PID, static_cast<id_t>(pid_), &state,
                  WEXITED | WNOHANG | WNOWAIT) == 0 &&
         state.si_pid == 0;
}

bool AwaitReady(const std::string& address, std::uint16_t port) {
  const auto end = steady_clock::now() + kReadyTimeout;
  while (steady_clock::now() < end) {
    client_connection connection(address, port);
    if (connection.is_open() &&
        connection.Send(
            "GET /fireflyslip/readyz HTTP/1.1\r\nHost: a\r\n\r\n") &&
        connection.ReadHead(steady_clock::now() + milliseconds(500)).status ==
            200) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(50));
  }
  return false;
}

std::size_t gateway_process::ResidentBytes() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

client_connection::client_connection(const std::string& address,
                                     std::uint16_t port,
                                     int receive_buffer_bytes)
    : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
  if (receive_buffer_bytes > 0) {
    ::setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
                 sizeof(receive_buffer_bytes));
  }
  const sockaddr_in target = ToAddress(address, port);
  if (::connect(socket_, reinterpret_cast<const sockaddr*>(&target),
                sizeof(target)) != 0) {
    ::close(std::exchange(socket_, -1));
    return;
  }
  const int on = 1;
  ::setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

client_connection::~client_connection() {
  if (socket_ >= 0) {
    ::close(socket_);
  }
}

bool client_connection::Send(std::string_view bytes) {
  while (is_open() && !bytes.empty()) {
    const ssize_t sent =
        ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      closed_ = true;
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return is_open();
}

std::string client_connection::Read(std::size_t limit, deadline until) {
  const auto left =
      std::chrono::ceil<milliseconds>(until - steady_clock::now());
  pollfd waited{socket_, POLLIN, 0};
  std::string part(limit, '\0');
  ssize_t size = 0;
  if (is_open() && left.count() > 0 &&
      ::poll(&waited, 1, static_cast<int>(left.count())) == 1) {
    size = ::recv(socket_, part.data(), limit, 0);
    closed_ = closed_ || size <= 0;
  }
  part.resize(static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
  return part;
}

answer client_connection::ReadHead(deadline until) {
  answer received;
  std::string bytes;
  std::size_t end = std::string::npos;
  while ((end = bytes.find("\r\n\r\n")) == std::string::npos) {
    const std::string part = Read(kReadBytes, until);
    if (part.empty()) {
      return received;
    }
    bytes += part;
  }
  const std::string head = Lower(bytes.substr(0, end));
  constexpr std::string_view kLength = "content-length: ";
  const std::size_t length = head.find(kLength);
  if (length != std::string::npos) {
    received.length = std::stoull(head.substr(length + kLength.size()));
  }
  constexpr std::size_t kStatusOffset = 9;  // after HTTP/1.1
  received.status = std::stoi(head.substr(kStatusOffset));
  received.body = bytes.substr(end + 4);
  received.complete = received.body.size() >= received.length;
  return received;
}

answer client_connection::ReadAnswer(deadline until) {
  answer received = ReadHead(until);
  while (received.status != 0 && !received.complete) {
    const std::string part = Read(kReadBytes, until);
    if (part.empty()) {
      break;
    }
    received.body += part;
    received.complete = received.body.size() >= received.length;
  }
  return received;
}

std::string RequestHead(const std::string& method,
                        const std::string& target,
                        const std::string& attempt,
                        int deadline_ms,
                        const std::string& fields) {
  return method + " " + target + " HTTP/1.1\r\nHost: " + kHost +
         "\r\nAttempt-Id: " + attempt +
         "\r\nDeadline-Ms: " + std::to_string(deadline_ms) +
         "\r\nAuthorization: Bearer " + kKey + "\r\n" + fields + "\r\n";
}

run_limit::run_limit(std::chrono::seconds limit)
    : thread_([this, limit] {
        std::unique_lock lock(mutex_);
        if (!changed_.wait_for(lock, limit, [this] { return ended_; })) {
          std::cerr << "the run takes too long\n";
          Processes().KillAll();
          std::_Exit(kCannotRun);
        }
      }) {}

run_limit::~run_limit() {
  {
    const std::scoped_lock lock(mutex_);
    ended_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

}  // namespace fireflyslip::review
