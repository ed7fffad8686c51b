#include <gtest/gtest.h>

#include "process/answer_check.h"
#include "process/process_fleet.h"

namespace fireflyslip::testing {
namespace {

constexpr int kTokens = 50;

// Guards against an answer that loses, repeats or reorders parts on its way
// from the engine through agent and entry.
TEST(model_request_test, Complete_OneEntryOneAgent_ReturnsWholeAnswer) {
  const process_fleet fleet(
      {.entries = {"akl-e1"}, .model_agents = {"akl-m1"}});
  EXPECT_EQ(FaultOf(fleet.Complete("akl-e1", "hello", kTokens, true), "hello",
                    kTokens),
            "");
  EXPECT_EQ(FaultOf(fleet.Complete("akl-e1", "hello", kTokens, false), "hello",
                    kTokens),
            "");
}

}  // namespace
}  // namespace fireflyslip::testing
