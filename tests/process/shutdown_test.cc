#include <gtest/gtest.h>

#include <csignal>
#include <string>
#include <vector>

#include "process/answer_check.h"
#include "process/process_fleet.h"
#include "process/request_load.h"

namespace fireflyslip::testing {
namespace {

// Guards against requests that are aborted by the planned stop of an agent, or
// that fail because they are still sent to it.
TEST(shutdown_test, Agent_SigtermUnderLoad_NoRequestFails) {
  process_fleet fleet({.entries = {"akl-e1", "akl-e2"},
                       .model_agents = {"akl-m1", "akl-m2"},
                       .token_ms = 5});
  request_load load(fleet, {"akl-e1", "akl-e2"});
  load.WaitForAnswers(20);
  EXPECT_EQ(fleet.Terminate("akl-m1"), 0);
  load.WaitForAnswers(20);
  EXPECT_EQ(load.Stop(), std::vector<std::string>());
}

// Guards against an answer in progress that is aborted by the planned stop of
// its entry.
TEST(shutdown_test, Entry_SigtermDuringStream_StreamCompletes) {
  constexpr int kTokens = 100;
  process_fleet fleet(
      {.entries = {"akl-e1"}, .model_agents = {"akl-m1"}, .token_ms = 10});
  auto stream = fleet.StartComplete("akl-e1", "hello", kTokens);
  fleet.WaitUntil("the stream runs",
                  [&] { return fleet.RunningRequests("akl-m1") > 0; });
  EXPECT_EQ(fleet.Terminate("akl-e1"), 0);
  EXPECT_EQ(FindFault(stream.get(), "hello", kTokens), "");
}

}  // namespace
}  // namespace fireflyslip::testing
