#include "fleet.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <stdexcept>
#include <utility>

namespace review {
namespace {

using nlohmann::json;

constexpr std::uint16_t kInternalPorts = 16;

sockaddr_in ToAddress(const std::string& address, std::uint16_t port) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(port);
  inet_pton(AF_INET, address.c_str(), &result.sin_addr);
  return result;
}

bool Bind(int socket, const std::string& address, std::uint16_t port) {
  const sockaddr_in local = ToAddress(address, port);
  return bind(socket, reinterpret_cast<const sockaddr*>(&local),
              sizeof(local)) == 0;
}

bool IsFree(const std::string& address, std::uint16_t port, int type) {
  const int socket = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const bool is_free = Bind(socket, address, port);
  close(socket);
  return is_free;
}

/// First port of a range that is free on the addresses of all VMs.
std::uint16_t FreeRange(std::uint16_t count) {
  constexpr std::size_t kVms = 12;
  constexpr std::uint16_t kFirst = 21000;
  constexpr std::uint16_t kSpan = 9000;
  // Programs that are started one after the other begin at different ranges.
  auto first = static_cast<std::uint16_t>(kFirst + getpid() * count % kSpan);
  for (;; first += count) {
    if (first > kFirst + kSpan) {
      first = kFirst;
    }
    bool is_free = true;
    for (std::size_t vm = 0; vm < kVms && is_free; ++vm) {
      for (std::uint16_t i = 0; i < count && is_free; ++i) {
        is_free = IsFree(fleet::Address(vm), first + i, SOCK_STREAM) &&
                  IsFree(fleet::Address(vm), first + i, SOCK_DGRAM);
      }
    }
    if (is_free) {
      return first;
    }
  }
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

/// Parses the start line and the fields of a head.
void ParseHead(std::string_view head, http_message& message) {
  bool first = true;
  while (!head.empty()) {
    const std::size_t end = std::min(head.find("\r\n"), head.size());
    const std::string line(head.substr(0, end));
    head.remove_prefix(std::min(head.size(), end + 2));
    if (first && line.starts_with("HTTP/1.1 ")) {
      message.status = std::atoi(line.c_str() + 9);
    } else if (first) {
      const std::size_t space = line.find(' ');
      message.method = line.substr(0, space);
      message.target = line.substr(space + 1, line.rfind(' ') - space - 1);
    } else if (const std::size_t colon = line.find(':');
               colon != std::string::npos) {
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      message.fields[Lower(line.substr(0, colon))] =
          value == std::string::npos ? "" : line.substr(value);
    }
    first = false;
  }
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

std::string Query(const std::string& target, const std::string& name) {
  const std::size_t start = target.find(name + "=");
  if (start == std::string::npos) {
    return "";
  }
  const std::size_t value = start + name.size() + 1;
  std::string text = target.substr(value, target.find('&', value) - value);
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded +=
          static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

}  // namespace

record::record(const std::string& file) : file_(file) {}

void record::Add(const std::string& line) {
  const std::scoped_lock lock(mutex_);
  const auto at =
      std::chrono::duration_cast<milliseconds>(clock::now() - start_);
  file_ << at.count() << " " << line << "\n" << std::flush;
}

std::string http_message::Field(const std::string& name) const {
  const auto found = fields.find(Lower(name));
  return found == fields.end() ? "" : found->second;
}

std::string FormatResponse(
    int status,
    const std::string& body,
    const std::vector<std::pair<std::string, std::string>>& fields) {
  std::string bytes = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : fields) {
    bytes.append(name).append(": ").append(value).append("\r\n");
  }
  return bytes + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

bool connection::Fill() {
  char part[16384];
  const ssize_t size = recv(socket_, part, sizeof(part), 0);
  if (size <= 0) {
    return false;
  }
  buffer_.append(part, static_cast<std::size_t>(size));
  return true;
}

bool connection::Read(http_message& request) {
  request = {};
  std::size_t end = 0;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill()) {
      return false;
    }
  }
  ParseHead(std::string_view(buffer_).substr(0, end), request);
  buffer_.erase(0, end + 4);
  const std::size_t size =
      std::strtoull(request.Field("Content-Length").c_str(), nullptr, 10);
  while (buffer_.size() < size) {
    if (!Fill()) {
      return false;
    }
  }
  request.body = buffer_.substr(0, size);
  buffer_.erase(0, size);
  request.complete = true;
  return true;
}

bool connection::Write(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t size =
        send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(size));
  }
  return true;
}

server::server(handler serve, const std::string& address, std::uint16_t port)
    : serve_(std::move(serve)) {
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  constexpr int kBacklog = 512;
  if (!Bind(listener_, address, port) || listen(listener_, kBacklog) != 0) {
    close(listener_);
    throw std::runtime_error("cannot listen on " + address + ":" +
                             std::to_string(port));
  }
  sockaddr_in local{};
  socklen_t size = sizeof(local);
  getsockname(listener_, reinterpret_cast<sockaddr*>(&local), &size);
  port_ = ntohs(local.sin_port);
  acceptor_ = std::thread([this] { Accept(); });
}

