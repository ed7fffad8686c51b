#include "process/process_fleet.h"

#include <gtest/gtest.h>
#include <stdlib.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <stdexcept>
#include <thread>
#include <utility>

#include "fireflyslip/core/digest.h"
#include "standins/synthetic_model.h"

namespace fireflyslip::testing {
namespace {

using nlohmann::json;

constexpr std::chrono::seconds kWaitTimeout{60};
constexpr std::chrono::milliseconds kPollInterval{20};
constexpr char kCallerKey[] = "caller-key";

json Endpoint(std::uint16_t port) {
  return {{"address", "127.0.0.1"}, {"port", port}};
}

std::string Address(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

std::string DataCentreOf(const std::string& vm) {
  return vm.substr(0, vm.find('-'));
}

void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream(path, std::ios::binary) << text;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

json Get(std::uint16_t port, const std::string& target) {
  const http_answer answer = SendRequest(port, "GET", target);
  const json body = json::parse(answer.body, nullptr, false);
  return answer.is_complete && !body.is_discarded() ? body : json();
}

json Post(std::uint16_t port, const std::string& target, const json& body) {
  const http_answer answer = SendRequest(port, "POST", target, body.dump());
  if (answer.status != 200) {
    throw std::runtime_error("POST " + target + " failed: " + answer.body);
  }
  return json::parse(answer.body, nullptr, false);
}

std::string ModelSpec(const std::string& version) {
  return "cue=" + version + ":" + std::to_string(process_fleet::kModelBytes) +
         ":" + std::to_string(process_fleet::kChunkBytes);
}

std::string ManifestDigest(const std::string& version) {
  const standins::synthetic_model model(
      standins::ParseModelDescription(ModelSpec(version), 0));
  return digest::Of(model.manifest()).ToHex();
}

}  // namespace

process_fleet::process_fleet(fleet_description description)
    : description_(std::move(description)) {
  std::string name =
      (std::filesystem::temp_directory_path() / "fireflyslip-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("cannot create " + name);
  }
  folder_ = name;
  ChoosePorts();
  WriteFiles();
  StartStandins();
  for (const std::string& vm : Vms()) {
    Restart(vm);
  }
  for (const std::string& entry : description_.entries) {
    WaitUntilConnected(entry);
  }
}

process_fleet::~process_fleet() {
  processes_.clear();
  if (!::testing::Test::HasFailure() && std::uncaught_exceptions() == 0) {
    std::filesystem::remove_all(folder_);
    return;
  }
  constexpr std::size_t kShownBytes = 3000;
  for (const auto& file : std::filesystem::directory_iterator(folder_)) {
    const std::string text = ReadFile(file.path().string());
    const std::size_t skipped =
        text.size() > kShownBytes ? text.size() - kShownBytes : 0;
    if (file.path().extension() == ".log") {
      std::cerr << "== end of " << file.path().string() << "\n"
                << text.substr(skipped);
    }
  }
}

std::vector<std::string> process_fleet::Vms() const {
  std::vector<std::string> vms = description_.entries;
  vms.insert(vms.end(), description_.model_agents.begin(),
             description_.model_agents.end());
  vms.insert(vms.end(), description_.service_agents.begin(),
             description_.service_agents.end());
  return vms;
}

bool process_fleet::IsEntry(const std::string& vm) const {
  return std::ranges::find(description_.entries, vm) !=
         description_.entries.end();
}

bool process_fleet::IsModelAgent(const std::string& vm) const {
  return std::ranges::find(description_.model_agents, vm) !=
         description_.model_agents.end();
}

void process_fleet::ChoosePorts() {
  std::set<std::uint16_t> chosen;
  const auto choose = [&chosen] {
    std::uint16_t port = FreePort();
    while (!chosen.insert(port).second) {
      port = FreePort();
    }
    return port;
  };
  platform_port_ = choose();
  origin_port_ = choose();
  for (const std::string& vm : Vms()) {
    vm_ports ports{choose(), choose(), choose(), choose(), 0, 0, 0, 0};
    const bool link = description_.relayed_links.contains(vm);
    ports.public_link = link ? choose() : ports.link;
    ports.link_relay_admin = link ? choose() : 0;
    const bool platform = description_.relayed_platform.contains(vm);
    ports.platform = platform ? choose() : platform_port_;
    ports.platform_relay_admin = platform ? choose() : 0;
    ports_[vm] = ports;
  }
}

json process_fleet::Settings(const std::string& vm) const {
  const vm_ports& ports = ports_.at(vm);
  json settings = {
      {"vm", vm},
      {"data_centre", DataCentreOf(vm)},
      {"region", "north"},
      {"link", Endpoint(ports.link)},
      {"admin", Endpoint(ports.admin)},
      {"platform", Endpoint(ports.platform)},
      {"shared_key", "test"},
      {"tls", {{"mode", "off"}}},
  };
  if (IsEntry(vm)) {
    settings["listen"] = Endpoint(ports.listen);
  } else {
    settings["upstream"] = Endpoint(ports.upstream);
    settings["origin"] = Endpoint(origin_port_);
  }
  if (description_.settings.is_object()) {
    settings.update(description_.settings);
  }
  return settings;
}

json process_fleet::Configuration() const {
  const auto terms = [](int target_ms, double floor_share) {
    return json{{"target_ms", target_ms},
                {"deadline_ms", 60000},
                {"floor_share", floor_share}};
  };
  json entries = json::object();
  json upstreams = json::object();
  for (const std::string& vm : Vms()) {
    const std::string data_centre = DataCentreOf(vm);
    if (IsEntry(vm)) {
      entries[data_centre] = entries.value(data_centre, 0) + 1;
    } else if (IsModelAgent(vm)) {
      upstreams[vm] = {{"data_centre", data_centre},
                       {"model", "cue"},
                       {"checks_fencing", true}};
    } else {
      upstreams[vm] = {{"data_centre", data_centre}, {"service", "bookings"}};
    }
  }
  return {
      {"change_id", "initial"},
      {"entries", entries},
      {"workspaces",
       {{"bar-1",
         {{"key_digest", digest::Of(kCallerKey).ToHex()},
          {"weight", 1},
          {"requests_per_second", 100000},
          {"tokens_per_second", 10000000},
          {"burst_seconds", 2},
          {"ranks",
           {{"urgent", terms(1000, 0.2)},
            {"standard", terms(2000, 0.1)},
            {"background", terms(10000, 0.05)}}}}}}},
      {"models",
       {{"cue",
         {{"version", "v1"},
          {"manifest_digest", ManifestDigest("v1")},
          {"serving_share", 0.5}}}}},
      {"services", {{"bookings", {{"non_idempotent", {"POST /bookings"}}}}}},
      {"upstreams", upstreams},
  };
}

void process_fleet::WriteFiles() const {
  json list = json::array();
  for (const std::string& vm : Vms()) {
    const vm_ports& ports = ports_.at(vm);
    list.push_back({{"vm", vm},
                    {"data_centre", DataCentreOf(vm)},
                    {"region", "north"},
                    {"role", IsEntry(vm) ? "entry" : "agent"},
                    {"link", Address(ports.public_link)},
                    {"admin", Address(ports.admin)},
                    {"state", "live"}});
    WriteFile(File(vm + ".json"), Settings(vm).dump(2));
  }
  WriteFile(File("vms.json"), list.dump(2));
  WriteFile(File("configuration.json"), Configuration().dump(2));
}

void process_fleet::StartStandins() {
  StartStandin("platform", {"--port", std::to_string(platform_port_), "--vms",
                            File("vms.json"), "--configuration",
                            File("configuration.json")});
  StartStandin("origin", {"--port", std::to_string(origin_port_), "--model",
                          ModelSpec("v1")});
  WaitUntilListening(platform_port_);
  WaitUntilListening(origin_port_);
  for (const auto& [vm, ports] : ports_) {
    if (!IsEntry(vm)) {
      RestartUpstream(vm);
      WaitUntilListening(ports.upstream);
    }
    if (ports.link_relay_admin != 0) {
      StartRelay(vm + "-link-relay", ports.public_link, ports.link,
                 ports.link_relay_admin);
    }
    if (ports.platform_relay_admin != 0) {
      StartRelay(vm + "-platform-relay", ports.platform, platform_port_,
                 ports.platform_relay_admin);
    }
  }
}

void process_fleet::StartStandin(const std::string& name,
                                 std::vector<std::string> options) {
  std::vector<std::string> command = {FIREFLYSLIP_STANDIN,
                                      name.substr(name.rfind('-') + 1)};
  std::ranges::move(options, std::back_inserter(command));
  processes_[name] =
      std::make_unique<child_process>(command, File(name + ".log"));
}

void process_fleet::StartRelay(const std::string& name,
                               std::uint16_t port,
                               std::uint16_t target,
                               std::uint16_t admin) {
  StartStandin(name,
               {"--port", std::to_string(port), "--target-port",
                std::to_string(target), "--admin-port", std::to_string(admin)});
  WaitUntilListening(admin);
}

void process_fleet::Restart(const std::string& vm) {
  processes_[vm] = std::make_unique<child_process>(
      std::vector<std::string>{FIREFLYSLIP_BINARY,
                               IsEntry(vm) ? "entry" : "agent", "--settings",
                               File(vm + ".json")},
      File(vm + ".log"));
  WaitUntilListening(ports_.at(vm).admin);
}

int process_fleet::Terminate(const std::string& vm) {
  process(vm).Signal(SIGTERM);
  WaitUntil(vm + " has exited", [&] { return !process(vm).IsRunning(); });
  return process(vm).Wait();
}

void process_fleet::RestartUpstream(const std::string& vm) {
  const std::uint16_t port = ports_.at(vm).upstream;
  std::vector<std::string> command = {FIREFLYSLIP_STANDIN};
  if (IsModelAgent(vm)) {
    std::ranges::move(
        std::vector<std::string>{"engine", "--check-fencing", "--token-ms",
                                 std::to_string(description_.token_ms)},
        std::back_inserter(command));
    if (!description_.loaded_version.empty()) {
      command.insert(command.end(), {"--model", "cue", "--version",
                                     description_.loaded_version});
    }
  } else {
    command.insert(command.end(), {"service", "--work-ms",
                                   std::to_string(description_.work_ms)});
  }
  command.insert(command.end(), {"--port", std::to_string(port)});
  const std::string name = UpstreamName(vm);
  processes_[name] =
      std::make_unique<child_process>(command, File(name + ".log"));
}

void process_fleet::WaitUntilListening(std::uint16_t port) const {
  WaitUntil("a process listens on port " + std::to_string(port),
            [port] { return SendRequest(port, "GET", "/health").status != 0; });
}

void process_fleet::WaitUntilConnected(const std::string& vm) const {
  for (const std::string& agent : Vms()) {
    if (IsEntry(agent)) {
      continue;
    }
    WaitUntil("a link to " + agent, [&] {
      return GetFromAdmin(vm, "/events?since=0")
                     .dump()
                     .find("\"" + agent + "\"") != std::string::npos &&
             SendRequest(ports_.at(vm).admin, "GET", "/ready").status == 200;
    });
  }
}

void process_fleet::WaitUntil(const std::string& what,
                              const std::function<bool()>& condition) const {
  const auto deadline = std::chrono::steady_clock::now() + kWaitTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      throw std::runtime_error("not within 60 s: " + what);
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

http_answer process_fleet::Complete(const std::string& entry,
                                    const std::string& prompt,
                                    int tokens,
                                    bool stream,
                                    int deadline_ms) const {
  const json message = {{"role", "user"}, {"content", prompt}};
  const json body = {{"model", "cue"},
                     {"messages", json::array({message})},
                     {"max_tokens", tokens},
                     {"stream", stream}};
  return SendRequest(ports_.at(entry).listen, "POST", "/v1/chat/completions",
                     body.dump(),
                     {{"Authorization", std::string("Bearer ") + kCallerKey},
                      {"X-Deadline-Ms", std::to_string(deadline_ms)}});
}

http_answer process_fleet::Book(const std::string& entry,
                                const std::string& key,
                                int deadline_ms) const {
  return SendRequest(ports_.at(entry).listen, "POST",
                     "/services/bookings/bookings", "{}",
                     {{"Authorization", std::string("Bearer ") + kCallerKey},
                      {"Idempotency-Key", key},
                      {"X-Deadline-Ms", std::to_string(deadline_ms)}});
}

std::future<http_answer> process_fleet::StartComplete(const std::string& entry,
                                                      const std::string& prompt,
                                                      int tokens) const {
  return std::async(std::launch::async, [this, entry, prompt, tokens] {
    return Complete(entry, prompt, tokens);
  });
}

std::future<http_answer> process_fleet::StartBook(const std::string& entry,
                                                  const std::string& key,
                                                  int deadline_ms) const {
  return std::async(std::launch::async, [this, entry, key, deadline_ms] {
    return Book(entry, key, deadline_ms);
  });
}

json process_fleet::GetFromAdmin(const std::string& vm,
                                 const std::string& target) const {
  return Get(ports_.at(vm).admin, target);
}

std::uint64_t process_fleet::Revision(const std::string& vm) const {
  const json status = GetFromAdmin(vm, "/status");
  return status.is_object() ? status.value("revision", std::uint64_t{0}) : 0;
}

int process_fleet::Executions(const std::string& key) const {
  int total = 0;
  for (const std::string& vm : description_.service_agents) {
    const json counts = Get(ports_.at(vm).upstream, "/control/executions");
    total += counts.at("keys").value(key, 0);
  }
  return total;
}

int process_fleet::RunningRequests(const std::string& vm) const {
  const json state = Get(ports_.at(vm).upstream, "/state");
  return state.is_object() ? state.value("running", 0) : 0;
}

std::string process_fleet::EngineVersion(const std::string& vm) const {
  const json state = Get(ports_.at(vm).upstream, "/state");
  return state.is_object() ? state.value("version", "") : "";
}

void process_fleet::ControlPlatform(const json& change) const {
  Post(platform_port_, "/control", change);
}

void process_fleet::ControlOrigin(const json& change) const {
  Post(origin_port_, "/control", change);
}

json process_fleet::OriginCounters() const {
  return Get(origin_port_, "/control/counters");
}

void process_fleet::SetLinkRelay(const std::string& vm,
                                 const std::string& mode) const {
  Post(ports_.at(vm).link_relay_admin, "/control", {{"mode", mode}});
}

void process_fleet::SetPlatformRelay(const std::string& vm,
                                     const std::string& mode) const {
  Post(ports_.at(vm).platform_relay_admin, "/control", {{"mode", mode}});
}

std::uint64_t process_fleet::Configure(
    const std::function<void(json& configuration)>& change) const {
  constexpr char kTarget[] = "/v1/objects/configuration";
  const json list = Get(platform_port_, "/v1/objects?prefix=configuration");
  const auto version = list.at(0).at("version").get<std::uint64_t>();
  json configuration = Get(platform_port_, kTarget);
  change(configuration);
  configuration["change_id"] = "change-" + std::to_string(version);
  const http_answer answer =
      SendRequest(platform_port_, "PUT", kTarget, configuration.dump(),
                  {{"If-Match", '"' + std::to_string(version) + '"'}});
  if (answer.status != 200) {
    throw std::runtime_error("configuration refused: " + answer.body);
  }
  return version + 1;
}

std::string process_fleet::AddVersion(const std::string& version) const {
  const json added = Post(origin_port_, "/control/models",
                          {{"name", "cue"},
                           {"version", version},
                           {"size", kModelBytes},
                           {"chunk_size", kChunkBytes}});
  return added.at("manifest_digest").get<std::string>();
}

}  // namespace fireflyslip::testing
