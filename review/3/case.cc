// A machine with a stager and its replica is suspended while the stager reads
// the staged pieces back, and a piece that it has read already turns bad.

#include <algorithm>
#include <csignal>
#include <memory>
#include <vector>

#include "../harness/harness.h"
#include "../harness/model_replica.h"

namespace review {
namespace {

constexpr char kGateway[] = "127.0.1.1";
constexpr int kMachines = 9;  // with a replica; one is suspended
/// Reads of staged pieces after which the machine is suspended.
constexpr int kReadsBeforePause = 24;
constexpr double kPause = 4.0;  // seconds

int Run(const std::string& folder) {
  if (!OpenRecord(folder)) {
    return kCannotRun;
  }
  std::vector<std::string> addresses = {kStoreAddress, kOriginAddress,
                                        kGateway};
  for (int i = 0; i < kMachines; ++i) {
    addresses.push_back("127.0.2." + std::to_string(i + 1));
  }
  const port_plan ports = ChoosePorts(addresses);
  store platform(ports);
  origin weights(ports);
  if (!platform.listening() || !weights.listening()) {
    return kCannotRun;
  }
  platform.Put("config", "main",
               Configuration(7, {{"/chat/", "streaming", kPool, 6000, 2}}, {{}},
                             {}, ports));
  weights.Publish(kModel, 1);
  platform.Put("versions", kModel, {{"modelName", kModel}, {"version", 1}});
  std::vector<std::unique_ptr<model_replica>> replicas;
  std::vector<std::unique_ptr<process>> stagers;
  for (int i = 0; i < kMachines; ++i) {
    const std::string& address = addresses[3 + i];
    replicas.push_back(std::make_unique<model_replica>(
        address, ports, platform, model_replica::options{}));
    stagers.push_back(
        std::make_unique<process>("stager", "stager-" + std::to_string(i),
                                  StagerSettings(address, kPool, ports)));
  }
  model_replica& replica = *replicas.front();
  process& stager = *stagers.front();
  process gateway("gateway", "gateway", GatewaySettings(kGateway, ports));

  std::atomic<bool> published{false};
  std::atomic<bool> paused{false};
  replica.OnRead([&](int reads) {
    if (WithTrouble() && published && !paused && reads == kReadsBeforePause) {
      replica.set_frozen(true);
      stager.Signal(SIGSTOP);
      paused = true;
    }
  });
  for (int i = 0; i < kMachines; ++i) {
    if (!replicas[i]->PowerOn(true) || !stagers[i]->Start()) {
      return kCannotRun;
    }
  }
  if (!gateway.Start() || !AwaitReady(kGateway, ports.ready, 20)) {
    return kCannotRun;
  }
  Sleep(6);
  weights.Publish(kModel, 2);
  platform.Put("versions", kModel, {{"modelName", kModel}, {"version", 2}});
  published = true;
  Record("version 2 is named");
  if (WithTrouble()) {
    if (!WaitFor(30, [&] { return paused.load(); })) {
      Record("the staged pieces were not read back");
      return kCannotRun;
    }
    Record("the machine is suspended");
    replica.Spoil(0);
    Sleep(kPause);
    Record("the machine continues");
    replica.set_frozen(false);
    stager.Signal(SIGCONT);
  }
  const auto all_loaded = [&] {
    return std::all_of(replicas.begin(), replicas.end(),
                       [](const auto& item) { return item->version() == 2; });
  };
  if (!WaitFor(30, all_loaded)) {
    Record("version 2 was not loaded");
    return kCannotRun;
  }
  client caller(kGateway, ports.callers);
  int served = 0;
  for (int i = 0; i < 60; ++i) {
    header_list fields = ClientFields(NewAttemptId(), 6000);
    fields.emplace_back("Model", kModel);
    fields.emplace_back("Token-Count", "100,50");
    fields.emplace_back("Prompt-Prefix", "5c1e07a2:40,91bd3f06:60");
    const answer got = caller.Send("POST", "/chat/a", fields, "prompt", 7);
    served += got.status == 200 && got.complete ? 1 : 0;
    Record("request " + fields[1].second + ", status " +
           std::to_string(got.status));
    Sleep(0.02);
  }
  Record("served " + std::to_string(served) +
         ", of these on layers with a piece that was bad for over 3 s when "
         "taken: " +
         std::to_string(replica.spoilt_streams()));
  if (served == 0) {
    return kCannotRun;
  }
  return replica.spoilt_streams() > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return argc == 2 ? review::Run(argv[1]) : review::kCannotRun;
}
