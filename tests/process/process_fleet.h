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

/// \brief What a `process_fleet` consists of. The data centre of a VM is the
/// part of its name before the first hyphen.
struct fleet_description {
  std::vector<std::string> entries;         ///< VMs of entries.
  std::vector<std::string> model_agents;    ///< VMs of an agent and an engine.
  std::vector<std::string> service_agents;  ///< VMs of an agent and a service.
  /// VMs whose link port is behind a relay.
  std::set<std::string> relayed_links = {};
  /// VMs that reach the platform through a relay of their own.
  std::set<std::string> relayed_platform = {};
  int token_ms = 1;  ///< Time of a token in an engine.
  int work_ms = 0;   ///< Time of a call in a service.
  /// Version loaded in the engines at the start; "" for none.
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

  // Processes. A VM names the entry or agent on it, not its upstream.
  child_process& process(const std::string& vm) { return *processes_.at(vm); }
  child_process& upstream(const std::string& vm) {
    return *processes_.at(UpstreamName(vm));
  }
  /// \brief Starts the entry or agent of a VM again after its end.
  void Restart(const std::string& vm);
  /// \brief Starts the engine or service of a VM again after its end, without
  /// waiting until it listens.
  void RestartUpstream(const std::string& vm);

  /// \brief Sends SIGTERM to the entry or agent of a VM, waits for its end and
  /// returns its exit code.
  int Terminate(const std::string& vm);

  // Requests of the only workspace.
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
  /// \brief GET on the admin port of a VM; null without an answer.
  nlohmann::json Admin(const std::string& vm, const std::string& target) const;
  std::uint64_t Revision(const std::string& vm) const;
  /// \brief How often all services together executed calls with a key.
  int Executions(const std::string& key) const;
  /// \brief Requests that the engine of a VM runs now.
  int RunningRequests(const std::string& vm) const;
  std::string EngineVersion(const std::string& vm) const;
  /// \brief Waits until the condition holds, at most 60 s.
  void WaitUntil(const std::string& what,
                 const std::function<bool()>& condition) const;

  // Control of the stand-ins.
  void ControlPlatform(const nlohmann::json& change) const;
  void ControlOrigin(const nlohmann::json& change) const;
  nlohmann::json OriginCounters() const;
  /// \brief Mode `pass`, `silent`, `refuse` or `cut` of the relay before the
  /// link port of a VM.
  void SetLinkRelay(const std::string& vm, const std::string& mode) const;
  /// \brief The same for the relay between a VM and the platform.
  void SetPlatformRelay(const std::string& vm, const std::string& mode) const;
  /// \brief Changes the configuration in the platform by a conditional update;
  /// returns the new revision.
  std::uint64_t Configure(
      const std::function<void(nlohmann::json& configuration)>& change) const;
  /// \brief Adds a version of `cue` to the origin; returns the digest of its
  /// manifest.
  std::string AddVersion(const std::string& version) const;

  /// \brief Size of a model version in bytes.
  static constexpr std::uint64_t kModelBytes = 4'000'000;
  static constexpr std::uint64_t kChunkBytes = 100'000;

 private:
  struct vm_ports {
    std::uint16_t listen, link, admin, upstream;
    // Relays; 0 without one.
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
