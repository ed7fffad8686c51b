#include <gtest/gtest.h>

#include "process/answer_check.h"
#include "process/process_fleet.h"

namespace fireflyslip::testing {
namespace {

// Guards against an entry that waits indefinitely on a link that is open but
// passes no bytes, while new connections work.
TEST(silent_link_test, Link_GoesSilent_RequestsUseNewLink) {
  constexpr int kTokens = 100;
  constexpr int kDeadlineMs = 5000;
  const process_fleet fleet({.entries = {"akl-e1"},
                             .model_agents = {"akl-m1"},
                             .relayed_links = {"akl-m1"},
                             .token_ms = 10});
  auto stream = fleet.StartComplete("akl-e1", "in progress", kTokens);
  fleet.WaitUntil("the stream runs",
                  [&] { return fleet.RunningRequests("akl-m1") > 0; });
  fleet.SetLinkRelay("akl-m1", "silent");
  fleet.WaitUntil("a request is answered over a new link", [&] {
    const http_answer answer =
        fleet.Complete("akl-e1", "new", 5, true, kDeadlineMs);
    return FindFault(answer, "new", 5).empty();
  });
  const http_answer answer = stream.get();
  const std::string fault = FindFault(answer, "in progress", kTokens);
  EXPECT_TRUE(fault.empty() || IsClearError(answer)) << fault;
}

}  // namespace
}  // namespace fireflyslip::testing
