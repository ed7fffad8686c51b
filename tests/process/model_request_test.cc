#include <gtest/gtest.h>

#include "process/answer_check.h"
#include "process/process_fleet.h"

namespace fireflyslip::testing {
namespace {

constexpr int kTokens = 50;

// Guards against lost, repeated or reordered parts in an answer that is
// forwarded from the engine by the agent and the entry.
TEST(model_request_test, Complete_OneEntryOneAgent_ReturnsWholeAnswer) {
  const process_fleet fleet(
      {.entries = {"akl-e1"}, .model_agents = {"akl-m1"}});
  EXPECT_EQ(FindFault(fleet.Complete("akl-e1", "hello", kTokens, true), "hello",
                      kTokens),
            "");
  EXPECT_EQ(FindFault(fleet.Complete("akl-e1", "hello", kTokens, false),
                      "hello", kTokens),
            "");
}

}  // namespace
}  // namespace fireflyslip::testing
