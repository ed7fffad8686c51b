#include <gtest/gtest.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "process/answer_check.h"
#include "process/process_fleet.h"
#include "process/request_load.h"

namespace fireflyslip::testing {
namespace {

// Guards against an answer that ends without an error after some of its parts,
// or in which parts are repeated, when its engine is killed.
TEST(upstream_failure_test, Stream_EngineKilled_WholeAnswerOrClearError) {
  constexpr int kTokens = 100;
  constexpr int kStreams = 6;
  process_fleet fleet({.entries = {"akl-e1"},
                       .model_agents = {"akl-m1", "akl-m2"},
                       .token_ms = 10});
  std::vector<std::future<http_answer>> streams;
  streams.reserve(kStreams);
  for (int i = 0; i < kStreams; ++i) {
    streams.push_back(
        fleet.StartComplete("akl-e1", std::to_string(i), kTokens));
  }
  // All streams may run on one engine if the other agent is connected later.
  std::string busy;
  fleet.WaitUntil("an engine runs a request", [&] {
    busy = fleet.RunningRequests("akl-m1") > 0 ? "akl-m1" : "akl-m2";
    return fleet.RunningRequests(busy) > 0;
  });
  fleet.upstream(busy).Kill();
  for (int i = 0; i < kStreams; ++i) {
    const http_answer answer = streams[i].get();
    const std::string fault = FindFault(answer, std::to_string(i), kTokens);
    EXPECT_TRUE(fault.empty() || IsClearError(answer)) << fault;
  }
}

/// \brief Restarts engines that have crashed and counts the crashes.
class engine_supervisor {
 public:
  engine_supervisor(process_fleet& fleet, std::vector<std::string> vms)
      : fleet_(fleet), vms_(std::move(vms)), thread_([this] { Run(); }) {}
  ~engine_supervisor() { Stop(); }

  /// \brief Returns the number of crashes.
  int Stop() {
    stopping_ = true;
    if (thread_.joinable()) {
      thread_.join();
    }
    return crashes_;
  }

  int crashes() const { return crashes_; }

 private:
  void Run() {
    while (!stopping_) {
      for (const std::string& vm : vms_) {
        if (!fleet_.upstream(vm).IsRunning()) {
          ++crashes_;
          fleet_.RestartUpstream(vm);
        }
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  }

  process_fleet& fleet_;
  const std::vector<std::string> vms_;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> crashes_ = 0;
  std::thread thread_;
};

// Guards against a request that crashes one engine after the other because it
// is retried, and against other requests that fail because of these crashes.
TEST(upstream_failure_test, CrashingRequest_Repeated_BlockedAfterSecondCrash) {
  constexpr char kCrashPrompt[] = "CRASH-ENGINE";
  constexpr int kMaxCrashes = 2;
  constexpr int kDeadlineMs = 5000;
  process_fleet fleet({.entries = {"akl-e1", "akl-e2"},
                       .model_agents = {"akl-m1", "akl-m2", "akl-m3"}});
  engine_supervisor supervisor(fleet, {"akl-m1", "akl-m2", "akl-m3"});
  request_load other_requests(fleet, {"akl-e1", "akl-e2"});
  other_requests.WaitForAnswers(20);
  const auto is_blocked = [&](const std::string& entry) {
    const http_answer answer =
        fleet.Complete(entry, kCrashPrompt, 5, true, kDeadlineMs);
    return answer.body.find("request_crashes_upstream") != std::string::npos;
  };
  fleet.WaitUntil("the request is blocked", [&] {
    return is_blocked("akl-e1") || supervisor.crashes() > kMaxCrashes;
  });
  EXPECT_TRUE(is_blocked("akl-e1"));
  EXPECT_TRUE(is_blocked("akl-e2"));
  other_requests.WaitForAnswers(20);
  EXPECT_EQ(other_requests.Stop(), std::vector<std::string>());
  EXPECT_EQ(supervisor.Stop(), kMaxCrashes);
}

}  // namespace
}  // namespace fireflyslip::testing
