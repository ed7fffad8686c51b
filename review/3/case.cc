// A machine with a stager and its replica is suspended while the stager reads
// the staged pieces back, and a piece that it has read already turns bad.

#include <csignal>

#include "../harness/harness.h"
#include "../harness/model_replica.h"

namespace review {
namespace {

constexpr char kGateway[] = "127.0.1.1";
constexpr char kReplica[] = "127.0.2.1";
/// Reads of staged pieces after which the machine is suspended.
constexpr int kReadsBeforePause = 24;
constexpr double kPause = 4.0;  // seconds

int Run(const std::string& folder) {
  if (!OpenRecord(folder)) {
    return kCannotRun;
  }
  const port_plan ports =
      ChoosePorts({kStoreAddress, kOriginAddress, kGateway, kReplica});
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
  model_replica replica(kReplica, ports, platform, {});
  process stager("stager", "stager", StagerSettings(kReplica, kPool, ports));
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
  if (!replica.PowerOn(true) || !stager.Start() || !gateway.Start() ||
      !AwaitReady(kGateway, ports.ready, 20)) {
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
  if (!WaitFor(30, [&] { return replica.version() == 2; })) {
    Record("version 2 was not loaded");
    return kCannotRun;
  }
  client caller(kGateway, ports.callers);
  int served = 0;
  for (int i = 0; i < 10; ++i) {
    header_list fields = ClientFields(NewAttemptId(), 6000);
    fields.emplace_back("Model", kModel);
    fields.emplace_back("Token-Count", "100,50");
    fields.emplace_back("Prompt-Prefix", "5c1e07a2:40,91bd3f06:60");
    const answer got = caller.Send("POST", "/chat/a", fields, "prompt", 7);
    served += got.status == 200 && got.complete ? 1 : 0;
    Record("request " + fields[1].second + ", status " +
           std::to_string(got.status));
    Sleep(0.1);
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
