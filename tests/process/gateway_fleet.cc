#include "process/gateway_fleet.h"

#include <gtest/gtest.h>
#include <stdlib.h>

#include <chrono>
#include <exception>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <thread>
#include <utility>

namespace fireflyslip::testing {
namespace {

using boost::asio::ip::tcp;
using nlohmann::json;

constexpr char kHost[] = "orders.example";
constexpr char kKey[] = "caller-key";
constexpr std::uint16_t kInternalPorts = 16;
constexpr std::chrono::seconds kReadyTimeout{60};

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

json Configuration(const std::vector<gateway_route>& routes) {
  json list = json::array();
  json services = json::array();
  for (const gateway_route& route : routes) {
    const std::string service = route.prefix.substr(1, route.prefix.size() - 2);
    list.push_back({{"name", "r-" + service},
                    {"host", kHost},
                    {"pathPrefix", route.prefix},
                    {"routeType", route.type},
                    {"timeoutMs", 10000},
                    {"targetLatencyMs", 1000},
                    {"priority", 0},
                    {"service", service},
                    {"maxAttempts", route.max_attempts},
                    {"public", false}});
    services.push_back({{"name", service},
                        {"healthPath", "/healthz"},
                        {"maxConnections", 334},
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

std::string GatewayAddress(std::size_t index) {
  return "127.0.7." + std::to_string(index + 1);
}

bool IsFree(const std::string& address, std::uint16_t port) {
  boost::asio::io_context context;
  tcp::acceptor acceptor(context, tcp::v4());
  boost::system::error_code error;
  acceptor.bind({boost::asio::ip::make_address(address), port}, error);
  return !error;
}

// First port of a range that is free on the addresses of all gateways.
std::uint16_t FreeRange(std::size_t gateways) {
  for (;;) {
    const std::uint16_t first = FreePort();
    bool is_free = first < UINT16_MAX - kInternalPorts;
    for (std::size_t i = 0; is_free && i < gateways * kInternalPorts; ++i) {
      is_free = IsFree(GatewayAddress(i / kInternalPorts),
                       first + i % kInternalPorts);
    }
    if (is_free) {
      return first;
    }
  }
}

}  // namespace

store_standin::store_standin()
    : server_([this](standin_connection& connection) {
        return Serve(connection);
      }) {}

void store_standin::Put(const std::string& kind,
                        const std::string& name,
                        const json& spec) {
  const std::scoped_lock lock(mutex_);
  const json object = FormatObject(name, ++revision_, spec);
  objects_[kind][name] = object;
  events_.push_back(
      {kind, revision_, {{"deleted", false}, {"eventObject", object}}});
  changed_.notify_all();
}

void store_standin::Remove(const std::string& kind, const std::string& name) {
  const std::scoped_lock lock(mutex_);
  json object = objects_[kind].at(name);
  object["metadata"]["revision"] = ++revision_;
  objects_[kind].erase(name);
  events_.push_back(
      {kind, revision_, {{"deleted", true}, {"eventObject", object}}});
  changed_.notify_all();
}

bool store_standin::Serve(standin_connection& connection) {
  if (!connection.ReadBody()) {
    return false;
  }
  constexpr std::string_view kPrefix = "/fireflyslip/objects/";
  const std::string target(connection.received().target());
  const std::string path = target.substr(0, target.find('?'));
  if (connection.received().method_string() != "GET" ||
      !path.starts_with(kPrefix)) {
    return connection.Write(FormatResponse(404, "{}"));
  }
  const std::string kind = path.substr(kPrefix.size());
  const std::string since = FindQuery(target, "watchRevision");
  const json body = since.empty()
                        ? List(kind)
                        : Watch(kind, std::stoull(since),
                                std::stoi("0" + FindQuery(target, "waitMs")));
  return connection.Write(
      FormatResponse(200, body.dump(), {{"Content-Type", "application/json"}}));
}

json store_standin::List(const std::string& kind) {
  const std::scoped_lock lock(mutex_);
  json entries = json::array();
  for (const auto& [name, object] : objects_[kind]) {
    entries.push_back(object);
  }
  return {{"entries", entries}, {"hasMore", false}, {"at", revision_}};
}

json store_standin::Watch(const std::string& kind,
                          std::uint64_t since,
                          int wait_ms) {
  constexpr std::chrono::milliseconds kStopInterval{100};
  const auto deadline =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(wait_ms);
  std::unique_lock lock(mutex_);
  for (;;) {
    json events = json::array();
    for (const event& item : events_) {
      if (item.kind == kind && item.revision > since) {
        events.push_back(item.content);
      }
    }
    if (!events.empty() || server_.is_stopping() ||
        std::chrono::steady_clock::now() >= deadline) {
      return {{"events", events}, {"at", revision_}};
    }
    changed_.wait_for(lock, kStopInterval);
  }
}

gateway_fleet::gateway_fleet(std::size_t gateways,
                             const std::vector<gateway_route>& routes)
    : internal_port_(FreeRange(gateways)) {
  std::string name =
      (std::filesystem::temp_directory_path() / "fireflyslip-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("cannot create " + name);
  }
  folder_ = name;
  store_.Put("config", "main", Configuration(routes));
  processes_.resize(gateways);
  for (std::size_t i = 0; i < gateways; ++i) {
    ports_.push_back({FreePort(), FreePort()});
    std::ofstream(File(i, ".json")) << Settings(i).dump();
    Start(i);
  }
  for (std::size_t i = 0; i < gateways; ++i) {
    WaitUntilReady(i);
  }
}

gateway_fleet::~gateway_fleet() {
  processes_.clear();
  if (!::testing::Test::HasFailure() && std::uncaught_exceptions() == 0) {
    std::filesystem::remove_all(folder_);
  } else {
    std::cerr << "logs of the gateways: " << folder_.string() << "\n";
  }
}

std::string gateway_fleet::File(std::size_t index,
                                const std::string& suffix) const {
  return (folder_ / ("gateway-" + std::to_string(index) + suffix)).string();
}

json gateway_fleet::Settings(std::size_t index) const {
  const std::string local = "127.0.0.1:";
  return {
      {"vm", "edge-" + std::to_string(index)},
      {"address", GatewayAddress(index)},
      {"data_centre", "akl-a"},
      {"region", "akl"},
      {"regions", {{"akl-a", "akl"}}},
      {"internal_ports", {internal_port_, internal_port_ + kInternalPorts - 1}},
      {"platform", local + std::to_string(store_.port())},
      {"callers", local + std::to_string(ports_[index].callers)},
      {"ready", local + std::to_string(ports_[index].ready)},
      {"link_mbps", 1000.0},
      {"drain_timeout_ms", 8000},
      {"upstream_drain_ms", 2000},
      {"key_revocation_ms", 5000},
      {"rollout_ms", 8000},
      {"startup_grace_ms", 3000},
      // The retry budget is not what these fleets test.
      {"retry_ratio", 1.0},
      {"retry_window_s", 10},
      {"retry_allowance", 100}};
}

void gateway_fleet::Start(std::size_t index) {
  processes_[index] = std::make_unique<child_process>(
      std::vector<std::string>{"/usr/bin/env",
                               "FIREFLYSLIP_BOOT=" + File(index, ".json"),
                               FIREFLYSLIP_BINARY, "gateway"},
      File(index, ".log"));
}

void gateway_fleet::WaitUntilReady(std::size_t index) const {
  const auto deadline = std::chrono::steady_clock::now() + kReadyTimeout;
  while (
      SendRequest(ports_[index].ready, "GET", "/fireflyslip/readyz").status !=
      200) {
    if (std::chrono::steady_clock::now() > deadline) {
      throw std::runtime_error("a gateway is not ready after 60 s");
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
}

void gateway_fleet::AddUpstream(const std::string& id,
                                const std::string& service,
                                std::uint16_t port) {
  store_.Put("servers", id,
             {{"service", service},
              {"address", "127.0.0.1:" + std::to_string(port)},
              {"zone", "akl-a"},
              {"version", "v1"},
              {"slots", 16},
              {"state", "ready"},
              {"sequence", 1},
              {"coldRemainingMs", 0}});
}

http_answer gateway_fleet::Send(std::size_t index,
                                const std::string& attempt,
                                const std::string& target,
                                const std::string& body) {
  return SendRequest(ports_[index].callers, "POST", target, body,
                     {{"Host", kHost},
                      {"Attempt-Id", attempt},
                      {"Deadline-Ms", "10000"},
                      {"Authorization", std::string("Bearer ") + kKey}});
}

}  // namespace fireflyslip::testing
