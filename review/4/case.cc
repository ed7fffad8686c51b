// Two models with versions of their own. After a loss of power everywhere, the
// replicas of the model with the lower version are never brought back.

#include <csignal>
#include <memory>
#include <vector>

#include "../harness/harness.h"
#include "../harness/load_generator.h"
#include "../harness/model_replica.h"

namespace review {
namespace {

constexpr double kRecoverTime = 12;  // seconds, `recoverS` of the sheet
constexpr double kJudgedTime = 15;   // seconds after it
constexpr char kChatPool[] = "singer";
constexpr char kChatModel[] = "daka510000";
constexpr char kDraftPool[] = "drafter";
constexpr char kDraftModel[] = "vezo220000";
constexpr int kReplicas = 4;  // two of each model

int Run(const std::string& folder) {
  if (!OpenRecord(folder)) {
    return kCannotRun;
  }
  const std::vector<std::string> gateways = {"127.0.1.1", "127.0.1.2"};
  std::vector<std::string> addresses = {kStoreAddress, kOriginAddress};
  addresses.insert(addresses.end(), gateways.begin(), gateways.end());
  for (int i = 0; i < kReplicas; ++i) {
    addresses.push_back("127.0.2." + std::to_string(i + 1));
  }
  const port_plan ports = ChoosePorts(addresses);
  store platform(ports);
  origin weights(ports);
  if (!platform.listening() || !weights.listening()) {
    return kCannotRun;
  }
  const auto publish = [&](const std::string& model, std::uint64_t version) {
    weights.Publish(model, version);
    platform.Put("versions", model,
                 {{"modelName", model}, {"version", version}});
    Record("version " + std::to_string(version) + " of " + model + " is named");
  };
  platform.Put(
      "config", "main",
      Configuration(7,
                    {{"/chat/", "streaming", kChatPool, 6000, 2},
                     {"/draft/", "streaming", kDraftPool, 6000, 2}},
                    {{kChatPool, kChatModel}, {kDraftPool, kDraftModel}}, {},
                    ports));
  publish(kChatModel, 1);
  publish(kDraftModel, 1);

  std::vector<std::unique_ptr<model_replica>> replicas;
  std::vector<std::unique_ptr<process>> processes;
  for (int i = 0; i < kReplicas; ++i) {
    const std::string address = "127.0.2." + std::to_string(i + 1);
    model_replica::options chosen;
    chosen.service = i < 2 ? kChatPool : kDraftPool;
    chosen.model = i < 2 ? kChatModel : kDraftModel;
    replicas.push_back(
        std::make_unique<model_replica>(address, ports, platform, chosen));
    if (!replicas.back()->PowerOn(true)) {
      return kCannotRun;
    }
    processes.push_back(std::make_unique<process>(
        "stager", "stager-" + std::to_string(i),
        StagerSettings(address, chosen.service, ports)));
  }
  for (std::size_t i = 0; i < gateways.size(); ++i) {
    processes.push_back(
        std::make_unique<process>("gateway", "gateway-" + std::to_string(i),
                                  GatewaySettings(gateways[i], ports)));
  }
  for (const auto& program : processes) {
    if (!program->Start()) {
      return kCannotRun;
    }
  }
  for (const std::string& gateway : gateways) {
    if (!AwaitReady(gateway, ports.ready, 20)) {
      Record("a gateway did not become ready");
      return kCannotRun;
    }
  }
  Sleep(6);
  publish(kDraftModel, 2);
  if (!WaitFor(20, [&] {
        return replicas[2]->version() == 2 && replicas[3]->version() == 2;
      })) {
    Record("version 2 was not loaded");
    return kCannotRun;
  }
  // Seven requests for chats for each one for drafts.
  load_generator load(
      gateways, ports,
      {{"/chat/a", kChatModel, 7}, {"/draft/a", kDraftModel, 1}});
  Sleep(6);
  const double fault_at = Now();
  int count = 0;
  const double before = load.ServedShare(fault_at - 5, fault_at - 0.5, count);
  Record("served before the fault: " + std::to_string(before) + " of " +
         std::to_string(count));
  if (before < 0.25) {
    return kCannotRun;
  }
  if (WithTrouble()) {
    Record("all machines lose power");
    for (const auto& program : processes) {
      program->Signal(SIGKILL);
    }
    for (const auto& program : processes) {
      program->Kill();
    }
    for (const auto& replica : replicas) {
      replica->PowerOff();
    }
    Sleep(0.65);
    for (const auto& replica : replicas) {
      if (!replica->PowerOn(false)) {
        return kCannotRun;
      }
    }
    for (const auto& program : processes) {
      if (!program->Start()) {
        return kCannotRun;
      }
    }
  }
  const double back_at = Now();
  Record("the machines are there");
  Sleep(kRecoverTime + kJudgedTime);
  load.Stop();
  const double after = load.ServedShare(
      back_at + kRecoverTime, back_at + kRecoverTime + kJudgedTime, count);
  Record("sent later than " + std::to_string(kRecoverTime) + " s after that: " +
         std::to_string(count) + " requests, served " + std::to_string(after));
  for (const auto& program : processes) {
    if (!program->IsRunning()) {
      Record("a process has ended by itself");
    }
    program->Kill();
  }
  if (count == 0) {
    return kCannotRun;
  }
  return after < 0.25 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return argc == 2 ? review::Run(argv[1]) : review::kCannotRun;
}
