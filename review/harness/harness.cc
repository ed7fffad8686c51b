#include "harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <openssl/evp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <random>
#include <sstream>

namespace review {
namespace {

using nlohmann::json;
using clock_type = std::chrono::steady_clock;

const clock_type::time_point kStart = clock_type::now();

std::mutex& RecordMutex() {
  static std::mutex mutex;
  return mutex;
}

std::ofstream& RecordFile() {
  static std::ofstream file;
  return file;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

std::string Trim(const std::string& text) {
  const std::size_t first = text.find_first_not_of(" \t");
  if (first == std::string::npos) {
    return "";
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

sockaddr_in AddressOf(const std::string& address, int port) {
  sockaddr_in result = {};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, address.c_str(), &result.sin_addr);
  return result;
}

/// Reads the lines of a head after the first one.
std::map<std::string, std::string> ParseFields(std::istringstream& lines) {
  std::map<std::string, std::string> fields;
  std::string line;
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      fields[Lower(line.substr(0, colon))] = Trim(line.substr(colon + 1));
    }
  }
  return fields;
}

std::string ReasonOf(int status) {
  return status == 200 ? "OK" : status == 202 ? "Accepted" : "Status";
}

std::string FormatHead(int status, const header_list& fields) {
  std::string head =
      "HTTP/1.1 " + std::to_string(status) + " " + ReasonOf(status) + "\r\n";
  for (const auto& [name, value] : fields) {
    head.append(name).append(": ").append(value).append("\r\n");
  }
  return head + "\r\n";
}

bool SendAll(int socket, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent =
        ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

/// Reads what has arrived; false at the end, after an error or a timeout.
bool ReceiveSome(int socket, std::string& buffer, int timeout_ms) {
  pollfd wait = {socket, POLLIN, 0};
  if (::poll(&wait, 1, timeout_ms) <= 0) {
    return false;
  }
  std::array<char, 65536> bytes{};
  const ssize_t size = ::recv(socket, bytes.data(), bytes.size(), 0);
  if (size <= 0) {
    return false;
  }
  buffer.append(bytes.data(), static_cast<std::size_t>(size));
  return true;
}

json ObjectOf(const std::string& name,
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

json CommonSettings(const std::string& address, const port_plan& ports) {
  return {{"vm", "vm-" + address},
          {"address", address},
          {"data_centre", kZone},
          {"region", kRegion},
          {"regions", {{kZone, kRegion}}},
          {"internal_ports", {ports.internal, ports.internal + 15}},
          {"platform",
           std::string(kStoreAddress) + ":" + std::to_string(ports.store)},
          {"drain_timeout_ms", 8000},
          {"upstream_drain_ms", 2000},
          {"key_revocation_ms", 5000},
          {"rollout_ms", 8000},
          {"startup_grace_ms", 3000},
          {"retry_ratio", 0.2},
          {"retry_window_s", 10},
          {"retry_allowance", 104}};
}

/// Folder for the files of the processes; removed at the end of the case.
const std::string& ScratchFolder() {
  static const std::string folder = [] {
    const char* given = std::getenv("REVIEW_SCRATCH");
    return std::string(given == nullptr ? "." : given);
  }();
  return folder;
}

}  // namespace

double Now() {
  return std::chrono::duration<double>(clock_type::now() - kStart).count();
}

void Sleep(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

bool WaitFor(double seconds, const std::function<bool()>& condition) {
  const double end = Now() + seconds;
  while (!condition()) {
    if (Now() > end) {
      return false;
    }
    Sleep(0.01);
  }
  return true;
}

bool OpenRecord(const std::string& folder) {
  RecordFile().open(folder + "/record.txt");
  return RecordFile().good();
}

void Record(const std::string& line) {
  std::array<char, 32> time{};
  std::snprintf(time.data(), time.size(), "%9.3f  ", Now());
  const std::lock_guard lock(RecordMutex());
  RecordFile() << time.data() << line << std::endl;
}

bool WithTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

std::string request::Field(const std::string& name) const {
  const auto found = fields.find(Lower(name));
  return found == fields.end() ? "" : found->second;
}

std::string request::Query(const std::string& name) const {
  const std::size_t start = target.find('?');
  if (start == std::string::npos) {
    return "";
  }
  std::istringstream pairs(target.substr(start + 1));
  std::string pair;
  while (std::getline(pairs, pair, '&')) {
    const std::size_t equals = pair.find('=');
    if (equals != std::string::npos && pair.substr(0, equals) == name) {
      return pair.substr(equals + 1);
    }
  }
  return "";
}

bool connection::Read(request& received) {
  std::size_t end = 0;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (stopped_ || !ReceiveSome(socket_, buffer_, 60'000)) {
      return false;
    }
  }
  std::istringstream lines(buffer_.substr(0, end + 2));
  buffer_.erase(0, end + 4);
  std::string line;
  std::getline(lines, line);
  std::istringstream words(line);
  received = {};
  words >> received.method >> received.target;
  received.fields = ParseFields(lines);
  const std::string length = received.Field("content-length");
  const std::size_t size = length.empty() ? 0 : std::stoul(length);
  while (buffer_.size() < size) {
    if (stopped_ || !ReceiveSome(socket_, buffer_, 60'000)) {
      return false;
    }
  }
  received.body = buffer_.substr(0, size);
  buffer_.erase(0, size);
  return true;
}

bool connection::Write(std::string_view bytes) {
  return !stopped_ && SendAll(socket_, bytes);
}

bool connection::Respond(int status,
                         const std::string& body,
                         const header_list& fields) {
  header_list all = fields;
  all.emplace_back("Content-Length", std::to_string(body.size()));
  return Write(FormatHead(status, all) + body);
}

server::server(const std::string& address, int port, handler handle)
    : handle_(std::move(handle)) {
  listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in local = AddressOf(address, port);
  if (::bind(listener_, reinterpret_cast<const sockaddr*>(&local),
             sizeof(local)) != 0 ||
      ::listen(listener_, 512) != 0) {
    ::close(listener_);
    listener_ = -1;
    return;
  }
  acceptor_ = std::thread([this] { Accept(); });
}

server::~server() {
  stopped_ = true;
  if (listener_ >= 0) {
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    ::close(listener_);
  }
  {
    const std::lock_guard lock(mutex_);
    for (const int socket : sockets_) {
      ::shutdown(socket, SHUT_RDWR);
    }
  }
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

void server::Accept() {
  while (!stopped_) {
    const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      if (stopped_) {
        return;
      }
      Sleep(0.01);
      continue;
    }
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const std::lock_guard lock(mutex_);
    sockets_.insert(socket);
    threads_.emplace_back([this, socket] {
      connection caller(socket, stopped_);
      request received;
      while (!stopped_ && caller.Read(received) && handle_(caller, received)) {
      }
      const std::lock_guard erase_lock(mutex_);
      sockets_.erase(socket);
      ::close(socket);
    });
  }
}

bool client::Connect(double timeout) {
  Close();
  buffer_.clear();
  socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in remote = AddressOf(address_, port_);
  static_cast<void>(::connect(
      socket_, reinterpret_cast<const sockaddr*>(&remote), sizeof(remote)));
  pollfd wait = {socket_, POLLOUT, 0};
  int problem = 0;
  socklen_t size = sizeof(problem);
  if (::poll(&wait, 1, static_cast<int>(timeout * 1000)) <= 0 ||
      ::getsockopt(socket_, SOL_SOCKET, SO_ERROR, &problem, &size) != 0 ||
      problem != 0) {
    Close();
    return false;
  }
  ::fcntl(socket_, F_SETFL, ::fcntl(socket_, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  ::setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return true;
}

void client::Close() {
  if (socket_ >= 0) {
    ::close(socket_);
    socket_ = -1;
  }
}

answer client::Send(const std::string& method,
                    const std::string& target,
                    const header_list& fields,
                    const std::string& body,
                    double timeout) {
  answer received;
  const double end_at = Now() + timeout;
  if (socket_ < 0 && !Connect(1)) {
    return received;
  }
  std::string bytes = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : fields) {
    bytes.append(name).append(": ").append(value).append("\r\n");
  }
  bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  const auto receive = [&] {
    const int left = static_cast<int>((end_at - Now()) * 1000);
    return left > 0 && ReceiveSome(socket_, buffer_, left);
  };
  if (!SendAll(socket_, bytes)) {
    Close();
    return received;
  }
  std::size_t end = 0;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!receive()) {
      Close();
      return received;
    }
  }
  std::istringstream lines(buffer_.substr(0, end + 2));
  buffer_.erase(0, end + 4);
  std::string word;
  lines >> word >> received.status;
  std::getline(lines, word);
  received.fields = ParseFields(lines);
  if (received.fields["transfer-encoding"] != "chunked") {
    const std::string length = received.fields["content-length"];
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (buffer_.size() < size && receive()) {
    }
    received.complete = buffer_.size() >= size;
    received.body = buffer_.substr(0, size);
    buffer_.erase(0, std::min(size, buffer_.size()));
  } else {
    for (;;) {
      std::size_t line_end = 0;
      while ((line_end = buffer_.find("\r\n")) == std::string::npos) {
        if (!receive()) {
          Close();
          return received;
        }
      }
      const std::size_t size =
          std::stoul(buffer_.substr(0, line_end), nullptr, 16);
      while (buffer_.size() < line_end + 2 + size + 2) {
        if (!receive()) {
          Close();
          return received;
        }
      }
      received.body += buffer_.substr(line_end + 2, size);
      buffer_.erase(0, line_end + 2 + size + 2);
      if (size == 0) {
        received.complete = true;
        break;
      }
    }
  }
  if (!received.complete || received.fields["connection"] == "close") {
    Close();
  }
  return received;
}

process::process(std::string role, std::string name, json settings)
    : role_(std::move(role)),
      name_(std::move(name)),
      settings_(std::move(settings)) {}

process::~process() {
  Kill();
}

bool process::Start() {
  const std::string file = ScratchFolder() + "/" + name_ + ".json";
  const std::string log = ScratchFolder() + "/" + name_ + ".log";
  std::ofstream(file) << settings_.dump(2);
  const std::string variable = "FIREFLYSLIP_BOOT=" + file;
  pid_ = ::fork();
  if (pid_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // ends with the case in any event
    const int output =
        ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    std::string program = "target/src/fireflyslip";
    std::string role = role_;
    std::string environment = variable;
    std::array<char*, 3> arguments = {program.data(), role.data(), nullptr};
    std::array<char*, 2> variables = {environment.data(), nullptr};
    ::execve(program.c_str(), arguments.data(), variables.data());
    ::_exit(127);
  }
  Record("start " + role_ + " " + name_ + " pid " + std::to_string(pid_));
  return pid_ > 0;
}

void process::Signal(int number) {
  if (pid_ > 0) {
    ::kill(pid_, number);
  }
}

void process::Kill() {
  if (pid_ > 0) {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
}

bool process::IsRunning() {
  if (pid_ <= 0) {
    return false;
  }
  int status = 0;
  if (::waitpid(pid_, &status, WNOHANG) == pid_) {
    Record(name_ + " ended, wait status " + std::to_string(status));
    pid_ = -1;
    return false;
  }
  return true;
}

double process::StatusMb(const std::string& name) const {
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with(name)) {
      return std::stod(line.substr(name.size())) / 1024;
    }
  }
  return 0;
}

port_plan ChoosePorts(const std::vector<std::string>& addresses) {
  std::random_device device;
  for (;;) {
    const int base = 20000 + static_cast<int>(device() % 10000);
    bool is_free = true;
    for (const std::string& address : addresses) {
      for (int port = base; is_free && port < base + 32; ++port) {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in local = AddressOf(address, port);
        is_free = ::bind(socket, reinterpret_cast<const sockaddr*>(&local),
                         sizeof(local)) == 0;
        ::close(socket);
      }
    }
    if (is_free) {
      return {base, base + 1, base + 2, base + 3, base + 4, base + 8};
    }
  }
}

json GatewaySettings(const std::string& address, const port_plan& ports) {
  json settings = CommonSettings(address, ports);
  settings["callers"] = address + ":" + std::to_string(ports.callers);
  settings["ready"] = address + ":" + std::to_string(ports.ready);
  settings["link_mbps"] = 1000.0;
  return settings;
}

json StagerSettings(const std::string& address,
                    const std::string& service,
                    const port_plan& ports) {
  json settings = CommonSettings(address, ports);
  settings["engine"] = address + ":" + std::to_string(ports.app);
  settings["service"] = service;
  settings["link_mbps"] = 9.4;
  return settings;
}

store::store(const port_plan& ports)
    : server_(kStoreAddress,
              ports.store,
              [this](connection& caller, const request& received) {
                return Serve(caller, received);
              }) {}

void store::Put(const std::string& kind,
                const std::string& name,
                const json& spec) {
  const std::lock_guard lock(mutex_);
  object& target = objects_[kind][name];
  if (target.revision > 0 && target.spec == spec) {
    return;
  }
  target = {spec, ++revision_};
  events_.push_back(
      {kind,
       revision_,
       {{"deleted", false}, {"eventObject", ObjectOf(name, revision_, spec)}}});
  changed_.notify_all();
}

void store::Remove(const std::string& kind, const std::string& name) {
  const std::lock_guard lock(mutex_);
  const auto found = objects_[kind].find(name);
  if (found == objects_[kind].end()) {
    return;
  }
  ++revision_;
  events_.push_back(
      {kind,
       revision_,
       {{"deleted", true},
        {"eventObject", ObjectOf(name, revision_, found->second.spec)}}});
  objects_[kind].erase(found);
  changed_.notify_all();
}

json store::Watch(const std::string& kind,
                  std::uint64_t since,
                  int wait_ms,
                  const connection& caller) {
  std::unique_lock lock(mutex_);
  const auto deadline =
      clock_type::now() + std::chrono::milliseconds(std::min(wait_ms, 30'000));
  for (;;) {
    json events = json::array();
    for (const event& item : events_) {
      if (item.kind == kind && item.revision > since) {
        events.push_back(item.content);
      }
    }
    if (!events.empty() || clock_type::now() >= deadline || caller.stopped()) {
      return {{"events", std::move(events)}, {"at", revision_}};
    }
    changed_.wait_until(
        lock,
        std::min(deadline, clock_type::now() + std::chrono::milliseconds(200)));
  }
}

bool store::Serve(connection& caller, const request& received) {
  const std::string prefix = "/fireflyslip/objects/";
  const std::string path = received.path();
  if (received.method != "GET" || !path.starts_with(prefix)) {
    return caller.Respond(404, "{}");
  }
  const std::string kind = path.substr(prefix.size());
  Sleep(0.004);
  json body;
  if (const std::string since = received.Query("watchRevision");
      !since.empty()) {
    const std::string wait = received.Query("waitMs");
    body = Watch(kind, std::stoull(since), wait.empty() ? 0 : std::stoi(wait),
                 caller);
  } else {
    const std::lock_guard lock(mutex_);
    json entries = json::array();
    for (const auto& [name, item] : objects_[kind]) {
      entries.push_back(ObjectOf(name, item.revision, item.spec));
    }
    body = {
        {"entries", std::move(entries)}, {"hasMore", false}, {"at", revision_}};
  }
  return caller.Respond(200, body.dump(),
                        {{"Content-Type", "application/json"}});
}

std::string PieceOf(const std::string& model,
                    std::uint64_t version,
                    int index) {
  std::uint64_t seed = version * 1000 + static_cast<std::uint64_t>(index);
  for (const char letter : model) {
    seed = seed * 131 + static_cast<unsigned char>(letter);
  }
  std::mt19937_64 random(seed);
  std::string bytes;
  bytes.reserve(kPieceBytes);
  while (bytes.size() < kPieceBytes) {
    const std::uint64_t word = random();
    bytes.append(reinterpret_cast<const char*>(&word), sizeof(word));
  }
  return bytes;
}

std::string Sha256Hex(const std::string& bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, EVP_sha256(),
             nullptr);
  std::string hex;
  for (unsigned int i = 0; i < size; ++i) {
    std::array<char, 3> digits{};
    std::snprintf(digits.data(), digits.size(), "%02x", digest[i]);
    hex += digits.data();
  }
  return hex;
}

origin::origin(const port_plan& ports)
    : server_(kOriginAddress,
              ports.origin,
              [this](connection& caller, const request& received) {
                return Serve(caller, received);
              }) {}

void origin::Publish(const std::string& model, std::uint64_t version) {
  const std::lock_guard lock(mutex_);
  newest_[model] = version;
}

bool origin::Serve(connection& caller, const request& received) {
  const std::string path = received.path();
  const std::string model = path.substr(path.rfind('/') + 1);
  const std::uint64_t version = std::stoull("0" + received.Query("version"));
  std::uint64_t newest = 0;
  {
    const std::lock_guard lock(mutex_);
    newest = newest_[model];
  }
  if (version == 0 || version > newest) {
    Record("origin has no version " + std::to_string(version) + " of " + model);
    return caller.Respond(404, "");
  }
  if (version + 2 <= newest) {
    return caller.Respond(410, "");
  }
  if (path == "/fireflyslip/manifest/" + model) {
    return ServeManifest(caller, model, version);
  }
  if (path == "/fireflyslip/piece/" + model) {
    ++pieces_sent_;
    const int index = std::stoi("0" + received.Query("itemCount"));
    return caller.Respond(200, PieceOf(model, version, index));
  }
  return caller.Respond(404, "");
}

bool origin::ServeManifest(connection& caller,
                           const std::string& model,
                           std::uint64_t version) {
  json digests = json::array();
  for (int i = 0; i < kPieces; ++i) {
    digests.push_back(Sha256Hex(PieceOf(model, version, i)));
  }
  const bool spoilt = spoil_manifests_ > 0;
  if (spoilt) {
    --spoil_manifests_;
    std::string text = digests[7];
    text[20] = text[20] == '1' ? '3' : '1';
    digests[7] = text;
  }
  Record("origin sends the manifest of version " + std::to_string(version) +
         " of " + model + (spoilt ? ", one digit of piece 7 changed" : ""));
  const json body = {{"modelName", model},
                     {"version", version},
                     {"chunkBytes", kPieceBytes},
                     {"layers", 16},
                     {"digestList", digests}};
  return caller.Respond(200, body.dump(),
                        {{"Content-Type", "application/json"}});
}

json Configuration(std::uint64_t version,
                   const std::vector<route_entry>& routes,
                   const std::vector<pool_entry>& pools,
                   const std::vector<std::string>& plain_services,
                   const port_plan& ports) {
  json list = json::array();
  for (const route_entry& entry : routes) {
    json item = {{"name", "r" + entry.prefix},
                 {"host", kHost},
                 {"pathPrefix", entry.prefix},
                 {"routeType", entry.type},
                 {"timeoutMs", entry.timeout_ms},
                 {"targetLatencyMs", 1000},
                 {"priority", 0},
                 {"service", entry.service},
                 {"maxAttempts", entry.max_attempts},
                 {"public", false}};
    if (entry.type == "streaming") {
      item["sessionAffinity"] = true;
      item["streamResume"] = true;
      item["targetGapMs"] = 400;
    }
    list.push_back(std::move(item));
  }
  json services = json::array();
  for (const pool_entry& pool : pools) {
    services.push_back({{"name", pool.service},
                        {"healthPath", "/healthz"},
                        {"maxConnections", 364},
                        {"protocol", "h1"},
                        {"tls", false},
                        {"engineType",
                         {{"slots", 16},
                          {"kvCapacityTokens", 317000},
                          {"kvBytes", 262144},
                          {"stride", 5},
                          {"modelList",
                           {{{"name", pool.model},
                             {"pace", 1.0},
                             {"loadTimeS", 4.0},
                             {"warmupS", 0.3}}}},
                          {"sizeMb", 149000.0},
                          {"step_ms", 9.27},
                          {"read_per_s", 20700.0},
                          {"chunk", 2048},
                          {"report_lag_ms", 200.0},
                          {"usual", {{"prompt", 979}, {"answer", 92}}},
                          {"layers", 16},
                          {"layer_mb", 4090.0},
                          {"chunkCount", kPieces},
                          {"chunkBytes", kPieceBytes}}}});
  }
  services.push_back({{"name", "venue-admin"},
                      {"origin", std::string(kOriginAddress) + ":" +
                                     std::to_string(ports.origin)},
                      {"zone", kZone},
                      {"linkMbps", 15.0},
                      {"maxConnections", 48}});
  for (const std::string& name : plain_services) {
    services.push_back({{"name", name},
                        {"healthPath", "/healthz"},
                        {"maxConnections", 110},
                        {"protocol", "h1"},
                        {"tls", false}});
  }
  return {{"version", version},
          {"routes", std::move(list)},
          {"services", std::move(services)},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 4194304},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}},
          {"tenants",
           {{{"name", kTenantName}, {"apiKeys", {kKey}}, {"priority", 1}}}}};
}

json ReplicaEntry(const std::string& service,
                  const std::string& address,
                  int slots) {
  return {{"service", service}, {"address", address},  {"zone", kZone},
          {"version", "v1"},    {"slots", slots},      {"state", "ready"},
          {"sequence", 1},      {"coldRemainingMs", 0}};
}

header_list ClientFields(const std::string& attempt_id, int deadline_ms) {
  return {{"Host", kHost},
          {"Attempt-Id", attempt_id},
          {"Deadline-Ms", std::to_string(deadline_ms)},
          {"Authorization", std::string("Bearer ") + kKey}};
}

std::string NewAttemptId() {
  static std::atomic<int> count{0};
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016x", ++count);
  return text.data();
}

bool AwaitReady(const std::string& address, int port, double timeout) {
  return WaitFor(timeout, [&] {
    client probe(address, port);
    return probe.Send("GET", "/fireflyslip/readyz", {{"Host", "ready"}}, "", 1)
               .status == 200;
  });
}

}  // namespace review
