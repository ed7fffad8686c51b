#ifndef FIREFLYSLIP_TESTS_PROCESS_PROCESS_FLEET_H_
#define FIREFLYSLIP_TESTS_PROCESS_PROCESS_FLEET_H_

#include <cstdint>
#include <filesystem>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "process/blocking_client.h"
#include "process/child_process.h"

namespace fireflyslip::testing {

/// \brief Processes of a `process_fleet`. The data centre of a VM is the part
/// of its name before the first hyphen.
struct fleet_description {
  std::vector<std::string> entries;       ///< VMs of entries.
  std::vector<std::string> model_agents;  ///< VMs with an agent and an engine.
  std::vector<std::string>
      service_agents;  ///< VMs with an agent and a service.
  /// VMs whose link port is behind a relay.
  std::set<std::string> relayed_links = {};
  /// VMs that reach the platform through a separate relay.
  std::set<std::string> relayed_platform = {};
  int token_ms = 1;  ///< Time that an engine needs for a token.
  int work_ms = 0;   ///< Time that a service needs for a call.
  /// Version that the engines have loaded at the start; empty for none.
  std::string loaded_version = "v1";
  nlohmann::json settings = {};  ///< Added to the settings of each process.
};

/// \brief A fleet of processes on the loopback address: the binary and the
/// stand-ins, with one model `cue` at version v1 and one service `bookings`
/// whose `POST /bookings` must not run twice.
///
/// Functions that wait fail the test after 60 s.
class process_fleet {
 public:
  /// \brief Starts all processes and waits until they are connected.
  explicit process_fleet(fleet_description description);
  ~process_fleet();

  // Processes. The name of a VM refers to its entry or agent, not its upstream.
  child_process& process(const std::string& vm) { return *processes_.at(vm); }
  child_process& upstream(const std::string& vm) {
    return *processes_.at(UpstreamName(vm));
  }
  /// \brief Restarts the entry or agent of a VM after it has exited.
  void Restart(const std::string& vm);
  /// \brief Restarts the engine or service of a VM after it has exited, without
  /// waiting until it listens.
  void RestartUpstream(const std::string& vm);

  /// \brief Sends SIGTERM to the entry or agent of a VM, waits until it has
  /// exited and returns its exit code.
  int Terminate(const std::string& vm);

  // Requests of the workspace `bar-1`.
  http_answer Complete(const std::string& entry,
                       const std::string& prompt,
                       int tokens,
                       bool stream = true,
                       int deadline_ms = 60'000) const;
  http_answer Book(const std::string& entry,
                   const std::string& key,
                   int deadline_ms = 60'000) const;
  std::future<http_answer> StartComplete(const std::string& entry,
                                         const std::string& prompt,
                                         int tokens) const;
  std::future<http_answer> StartBook(const std::string& entry,
                                     const std::string& key,
                                     int deadline_ms = 60'000) const;

  // Observation.
  /// \brief Sends a GET request to the admin port of a VM. Returns null if
  /// there is no valid response.
  nlohmann::json GetFromAdmin(const std::string& vm,
                              const std::string& target) const;
  std::uint64_t Revision(const std::string& vm) const;
  /// \brief Number of executions of calls with a key on all services.
  int Executions(const std::string& key) const;
  /// \brief Number of requests that the engine of a VM is running.
  int RunningRequests(const std::string& vm) const;
  std::string EngineVersion(const std::string& vm) const;
  /// \brief Waits until the condition holds. Throws after 60 s.
  void WaitUntil(const std::string& what,
                 const std::function<bool()>& condition) const;

  // Control of the stand-ins.
  void ControlPlatform(const nlohmann::json& change) const;
  void ControlOrigin(const nlohmann::json& change) const;
  nlohmann::json OriginCounters() const;
  /// \brief Sets the mode of the relay in front of the link port of a VM:
  /// `pass`, `silent`, `refuse` or `cut`.
  void SetLinkRelay(const std::string& vm, const std::string& mode) const;
  /// \brief Sets the mode of the relay between a VM and the platform.
  void SetPlatformRelay(const std::string& vm, const std::string& mode) const;
  /// \brief Changes the configuration at the platform by a conditional update.
  /// Returns the new revision.
  std::uint64_t Configure(
      const std::function<void(nlohmann::json& configuration)>& change) const;
  /// \brief Adds a version of `cue` to the origin. Returns the digest of its
  /// manifest.
  std::string AddVersion(const std::string& version) const;

  /// \brief Size of a model version in bytes.
  static constexpr std::uint64_t kModelBytes = 4'000'000;
  static constexpr std::uint64_t kChunkBytes = 100'000;

 private:
  struct vm_ports {
    std::uint16_t listen, link, admin, upstream;
    // The ports of the relays are 0 if there is none.
    std::uint16_t public_link, link_relay_admin;
    std::uint16_t platform, platform_relay_admin;
  };

  static std::string UpstreamName(const std::string& vm) {
    return vm + "-upstream";
  }
  std::vector<std::string> Vms() const;
  bool IsEntry(const std::string& vm) const;
  bool IsModelAgent(const std::string& vm) const;
  void ChoosePorts();
  void WriteFiles() const;
  nlohmann::json Settings(const std::string& vm) const;
  nlohmann::json Configuration() const;
  void StartStandins();
  void StartStandin(const std::string& name, std::vector<std::string> options);
  void StartRelay(const std::string& name,
                  std::uint16_t port,
                  std::uint16_t target,
                  std::uint16_t admin);
  void WaitUntilListening(std::uint16_t port) const;
  void WaitUntilConnected(const std::string& vm) const;
  std::string File(const std::string& name) const {
    return (folder_ / name).string();
  }

  fleet_description description_;
  std::filesystem::path folder_;
  std::uint16_t platform_port_ = 0;
  std::uint16_t origin_port_ = 0;
  std::map<std::string, vm_ports> ports_;
  std::map<std::string, std::unique_ptr<child_process>> processes_;
};

}  // namespace fireflyslip::testing

#endif  // FIREFLYSLIP_TESTS_PROCESS_PROCESS_FLEET_H_
