#include <gtest/gtest.h>

#include <csignal>
#include <string>
#include <vector>

#include "process/process_fleet.h"

namespace fireflyslip::testing {
namespace {

constexpr char kNotRun[] = "not_run";
constexpr char kUnknown[] = "unknown";

std::vector<std::string> Keys(const std::string& prefix, int count) {
  std::vector<std::string> keys;
  keys.reserve(count);
  for (int i = 0; i < count; ++i) {
    keys.push_back(prefix + std::to_string(i));
  }
  return keys;
}

// Sends each booking through both entries at once and expects that both callers
// get the answer of one execution.
void ExpectOneExecutionEach(const process_fleet& fleet,
                            const std::vector<std::string>& keys) {
  for (const std::string& key : keys) {
    auto first = fleet.StartBook("akl-e1", key);
    auto second = fleet.StartBook("wlg-e1", key);
    const http_answer answers[] = {first.get(), second.get()};
    for (const http_answer& answer : answers) {
      EXPECT_EQ(answer.status, 200) << key << ": " << answer.body;
    }
    EXPECT_EQ(answers[0].body, answers[1].body);
    EXPECT_EQ(fleet.Executions(key), 1) << key;
  }
}

// Whether the answer states that the call ran or may have run, after which a
// caller does not send it again under another key.
bool IsDecided(const http_answer& answer) {
  return answer.status == 200 || answer.outcome == kUnknown;
}

// Guards against a second execution when a caller repeats a booking through
// another entry while the first call is running.
TEST(booking_test, Book_TwiceThroughTwoEntries_RunsOnce) {
  const process_fleet fleet({.entries = {"akl-e1", "wlg-e1"},
                             .service_agents = {"akl-b1", "wlg-b1"},
                             .work_ms = 50});
  ExpectOneExecutionEach(fleet, Keys("twice-", 10));
}

// Guards against a claim that is treated as lost or written twice because the
// response of the platform to the write was lost.
TEST(booking_test, Book_PlatformLosesWriteAnswers_RunsOnce) {
  const process_fleet fleet({.entries = {"akl-e1", "wlg-e1"},
                             .service_agents = {"akl-b1", "wlg-b1"},
                             .settings = {{"platform_timeout_ms", 500}}});
  ExpectOneExecutionEach(fleet, Keys("before-", 1));
  for (const std::string& key : Keys("lost-", 5)) {
    fleet.ControlPlatform({{"lose_answers", 2}});
    ExpectOneExecutionEach(fleet, {key});
  }
}

// Guards against a second execution by the agent that replaces a killed one,
// which does not know the calls that the killed agent had started.
TEST(booking_test, Book_AgentKilledInCall_NeverRunsAgain) {
  process_fleet fleet({.entries = {"akl-e1", "akl-e2"},
                       .service_agents = {"akl-b1"},
                       .work_ms = 1000});
  auto first = fleet.StartBook("akl-e1", "killed");
  fleet.WaitUntil("the call runs",
                  [&] { return fleet.Executions("killed") == 1; });
  fleet.process("akl-b1").Kill();
  fleet.Restart("akl-b1");
  EXPECT_NE(first.get().outcome, kNotRun);
  fleet.WaitUntil("the repeated booking is decided", [&] {
    const http_answer answer = fleet.Book("akl-e2", "killed", 5000);
    return fleet.Executions("killed") != 1 || IsDecided(answer);
  });
  EXPECT_EQ(fleet.Executions("killed"), 1);
}

// Guards against a second execution by an agent that was paused while another
// agent took over its journal, and that resumes with its old state.
TEST(booking_test, Book_AgentPausedDuringTakeover_NeverRunsAgain) {
  process_fleet fleet({.entries = {"akl-e1", "akl-e2"},
                       .service_agents = {"akl-b1", "akl-b2"}});
  const std::vector<std::string> keys = Keys("paused-", 12);
  constexpr int kDeadlineMs = 4000;
  ASSERT_EQ(fleet.Book("akl-e1", "before").status, 200);
  fleet.process("akl-b1").Signal(SIGSTOP);
  std::vector<std::future<http_answer>> sent;
  sent.reserve(keys.size());
  for (const std::string& key : keys) {
    sent.push_back(fleet.StartBook("akl-e1", key, kDeadlineMs));
  }
  std::vector<std::string> not_run;
  for (std::size_t i = 0; i < keys.size(); ++i) {
    if (sent[i].get().outcome == kNotRun) {
      EXPECT_EQ(fleet.Executions(keys[i]), 0) << keys[i];
      not_run.push_back(keys[i]);
    }
  }
  const std::uint64_t revision =
      fleet.Configure([](nlohmann::json& configuration) {
        configuration["upstreams"].erase("akl-b1");
      });
  for (const char* vm : {"akl-e1", "akl-e2", "akl-b2"}) {
    fleet.WaitUntil("the takeover is in force",
                    [&] { return fleet.Revision(vm) >= revision; });
  }
  for (const std::string& key : keys) {
    fleet.WaitUntil("a booking is decided", [&] {
      return IsDecided(fleet.Book("akl-e2", key, kDeadlineMs));
    });
  }
  fleet.process("akl-b1").Signal(SIGCONT);
  fleet.WaitUntil("the agent has caught up",
                  [&] { return fleet.Revision("akl-b1") >= revision; });
  for (const std::string& key : keys) {
    fleet.Book("akl-e1", key, kDeadlineMs);
    EXPECT_LE(fleet.Executions(key), 1) << key;
  }
  for (const std::string& key : not_run) {
    EXPECT_EQ(fleet.Executions(key), 1) << key;
  }
}

// Guards against a booking that runs without a claim during an outage of the
// platform, and against model requests that depend on the platform.
TEST(booking_test, Book_PlatformOutage_NotRunUntilItsEnd) {
  const process_fleet fleet({.entries = {"akl-e1"},
                             .model_agents = {"akl-m1"},
                             .service_agents = {"akl-b1"}});
  constexpr int kDeadlineMs = 5000;
  ASSERT_EQ(fleet.Book("akl-e1", "before").status, 200);
  fleet.ControlPlatform({{"outage", true}});
  const http_answer refused = fleet.Book("akl-e1", "outage", kDeadlineMs);
  EXPECT_NE(refused.status, 200);
  EXPECT_EQ(refused.outcome, kNotRun) << refused.body;
  EXPECT_EQ(fleet.Complete("akl-e1", "hello", 10).status, 200);
  EXPECT_EQ(fleet.Executions("outage"), 0);
  fleet.ControlPlatform({{"outage", false}});
  fleet.WaitUntil("the booking runs after the outage", [&] {
    return fleet.Book("akl-e1", "outage", kDeadlineMs).status == 200;
  });
  EXPECT_EQ(fleet.Executions("outage"), 1);
}

}  // namespace
}  // namespace fireflyslip::testing
