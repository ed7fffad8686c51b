#include "replica.h"

#include <openssl/sha.h>

#include <cstdlib>
#include <exception>
#include <utility>

namespace review {
namespace {

using nlohmann::json;

constexpr milliseconds kPrefillTime{60};
constexpr milliseconds kEventInterval{20};
constexpr int kEvents = 5;
constexpr milliseconds kLoadTime{300};
/// The platform removes an entry three heartbeats after the last one.
constexpr milliseconds kEntryLifetime{3600};

std::string Hex(const std::string& bytes) {
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
         digest);
  std::string text;
  for (const unsigned char byte : digest) {
    constexpr char kDigits[] = "0123456789abcdef";
    text += kDigits[byte >> 4];
    text += kDigits[byte & 15];
  }
  return text;
}

std::uint64_t Number(const std::string& target, const std::string& name) {
  const std::size_t start = target.find(name + "=");
  return start == std::string::npos
             ? 0
             : std::strtoull(target.c_str() + start + name.size() + 1, nullptr,
                             10);
}

std::uint64_t UnixMilliseconds() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

std::string Chunk(const std::string& bytes) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx", bytes.size());
  return size + ("\r\n" + bytes) + "\r\n";
}

}  // namespace

std::string model::Piece(std::uint64_t version, std::size_t index) const {
  std::string bytes =
      "version " + std::to_string(version) + " piece " + std::to_string(index);
  bytes.resize(piece_bytes, '.');
  return bytes;
}

origin::origin(model weights)
    : weights_(std::move(weights)),
      server_([this](const http_message& request,
                     connection& client) { return Serve(request, client); },
              "127.0.0.1") {}

bool origin::Serve(const http_message& request, connection& client) const {
  const std::uint64_t version = Number(request.target, "version");
  if (request.target.starts_with("/fireflyslip/manifest/")) {
    json digests = json::array();
    for (std::size_t i = 0; i < weights_.pieces; ++i) {
      digests.push_back(Hex(weights_.Piece(version, i)));
    }
    const json manifest = {{"modelName", weights_.name},
                           {"version", version},
                           {"chunkBytes", weights_.piece_bytes},
                           {"layers", weights_.pieces},
                           {"digestList", digests}};
    return client.Write(FormatResponse(200, manifest.dump()));
  }
  return client.Write(FormatResponse(
      200, weights_.Piece(version, Number(request.target, "itemCount"))));
}

replica::replica(std::size_t vm,
                 std::string service,
                 const model& weights,
                 store& platform,
                 hooks callbacks)
    : vm_(vm),
      service_(std::move(service)),
      weights_(weights),
      platform_(platform),
      hooks_(std::move(callbacks)) {
  for (std::size_t i = 0; i < weights_.pieces; ++i) {
    staged_.push_back(weights_.Piece(1, i));
  }
  server_ = std::make_unique<server>(
      [this](const http_message& request, connection& client) {
        return Serve(request, client);
      },
      fleet::Address(vm_));
  port_ = server_->port();
  born_ = UnixMilliseconds();
  Publish();
  supervisor_ = std::thread([this] { Supervise(); });
}

