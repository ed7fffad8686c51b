#include "model_fleet.h"

#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cctype>
#include <utility>

namespace fireflyslip::review {
namespace {

using boost::asio::awaitable;
using boost::asio::ip::tcp;
using nlohmann::json;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Figures of the sheet of the small deployment.
constexpr std::size_t kSlots = 16;
constexpr std::size_t kQueue = 24;
constexpr microseconds kPass{50'000};  // five steps, for one event each
constexpr double kPromptTokensPerMs = 20.7;
constexpr std::size_t kPromptTokensPerPass = 10'240;
constexpr milliseconds kWarmup{300};
constexpr milliseconds kHeartbeat{1200};
constexpr milliseconds kEntryLifetime = 3 * kHeartbeat;
constexpr double kSideLinkMbps = 9.4;
constexpr std::array<const char*, 3> kZones = {"akl-a", "wlg-a", "chc-a"};
constexpr std::array<const char*, 3> kRegions = {"akl", "wlg", "chc"};

auto Redirect(boost::system::error_code& code) {
  return boost::asio::redirect_error(boost::asio::use_awaitable, code);
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

std::string Sha256(const std::string& bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> value{};
  unsigned int size = 0;
  EVP_Digest(bytes.data(), bytes.size(), value.data(), &size, EVP_sha256(),
             nullptr);
  constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  for (unsigned int i = 0; i < size; ++i) {
    hex += kDigits[value[i] / 16];
    hex += kDigits[value[i] % 16];
  }
  return hex;
}

std::string Piece(std::size_t index) {
  return std::string(kPieceBytes, static_cast<char>('a' + index));
}

std::size_t QueryNumber(const std::string& target, const std::string& name) {
  const std::size_t start = target.find(name + "=");
  return start == std::string::npos
             ? kPieces
             : std::stoul(target.substr(start + name.size() + 1));
}

std::string Chunk(const std::string& bytes) {
  std::array<char, 20> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  return size.data() + bytes + "\r\n";
}

std::string Refusal(int status, const message& request) {
  return testing::FormatResponse(
      status, "",
      {{"Not-Executed", "1"}, {"Attempt-Id", request.Field("attempt-id")}});
}

std::uint64_t UnixMs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

std::string SideAddress(int index) {
  return "127.0.8." + std::to_string(index + 1);
}

std::string EdgeAddress(int index) {
  return "127.0.7." + std::to_string(index + 1);
}

}  // namespace

std::string message::Field(const std::string& name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? "" : found->second;
}

std::string message::target() const {
  const std::size_t start = first_line.find(' ') + 1;
  return first_line.substr(start, first_line.find(' ', start) - start);
}

int message::status() const {
  constexpr std::size_t kOffset = 9;  // after HTTP/1.1
  return first_line.size() > kOffset ? std::stoi(first_line.substr(kOffset))
                                     : 0;
}

awaitable<bool> async_connection::Fill() {
  constexpr std::size_t kReadBytes = 16UL << 10;
  std::string part(kReadBytes, '\0');
  boost::system::error_code code;
  const std::size_t size = co_await socket_.async_read_some(
      boost::asio::buffer(part), Redirect(code));
  buffer_.append(part, 0, size);
  co_return !code && size > 0;
}

awaitable<bool> async_connection::ReadHead(message& received) {
  std::size_t end = std::string::npos;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    const bool filled = co_await Fill();
    if (!filled) {
      co_return false;
    }
  }
  received = {};
  std::size_t line = 0;
  while (line < end) {
    const std::size_t next = std::min(buffer_.find("\r\n", line), end);
    const std::string text = buffer_.substr(line, next - line);
    const std::size_t colon = text.find(": ");
    if (line == 0) {
      received.first_line = text;
    } else if (colon != std::string::npos) {
      received.fields[Lower(text.substr(0, colon))] = text.substr(colon + 2);
    }
    line = next + 2;
  }
  buffer_.erase(0, end + 4);
  co_return true;
}

awaitable<bool> async_connection::ReadBody(message& received) {
  const std::size_t length = std::stoul("0" + received.Field("content-length"));
  while (buffer_.size() < length) {
    const bool filled = co_await Fill();
    if (!filled) {
      co_return false;
    }
  }
  received.body = buffer_.substr(0, length);
  buffer_.erase(0, length);
  co_return true;
}

awaitable<bool> async_connection::ReadChunk(std::string& chunk) {
  constexpr int kHexadecimal = 16;
  for (;;) {
    const std::size_t line = buffer_.find("\r\n");
    if (line != std::string::npos) {
      const std::size_t size =
          std::stoul(buffer_.substr(0, line), nullptr, kHexadecimal);
      if (buffer_.size() >= line + 2 + size + 2) {
        chunk = buffer_.substr(line + 2, size);
        buffer_.erase(0, line + 2 + size + 2);
        co_return true;
      }
    }
    const bool filled = co_await Fill();
    if (!filled) {
      co_return false;
    }
  }
}

awaitable<bool> async_connection::Write(std::string bytes) {
  boost::system::error_code code;
  co_await boost::asio::async_write(socket_, boost::asio::buffer(bytes),
                                    Redirect(code));
  co_return !code;
}

void async_connection::Reset() {
  boost::system::error_code ignored;
  socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  socket_.close(ignored);
}

model_replica::model_replica(boost::asio::io_context& context,
                             object_store& store,
                             replica_observer& observer,
                             std::string address,
                             std::uint16_t port,
                             std::string zone,
                             int number)
    : context_(context),
      store_(store),
      observer_(observer),
      address_(std::move(address)),
      port_(port),
      zone_(std::move(zone)),
      number_(number) {
  for (std::size_t i = 0; i < kPieces; ++i) {
    staged_[i] = Piece(i);
  }
}

void model_replica::Start() {
  Open();
  boost::asio::co_spawn(context_, SendHeartbeats(), boost::asio::detached);
}

std::string model_replica::id() const {
  return "i-" + std::to_string(number_) + "-" + std::to_string(incarnation_);
}

void model_replica::Open() {
  alive_ = true;
  loading_ = false;
  orders_ = 0;
  beats_ = 0;
  born_ms_ = UnixMs();
  acceptor_ = std::make_unique<tcp::acceptor>(context_);
  acceptor_->open(tcp::v4());
  acceptor_->set_option(tcp::acceptor::reuse_address(true));
  acceptor_->bind({boost::asio::ip::make_address(address_), port_});
  acceptor_->listen();
  Register();
  boost::asio::co_spawn(context_, Accept(incarnation_), boost::asio::detached);
  boost::asio::co_spawn(context_, MakeTokens(incarnation_),
                        boost::asio::detached);
}

json model_replica::Report() const {
  json models = json::array();
  if (version_ > 0) {
    models.push_back(
        {{"name", kModel}, {"version", version_}, {"adapters", json::array()}});
  }
  return {{"phase", "combined"}, {"modelList", models}, {"born", born_ms_}};
}

void model_replica::Register() {
  json entry = Report();
  entry["service"] = kModelService;
  entry["address"] = address_ + ":" + std::to_string(port_);
  entry["zone"] = zone_;
  entry["version"] = "v1";
  entry["slots"] = kSlots;
  entry["state"] = "ready";
  entry["coldRemainingMs"] = 0;
  entry["sequence"] = ++beats_;
  store_.Put("servers", id(), entry);
}

awaitable<void> model_replica::SendHeartbeats() {
  for (;;) {
    co_await Sleep(kHeartbeat);
    if (alive_) {
      Register();
    }
  }
}

awaitable<void> model_replica::Sleep(microseconds time) {
  boost::asio::steady_timer timer(context_, time);
  boost::system::error_code ignored;
  co_await timer.async_wait(Redirect(ignored));
}

awaitable<void> model_replica::Accept(int incarnation) {
  tcp::acceptor& acceptor = *acceptor_;
  while (alive_ && incarnation_ == incarnation) {
    boost::system::error_code code;
    tcp::socket socket = co_await acceptor.async_accept(Redirect(code));
    if (code) {
      co_return;
    }
    socket.set_option(tcp::no_delay(true), code);
    auto client = std::make_shared<async_connection>(std::move(socket));
    std::erase_if(connections_,
                  [](const auto& item) { return item.expired(); });
    connections_.push_back(client);
    boost::asio::co_spawn(context_, Serve(client), boost::asio::detached);
  }
}

awaitable<void> model_replica::Serve(std::shared_ptr<async_connection> client) {
  for (;;) {
    const bool open = co_await ServeRequest(client);
    if (!open) {
      co_return;
    }
  }
}

awaitable<bool> model_replica::ServeRequest(
    std::shared_ptr<async_connection> client) {
  message request;
  const bool has_head = co_await client->ReadHead(request);
  if (!has_head) {
    co_return false;
  }
  const bool has_body = co_await client->ReadBody(request);
  if (!has_body) {
    co_return false;
  }
  const std::string target = request.target();
  if (target == "/fireflyslip/report") {
    json report = Report();
    report["busy"] = loading_;
    report["sequence"] = orders_;
    report["queued"] = queue_.size();
    report["active"] = running_.size();
    report["kvUsage"] = 0;
    report["kvCapacity"] = 317000;
    report["kvHandles"] = 0;
    report["pace"] = 1.0;
    std::string answer = testing::FormatResponse(
        200, report.dump(), {{"Content-Type", "application/json"}});
    co_return co_await client->Write(std::move(answer));
  }
  if (target.starts_with("/fireflyslip/stage-")) {
    co_return co_await ServeStage(*client, request);
  }
  if (target == "/fireflyslip/order") {
    co_return co_await ServeOrder(*client, request);
  }
  co_return co_await ServeModel(client, request);
}

awaitable<bool> model_replica::ServeStage(async_connection& client,
                                          const message& request) {
  const std::size_t index = QueryNumber(request.target(), "itemCount");
  std::string answer = testing::FormatResponse(404, "");
  if (index < kPieces && request.first_line.starts_with("PUT ")) {
    staged_[index] = request.body;
    answer = testing::FormatResponse(200, "");
  } else if (staged_.contains(index)) {
    answer = testing::FormatResponse(200, staged_[index]);
  }
  co_return co_await client.Write(std::move(answer));
}

awaitable<bool> model_replica::ServeOrder(async_connection& client,
                                          const message& request) {
  const json order = json::parse(request.body, nullptr, false);
  int status = 400;
  if (order.is_object() && order.value("operation", "") == "start") {
    const std::uint64_t wanted = order.value("version", std::uint64_t{0});
    status = loading_ ? 409 : version_ == wanted ? 200 : 202;
  }
  if (status == 202) {
    ++orders_;
    loading_ = true;
    boost::asio::co_spawn(context_, Load(incarnation_), boost::asio::detached);
  }
  std::string answer = testing::FormatResponse(status, "");
  co_return co_await client.Write(std::move(answer));
}

awaitable<void> model_replica::Load(int incarnation) {
  co_await Sleep(kWarmup);
  if (incarnation_ == incarnation && alive_) {
    loading_ = false;
    version_ = 1;
    Register();
  }
}

awaitable<bool> model_replica::ServeModel(
    std::shared_ptr<async_connection> client,
    message request) {
  const int incarnation = incarnation_;
  if (request.Field("expect-instance") != id()) {
    std::string answer =
        testing::FormatResponse(421, "",
                                {{"Not-Executed", "1"},
                                 {"Instance-Id", id()},
                                 {"Attempt-Id", request.Field("attempt-id")}});
    co_return co_await client->Write(std::move(answer));
  }
  observer_.OnArrival(request);
  int refusal = 0;
  if (version_ == 0 || loading_ || queue_.size() >= kQueue) {
    refusal = 503;
  }
  if (refusal != 0) {
    std::string answer = Refusal(refusal, request);
    co_return co_await client->Write(std::move(answer));
  }
  auto work = std::make_shared<job>();
  work->connection = client;
  const std::string tokens = request.Field("token-count");
  work->prompt_tokens = std::stoul("0" + tokens);
  const std::size_t comma = tokens.find(',');
  constexpr int kTokensPerEvent = 5;
  work->events =
      std::max(1, std::stoi("0" + tokens.substr(comma + 1)) / kTokensPerEvent);
  work->deadline = steady_clock::now() +
                   milliseconds(std::stoul("0" + request.Field("deadline-ms")));
  work->request = std::move(request);
  work->end = std::make_shared<boost::asio::steady_timer>(
      context_, steady_clock::time_point::max());
  queue_.push_back(work);
  // A caller that leaves ends its request; it sends nothing before the end.
  client->socket().async_wait(
      tcp::socket::wait_read,
      [work](const boost::system::error_code& /*code*/) {
        work->gone = !work->done;
        if (work->gone) {
          work->end->cancel();
        }
      });
  boost::system::error_code ignored;
  co_await work->end->async_wait(Redirect(ignored));
  co_return work->done && !work->gone && incarnation == incarnation_;
}

awaitable<void> model_replica::MakeTokens(int incarnation) {
  while (alive_ && incarnation_ == incarnation) {
    const auto now = steady_clock::now();
    const auto is_over = [now](const std::shared_ptr<job>& work) {
      return work->gone || work->deadline <= now;
    };
    for (const auto& work : running_) {
      if (is_over(work)) {
        work->gone = true;
        work->end->cancel();
      }
    }
    std::erase_if(running_, is_over);
    std::vector<std::shared_ptr<job>> admitted;
    std::size_t prompt_tokens = 0;
    // More urgent requests are admitted first.
    std::stable_sort(queue_.begin(), queue_.end(),
                     [](const auto& a, const auto& b) {
                       return a->request.Field("request-priority") <
                              b->request.Field("request-priority");
                     });
    while (!queue_.empty() && running_.size() + admitted.size() < kSlots &&
           prompt_tokens < kPromptTokensPerPass) {
      const std::shared_ptr<job> work = queue_.front();
      queue_.pop_front();
      if (!is_over(work)) {
        prompt_tokens += work->prompt_tokens;
        admitted.push_back(work);
      }
    }
    const double prompt_ms =
        static_cast<double>(prompt_tokens) / kPromptTokensPerMs;
    const microseconds prompt_time(static_cast<int>(prompt_ms * 1000));
    const microseconds pass = running_.empty() && admitted.empty()
                                  ? microseconds(5000)
                                  : kPass + prompt_time;
    co_await Sleep(pass);
    if (!alive_ || incarnation_ != incarnation) {
      co_return;
    }
    for (const auto& work : admitted) {
      if (work->gone) {
        continue;
      }
      observer_.OnBegin(work->request);
      if (observer_.Crashes(work->request)) {
        running_.insert(running_.end(), admitted.begin(), admitted.end());
        Crash();
        co_return;
      }
      running_.push_back(work);
    }
    const std::vector<std::shared_ptr<job>> writing = running_;
    for (const auto& work : writing) {
      if (work->gone) {
        continue;
      }
      std::string bytes;
      if (work->next_event == 1) {
        bytes = "HTTP/1.1 200 OK\r\nAttempt-Id: " +
                work->request.Field("attempt-id") +
                "\r\nResponse-Seal: seal\r\nContent-Type: text/event-stream"
                "\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
      }
      bytes += Chunk("id: " + std::to_string(work->next_event) +
                     "\ndata: " + std::string(70, 'x') + "\n\n");
      work->done = work->next_event == work->events;
      if (work->done) {
        bytes += "0\r\n\r\n";
      }
      ++work->next_event;
      const bool written = co_await work->connection->Write(std::move(bytes));
      if (!alive_ || incarnation_ != incarnation) {
        co_return;
      }
      work->gone = work->gone || !written;
      if (work->done || work->gone) {
        work->end->cancel();
      }
    }
    std::erase_if(running_,
                  [](const auto& work) { return work->done || work->gone; });
  }
}

void model_replica::Crash() {
  observer_.OnCrash();
  alive_ = false;
  acceptor_->close();
  for (const auto& item : connections_) {
    if (const auto connection = item.lock()) {
      connection->Reset();
    }
  }
  connections_.clear();
  for (const auto& work : queue_) {
    work->gone = true;
    work->end->cancel();
  }
  for (const auto& work : running_) {
    work->gone = true;
    work->end->cancel();
  }
  queue_.clear();
  running_.clear();
  version_ = 0;
  boost::asio::co_spawn(context_, Restart(id()), boost::asio::detached);
}

awaitable<void> model_replica::Restart(std::string old_id) {
  co_await Sleep(milliseconds(kDownMs));
  ++incarnation_;
  Open();
  co_await Sleep(kEntryLifetime - milliseconds(kDownMs));
  store_.Remove("servers", old_id);
}

model_fleet::model_fleet(boost::asio::io_context& context,
                         replica_observer& observer)
    : origin_([this](testing::standin_connection& connection) {
        return ServeOrigin(connection);
      }) {
  std::vector<std::string> addresses;
  addresses.reserve(kGateways + kReplicas);
  for (int i = 0; i < kGateways; ++i) {
    addresses.push_back(EdgeAddress(i));
  }
  for (int i = 0; i < kReplicas; ++i) {
    addresses.push_back(SideAddress(i));
  }
  internal_port_ = FreePorts(addresses);
  const std::uint16_t ports = FreePorts(addresses);
  callers_.reserve(kGateways);
  ready_.reserve(kGateways);
  replicas_.reserve(kReplicas);
  for (int i = 0; i < kGateways; ++i) {
    callers_.push_back(ports);
    ready_.push_back(ports + 1);
  }
  for (int i = 0; i < kReplicas; ++i) {
    replicas_.push_back(std::make_unique<model_replica>(
        context, store_, observer, SideAddress(i), ports + 2,
        kZones[static_cast<std::size_t>(i) % kZones.size()], i));
  }
}

model_fleet::~model_fleet() {
  for (const pid_t pid : pids_) {
    KillProcess(pid);
  }
}

tcp::endpoint model_fleet::Gateway(int index) const {
  const auto position = static_cast<std::size_t>(index);
  return {boost::asio::ip::make_address(EdgeAddress(index)),
          callers_[position]};
}

json model_fleet::Settings(const std::string& name,
                           const std::string& address,
                           const std::string& zone) const {
  constexpr int kLastPort = 15;
  json regions;
  for (std::size_t i = 0; i < kZones.size(); ++i) {
    regions[kZones[i]] = kRegions[i];
  }
  return {{"vm", name},
          {"address", address},
          {"data_centre", zone},
          {"region", regions[zone]},
          {"regions", regions},
          {"internal_ports", {internal_port_, internal_port_ + kLastPort}},
          {"platform", "127.0.0.1:" + std::to_string(store_.port())},
          {"drain_timeout_ms", 8000},
          {"upstream_drain_ms", 2000},
          {"key_revocation_ms", 5000},
          {"rollout_ms", 8000},
          {"startup_grace_ms", 3000},
          {"retry_ratio", 0.2},
          {"retry_window_s", 10},
          {"retry_allowance", 104}};
}

void model_fleet::Start() {
  json routes = json::array();
  struct kind {
    const char* name;
    int target_ms;
    int priority;
  };
  for (const kind& item :
       {kind{"cue-sheet", 1000, 2}, kind{"room-chat", 400, 0},
        kind{"next-song", 400, 1}}) {
    routes.push_back({{"name", std::string("r-") + item.name},
                      {"host", kHost},
                      {"pathPrefix", std::string("/") + item.name + "/"},
                      {"routeType", "streaming"},
                      {"timeoutMs", 6000},
                      {"targetLatencyMs", item.target_ms},
                      {"priority", item.priority},
                      {"service", kModelService},
                      {"maxAttempts", 2},
                      {"public", false},
                      {"sessionAffinity", true},
                      {"streamResume", true},
                      {"targetGapMs", 400}});
  }
  json configuration = Configuration({});
  configuration["routes"] = routes;
  configuration["tenants"][0].erase("priority");
  configuration["services"] = {
      {{"name", kModelService},
       {"healthPath", "/healthz"},
       {"maxConnections", 364},
       {"protocol", "h1"},
       {"tls", false},
       {"coldStartS", 0.0},
       {"coldPerS", 0.0},
       {"engineType",
        {{"slots", kSlots},
         {"modelList", {{{"name", kModel}, {"pace", 1.0}, {"warmupS", 0.3}}}},
         {"step_ms", 9.27},
         {"read_per_s", 20700.0},
         {"usual", {{"prompt", 900}, {"answer", 92}}},
         {"layers", 16},
         {"chunkCount", kPieces},
         {"chunkBytes", kPieceBytes}}}},
      {{"name", "weights"},
       {"origin", "127.0.0.1:" + std::to_string(origin_.port())},
       {"zone", kZones[0]},
       {"linkMbps", 15.0},
       {"maxConnections", 48}}};
  store_.Put("config", "main", configuration);
  store_.Put("versions", kModel, {{"modelName", kModel}, {"version", 1}});
  for (const auto& item : replicas_) {
    item->Start();
  }
  for (int i = 0; i < kReplicas; ++i) {
    const auto position = static_cast<std::size_t>(i);
    const std::string name = "side-" + std::to_string(i + 1);
    json settings = Settings(name, SideAddress(i), replicas_[position]->zone());
    settings["engine"] = SideAddress(i) + ":" + std::to_string(callers_[0] + 2);
    settings["service"] = kModelService;
    settings["link_mbps"] = kSideLinkMbps;
    settings["memory_mb"] = 128;
    pids_.push_back(StartProcess("stager", settings, folder_.path(), name));
  }
  for (int i = 0; i < kGateways; ++i) {
    const auto position = static_cast<std::size_t>(i);
    const std::string name = "edge-" + std::to_string(i + 1);
    json settings =
        Settings(name, EdgeAddress(i), kZones[position % kZones.size()]);
    settings["callers"] =
        EdgeAddress(i) + ":" + std::to_string(callers_[position]);
    settings["ready"] = EdgeAddress(i) + ":" + std::to_string(ready_[position]);
    settings["link_mbps"] = 1000.0;
    settings["memory_mb"] = 260;
    pids_.push_back(StartProcess("gateway", settings, folder_.path(), name));
  }
}

bool model_fleet::AwaitReady() const {
  for (int i = 0; i < kGateways; ++i) {
    const auto position = static_cast<std::size_t>(i);
    if (!review::AwaitReady(EdgeAddress(i), ready_[position])) {
      return false;
    }
  }
  return true;
}

bool model_fleet::ServeOrigin(testing::standin_connection& connection) {
  if (!connection.ReadBody()) {
    return false;
  }
  const std::string target(connection.received().target());
  if (target.starts_with("/fireflyslip/manifest/")) {
    json digests = json::array();
    for (std::size_t i = 0; i < kPieces; ++i) {
      digests.push_back(Sha256(Piece(i)));
    }
    const json manifest = {{"modelName", kModel},
                           {"version", 1},
                           {"chunkBytes", kPieceBytes},
                           {"layers", 16},
                           {"digestList", digests}};
    return connection.Write(testing::FormatResponse(
        200, manifest.dump(), {{"Content-Type", "application/json"}}));
  }
  const std::size_t index = QueryNumber(target, "itemCount");
  return connection.Write(index < kPieces
                              ? testing::FormatResponse(200, Piece(index))
                              : testing::FormatResponse(404, ""));
}

}  // namespace fireflyslip::review