server::~server() {
  stopping_ = true;
  shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  close(listener_);
  {
    const std::scoped_lock lock(mutex_);
    for (const int socket : sockets_) {
      shutdown(socket, SHUT_RDWR);
    }
  }
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

void server::Accept() {
  while (!stopping_) {
    const int socket = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      continue;
    }
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const std::scoped_lock lock(mutex_);
    sockets_.insert(socket);
    threads_.emplace_back([this, socket] {
      connection client(socket);
      http_message request;
      while (!stopping_ && client.Read(request) && serve_(request, client)) {
      }
      const std::scoped_lock end_lock(mutex_);
      sockets_.erase(socket);
      close(socket);
    });
  }
}

http_message Send(
    const std::string& address,
    std::uint16_t port,
    const std::string& method,
    const std::string& target,
    const std::vector<std::pair<std::string, std::string>>& fields,
    const std::string& body,
    milliseconds timeout) {
  http_message answer;
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{static_cast<time_t>(timeout.count() / 1000),
                      (timeout.count() % 1000) * 1000};
  setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const sockaddr_in remote = ToAddress(address, port);
  std::string request = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : fields) {
    request.append(name).append(": ").append(value).append("\r\n");
  }
  request += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  request += body;
  connection writer(socket);
  if (connect(socket, reinterpret_cast<const sockaddr*>(&remote),
              sizeof(remote)) != 0 ||
      !writer.Write(request)) {
    close(socket);
    return answer;
  }
  std::string buffer;
  char part[16384];
  for (;;) {
    const ssize_t size = recv(socket, part, sizeof(part), 0);
    if (size <= 0) {
      break;
    }
    buffer.append(part, static_cast<std::size_t>(size));
    const std::size_t end = buffer.find("\r\n\r\n");
    if (end == std::string::npos) {
      continue;
    }
    answer = {};
    ParseHead(std::string_view(buffer).substr(0, end), answer);
    answer.body = buffer.substr(end + 4);
    answer.complete =
        answer.Field("Transfer-Encoding") == "chunked"
            ? answer.body.ends_with("0\r\n\r\n")
            : answer.body.size() >=
                  std::strtoull(answer.Field("Content-Length").c_str(), nullptr,
                                10);
    if (answer.complete) {
      break;
    }
  }
  close(socket);
  return answer;
}

store::store()
    : server_(std::make_unique<server>(
          [this](const http_message& request, connection& client) {
            return Serve(request, client);
          },
          "127.0.0.1")) {}

store::~store() {
  {
    const std::scoped_lock lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  server_.reset();
}

void store::Put(const std::string& kind,
                const std::string& name,
                const json& spec) {
  const std::scoped_lock lock(mutex_);
  const std::string object = FormatObject(name, ++revision_, spec).dump();
  objects_[kind][name] = object;
  events_.push_back(
      {kind, revision_, R"({"deleted":false,"eventObject":)" + object + "}"});
  changed_.notify_all();
}

void store::Remove(const std::string& kind, const std::string& name) {
  const std::scoped_lock lock(mutex_);
  const std::string object = objects_[kind].at(name);
  ++revision_;
  objects_[kind].erase(name);
  events_.push_back(
      {kind, revision_, R"({"deleted":true,"eventObject":)" + object + "}"});
  changed_.notify_all();
}

bool store::Serve(const http_message& request, connection& client) {
  constexpr std::string_view kPrefix = "/fireflyslip/objects/";
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (request.method != "GET" || !path.starts_with(kPrefix)) {
    return client.Write(FormatResponse(404, "{}"));
  }
  const std::string kind = path.substr(kPrefix.size());
  const std::string since = Query(request.target, "watchRevision");
  const std::string wait = Query(request.target, "waitMs");
  const std::string body =
      since.empty()
          ? List(kind, Query(request.target, "after"))
          : Watch(kind, std::stoull(since), wait.empty() ? 0 : std::stoi(wait));
  return client.Write(
      FormatResponse(200, body, {{"Content-Type", "application/json"}}));
}

std::string store::List(const std::string& kind, const std::string& after) {
  constexpr std::size_t kPageEntries = 500;
  constexpr std::size_t kPageBytes = 1 << 20;
  const std::scoped_lock lock(mutex_);
  std::string entries;
  std::size_t count = 0;
  bool has_more = false;
  const auto& objects = objects_[kind];
  for (auto it = objects.upper_bound(after); it != objects.end(); ++it) {
    if (count == kPageEntries ||
        (count > 0 && entries.size() + it->second.size() > kPageBytes)) {
      has_more = true;
      break;
    }
    entries += (count++ == 0 ? "" : ",") + it->second;
  }
  return R"({"entries":[)" + entries + R"(],"hasMore":)" +
         (has_more ? "true" : "false") + R"(,"at":)" +
         std::to_string(revision_) + "}";
}

std::string store::Watch(const std::string& kind,
                         std::uint64_t since,
                         int wait_ms) {
  const auto deadline = clock::now() + milliseconds(wait_ms);
  std::unique_lock lock(mutex_);
  for (;;) {
    std::string events;
    for (const event& item : events_) {
      if (item.kind == kind && item.revision > since) {
        events += (events.empty() ? "" : ",") + item.text;
      }
    }
    if (!events.empty() || stopping_ || clock::now() >= deadline) {
      return R"({"events":[)" + events + R"(],"at":)" +
             std::to_string(revision_) + "}";
    }
    changed_.wait_until(lock, deadline);
  }
}

child::child(const std::vector<std::string>& command,
             const std::string& log_file) {
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const std::string& argument : command) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int code = posix_spawn(&pid_, arguments[0], &actions, nullptr,
                               arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (code != 0) {
    throw std::runtime_error("cannot start " + command.front());
  }
}

child::~child() {
  Signal(SIGKILL);
  if (!ended_) {
    waitpid(pid_, nullptr, 0);
  }
}

bool child::IsRunning() {
  ended_ = ended_ || waitpid(pid_, nullptr, WNOHANG) == pid_;
  return !ended_;
}

void child::Signal(int number) {
  if (IsRunning()) {
    kill(pid_, number);
  }
}

fleet::fleet(std::uint16_t store_port) : store_port_(store_port) {
  std::string name =
      (std::filesystem::temp_directory_path() / "review-2-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary folder");
  }
  folder_ = name;
  internal_port_ = FreeRange(kInternalPorts + 2);
  callers_port_ = internal_port_ + kInternalPorts;
  ready_port_ = callers_port_ + 1;
}