replica::~replica() {
  {
    const std::scoped_lock lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  supervisor_.join();
}

std::string replica::Id() const {
  return "i-" + std::to_string(vm_) + "-" + std::to_string(incarnation_);
}

void replica::Publish() {
  json models = json::array();
  if (version_ > 0) {
    models.push_back({{"name", weights_.name},
                      {"version", version_},
                      {"adapters", json::array()}});
  }
  platform_.Put("servers", Id(),
                {{"service", service_},
                 {"address", fleet::Address(vm_) + ":" + std::to_string(port_)},
                 {"zone", "akl-a"},
                 {"version", "v1"},
                 {"slots", 16},
                 {"state", "ready"},
                 {"sequence", 1},
                 {"coldRemainingMs", 0},
                 {"born", born_},
                 {"phase", "combined"},
                 {"modelList", models}});
}

std::string replica::Report() {
  const std::scoped_lock lock(mutex_);
  json models = json::array();
  if (version_ > 0) {
    models.push_back({{"name", weights_.name},
                      {"version", version_},
                      {"adapters", json::array()}});
  }
  return json{{"phase", "combined"},   {"modelList", models},
              {"born", born_},         {"busy", loading_ > 0},
              {"sequence", sequence_}, {"queued", 0},
              {"active", active_},     {"kvUsage", 0},
              {"kvCapacity", 90000},   {"kvHandles", 0}}
      .dump();
}

std::string replica::Order(const http_message& request) {
  const json order = json::parse(request.body, nullptr, false);
  const std::uint64_t version = order.value("version", std::uint64_t{0});
  const std::scoped_lock lock(mutex_);
  if (version == version_) {
    return FormatResponse(200, "{}");
  }
  if (loading_ > 0 || order.value("operation", "") != "start") {
    return FormatResponse(409, "{}");
  }
  ++sequence_;
  loading_ = version;
  loaded_at_ = clock::now() + kLoadTime;
  changed_.notify_all();
  return FormatResponse(202, "{}");
}

bool replica::Serve(const http_message& request, connection& client) {
  if (request.target.starts_with("/fireflyslip/report")) {
    return client.Write(FormatResponse(200, Report()));
  }
  if (request.target.starts_with("/fireflyslip/order")) {
    return client.Write(Order(request));
  }
  const std::size_t index = Number(request.target, "itemCount");
  if (request.target.starts_with("/fireflyslip/stage-get/")) {
    const std::scoped_lock lock(mutex_);
    return client.Write(index < staged_.size()
                            ? FormatResponse(200, staged_[index])
                            : FormatResponse(404, ""));
  }
  if (request.target.starts_with("/fireflyslip/stage-put/")) {
    const std::scoped_lock lock(mutex_);
    if (index < staged_.size()) {
      staged_[index] = request.body;
    }
    return client.Write(FormatResponse(200, ""));
  }
  return Run(request, client);
}

bool replica::Run(const http_message& request, connection& client) {
  const std::string attempt = request.Field("Attempt-Id");
  {
    const std::scoped_lock lock(mutex_);
    if (crashed_) {
      return false;
    }
    if (request.Field("Expect-Instance") != Id()) {
      return client.Write(FormatResponse(
          421, "", {{"Attempt-Id", attempt}, {"Instance-Id", Id()}}));
    }
    if (version_ == 0 || loading_ > 0) {
      return client.Write(FormatResponse(
          503, "", {{"Attempt-Id", attempt}, {"Not-Executed", "1"}}));
    }
    ++active_;
  }
  std::this_thread::sleep_for(kPrefillTime);
  const bool crashes = hooks_.crashes(request);
  {
    const std::scoped_lock lock(mutex_);
    --active_;
    if (crashed_) {
      return false;
    }
    crashed_ = crashes;
  }
  if (crashes) {
    hooks_.crashed();
    changed_.notify_all();
    return false;
  }
  hooks_.begun(request);
  bool open = client.Write(
      "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nResponse-Seal: seal." +
      attempt +
      "\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
      "Transfer-Encoding: chunked\r\n\r\n");
  for (int i = 1; i <= kEvents && open; ++i) {
    open =
        client.Write(Chunk("id: " + std::to_string(i) + "\ndata: token\n\n"));
    std::this_thread::sleep_for(kEventInterval);
  }
  return open && client.Write("0\r\n\r\n");
}

bool replica::Pause(milliseconds time) {
  std::unique_lock lock(mutex_);
  return !changed_.wait_for(lock, time, [this] { return stopping_; });
}

void replica::Supervise() {
  for (;;) {
    bool loaded = false;
    {
      std::unique_lock lock(mutex_);
      changed_.wait_for(lock, milliseconds(20),
                        [this] { return crashed_ || stopping_; });
      if (stopping_) {
        break;
      }
      if (!expiries_.empty() && clock::now() >= expiries_.front().first) {
        platform_.Remove("servers", expiries_.front().second);
        expiries_.pop_front();
      }
      if (!crashed_) {
        loaded = loading_ > 0 && clock::now() >= loaded_at_;
        if (loaded) {
          version_ = std::exchange(loading_, 0);
        }
      }
    }
    if (loaded) {
      Publish();
    }
    if (!crashed_) {
      continue;
    }
    server_.reset();
    expiries_.emplace_back(clock::now() + kEntryLifetime, Id());
    if (!Pause(hooks_.down_time)) {
      break;
    }
    {
      const std::scoped_lock lock(mutex_);
      crashed_ = false;
      ++incarnation_;
      version_ = 0;
      loading_ = 0;
      sequence_ = 0;
      active_ = 0;
      born_ = UnixMilliseconds();
    }
    while (!server_) {
      try {
        server_ = std::make_unique<server>(
            [this](const http_message& request, connection& client) {
              return Serve(request, client);
            },
            fleet::Address(vm_), port_);
      } catch (const std::exception&) {
        std::this_thread::sleep_for(milliseconds(20));
      }
    }
    Publish();
  }
  server_.reset();
}

}  // namespace review
