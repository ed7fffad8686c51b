// Some load reports of replicas have no end. The stager beside each of these
// replicas exceeds its memory limit, again and again.

#include <csignal>
#include <memory>
#include <vector>

#include "../harness/harness.h"
#include "../harness/model_replica.h"

namespace review {
namespace {

constexpr int kMachines = 4;
constexpr int kInTrouble = 2;      // replicas, within a share of .5
constexpr int kPeriod = 20;        // one report in so many has no end
constexpr double kMemoryMb = 128;  // of a machine, by the sheet
constexpr int kEnds = 3;           // of a machine's process, by the rule
constexpr double kRestartDelay = 1;

int Run(const std::string& folder) {
  if (!OpenRecord(folder)) {
    return kCannotRun;
  }
  std::vector<std::string> addresses = {kStoreAddress, kOriginAddress};
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
    const std::string& address = addresses[2 + i];
    replicas.push_back(std::make_unique<model_replica>(
        address, ports, platform, model_replica::options{}));
    stagers.push_back(
        std::make_unique<process>("stager", "stager-" + std::to_string(i),
                                  StagerSettings(address, kPool, ports)));
    if (!replicas.back()->PowerOn(true) || !stagers.back()->Start()) {
      return kCannotRun;
    }
  }
  Sleep(5);
  for (int i = 0; WithTrouble() && i < kInTrouble; ++i) {
    replicas[i]->SendReportsWithoutEnd(kPeriod);
  }
  std::vector<int> ends(kMachines, 0);
  std::vector<double> peaks(kMachines, 0);
  std::vector<double> restart_at(kMachines, 0);
  const double end = Now() + 45;
  while (Now() < end) {
    for (int i = 0; i < kMachines; ++i) {
      if (restart_at[i] > 0) {
        if (Now() >= restart_at[i] && ends[i] < kEnds) {
          restart_at[i] = 0;
          stagers[i]->Start();
        }
        continue;
      }
      const double memory = stagers[i]->PeakMb();
      peaks[i] = std::max(peaks[i], memory);
      if (memory > kMemoryMb || !stagers[i]->IsRunning()) {
        ++ends[i];
        Record("stager " + std::to_string(i) + " has " +
               std::to_string(memory) + " MB and is ended by the platform");
        stagers[i]->Kill();
        restart_at[i] = Now() + kRestartDelay;
      }
    }
    Sleep(0.001);
  }
  int machines = 0;
  for (int i = 0; i < kMachines; ++i) {
    machines += ends[i] >= kEnds ? 1 : 0;
    Record("machine " + std::to_string(i) + ": peak memory " +
           std::to_string(peaks[i]) + " MB, ends " + std::to_string(ends[i]));
  }
  return machines >= 2 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return argc == 2 ? review::Run(argv[1]) : review::kCannotRun;
}