fleet::~fleet() {
  processes_.clear();
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(folder_);
  }
}

std::string fleet::Address(std::size_t vm) {
  return "127.0.11." + std::to_string(vm + 1);
}

std::string fleet::LogFile(std::size_t vm) const {
  return (folder_ / ("vm-" + std::to_string(vm) + ".log")).string();
}

json fleet::Settings(std::size_t vm, const std::string& role) const {
  const bool gateway = role == "gateway";
  return {
      {"vm", role + "-" + std::to_string(vm)},
      {"address", Address(vm)},
      {"data_centre", "akl-a"},
      {"region", "akl"},
      {"regions", {{"akl-a", "akl"}}},
      {"internal_ports", {internal_port_, internal_port_ + kInternalPorts - 1}},
      {"platform", "127.0.0.1:" + std::to_string(store_port_)},
      {"link_mbps", gateway ? 1000.0 : 9.4},
      {"memory_mb", gateway ? 260 : 128},
      {"drain_timeout_ms", 8000},
      {"upstream_drain_ms", 2000},
      {"key_revocation_ms", 5000},
      {"rollout_ms", 8000},
      {"startup_grace_ms", 3000},
      {"retry_ratio", 0.2},
      {"retry_window_s", 10},
      {"retry_allowance", 104}};
}

void fleet::Start(std::size_t vm,
                  const std::string& role,
                  const json& settings) {
  const std::string file =
      (folder_ / ("vm-" + std::to_string(vm) + ".json")).string();
  std::ofstream(file) << settings.dump();
  processes_[vm] = std::make_unique<child>(
      std::vector<std::string>{"/usr/bin/env", "FIREFLYSLIP_BOOT=" + file,
                               "target/src/fireflyslip", role},
      LogFile(vm));
}

void fleet::StartGateway(std::size_t vm) {
  json settings = Settings(vm, "gateway");
  settings["callers"] = Address(vm) + ":" + std::to_string(callers_port_);
  settings["ready"] = Address(vm) + ":" + std::to_string(ready_port_);
  Start(vm, "gateway", settings);
}

void fleet::StartStager(std::size_t vm,
                        const std::string& service,
                        std::uint16_t engine_port) {
  json settings = Settings(vm, "stager");
  settings["engine"] = Address(vm) + ":" + std::to_string(engine_port);
  settings["service"] = service;
  Start(vm, "stager", settings);
}

bool fleet::IsReady(std::size_t vm) const {
  return Send(Address(vm), ready_port_, "GET", "/fireflyslip/readyz",
              {{"Host", "ready"}}, "", milliseconds(500))
             .status == 200;
}

bool fleet::WaitUntilReady(std::size_t vm, milliseconds timeout) const {
  const auto deadline = clock::now() + timeout;
  while (clock::now() < deadline) {
    if (IsReady(vm)) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(50));
  }
  return false;
}

json Configuration(std::uint64_t version, json routes, json services) {
  return {
      {"version", version},
      {"routes", std::move(routes)},
      {"services", std::move(services)},
      {"limits",
       {{"maxHeaderBytes", 16384},
        {"maxBodyBytes", 4194304},
        {"headerTimeoutMs", 3000},
        {"idleTimeoutMs", 15000}}},
      {"tenants", {{{"name", "bar-1"}, {"apiKeys", {kKey}}, {"priority", 1}}}}};
}

bool IsCalm() {
  const char* const value = std::getenv("TROUBLE");
  return value != nullptr && std::string(value) == "0";
}

}  // namespace review
