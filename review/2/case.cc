// One answer of a replica goes on without end inside the framing of its body.
// The gateway keeps all of it and exceeds its memory limit; the requests that
// sound replicas run for other clients are lost with the process.

#include <csignal>
#include <vector>

#include "../harness/harness.h"
#include "../harness/plain_replica.h"

namespace review {
namespace {

constexpr char kGateway[] = "127.0.1.1";
constexpr double kMemoryMb = 260;     // of a machine, by the sheet
constexpr double kFloodRate = 115e6;  // bytes/s, below the link of 1000 Mbit/s
constexpr int kSoundAnswers = 60;     // of the faulty replica before the other
constexpr int kAllowed = 3;           // lost requests, by the rule

int Run(const std::string& folder) {
  if (!OpenRecord(folder)) {
    return kCannotRun;
  }
  const std::vector<std::string> addresses = {
      kStoreAddress, kGateway,    "127.0.4.1", "127.0.4.2",
      "127.0.4.3",   "127.0.4.4", "127.0.4.5"};
  const port_plan ports = ChoosePorts(addresses);
  store platform(ports);
  plain_replica faulty("i-faulty", "bookings", "127.0.4.1", ports.app, 0.03,
                       platform);
  plain_replica sound_a("i-sound-a", "venues", "127.0.4.2", ports.app, 0.2,
                        platform);
  plain_replica sound_b("i-sound-b", "venues", "127.0.4.3", ports.app, 0.2,
                        platform);
  // One of three replicas of its service is faulty.
  plain_replica other_a("i-other-a", "bookings", "127.0.4.4", ports.app, 0.03,
                        platform);
  plain_replica other_b("i-other-b", "bookings", "127.0.4.5", ports.app, 0.03,
                        platform);
  if (!platform.listening() || !other_a.listening() || !other_b.listening() ||
      !faulty.listening() || !sound_a.listening() || !sound_b.listening()) {
    return kCannotRun;
  }
  platform.Put("config", "main",
               Configuration(7,
                             {{"/book/", "non_idempotent", "bookings", 2500, 1},
                              {"/venue/", "idempotent", "venues", 2500, 2}},
                             {}, {"bookings", "venues"}, ports));
  process gateway("gateway", "gateway", GatewaySettings(kGateway, ports));
  if (!gateway.Start() || !AwaitReady(kGateway, ports.ready, 20)) {
    return kCannotRun;
  }

  std::atomic<bool> ended{false};
  std::atomic<int> served{0};
  std::atomic<int> lost{0};
  std::vector<std::thread> callers;
  constexpr int kCallers = 8;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&] {
      client caller(kGateway, ports.callers);
      int on_connection = 0;
      while (!ended) {
        const std::string id = NewAttemptId();
        const answer got =
            caller.Send("GET", "/venue/a", ClientFields(id, 2500), "", 3);
        Record("request " + id + ", status " + std::to_string(got.status));
        if (got.status == 200 && got.complete) {
          ++served;
          ++on_connection;
          continue;
        }
        const bool ran = sound_a.HasRun(id) || sound_b.HasRun(id);
        if (got.status == 0 && on_connection > 0 && ran) {
          ++lost;
          Record("request " + id +
                 " was passed on to a sound replica, and its kept connection "
                 "was closed without an answer");
        }
        on_connection = 0;
        Sleep(0.2);
      }
    });
  }
  std::vector<std::thread> bookers;
  constexpr int kBookers = 4;
  for (int i = 0; i < kBookers; ++i) {
    bookers.emplace_back([&] {
      client booking(kGateway, ports.callers);
      while (!ended) {
        const std::string id = NewAttemptId();
        const answer got =
            booking.Send("POST", "/book/a", ClientFields(id, 2500), "b", 3);
        Record("booking " + id + ", status " + std::to_string(got.status));
        Sleep(got.status == 200 ? 0.01 : 0.2);
      }
    });
  }
  // The gateway has been in touch for longer than 3 s, and the spoilt answer is
  // at most one in 50 of its replica.
  Sleep(3.5);
  if (!WaitFor(30, [&] { return faulty.runs() >= kSoundAnswers; })) {
    Record("too few bookings reached the faulty replica");
  }
  Record("answers of the faulty replica so far: " +
         std::to_string(faulty.runs()));
  if (WithTrouble()) {
    faulty.SendWithoutEnd(kFloodRate);
  }
  // The platform ends a process that exceeds its memory.
  double peak = 0;
  bool exceeded = false;
  const double end = Now() + 6;
  while (Now() < end && !exceeded) {
    peak = std::max(peak, gateway.ResidentMb());
    exceeded = peak > kMemoryMb;
    Sleep(0.002);
  }
  Record("peak memory of the gateway: " + std::to_string(peak) + " MB");
  if (exceeded) {
    Record("the platform ends the gateway: over " + std::to_string(kMemoryMb) +
           " MB");
    gateway.Kill();
  }
  Sleep(1);
  ended = true;
  for (std::thread& booker : bookers) {
    booker.join();
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  Record("served " + std::to_string(served) + ", lost " + std::to_string(lost));
  if (served == 0) {
    return kCannotRun;
  }
  return exceeded && lost > kAllowed ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return argc == 2 ? review::Run(argv[1]) : review::kCannotRun;
}
