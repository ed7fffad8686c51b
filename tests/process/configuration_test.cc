#include <gtest/gtest.h>

#include <string>

#include "process/process_fleet.h"

namespace fireflyslip::testing {
namespace {

void SetWeight(nlohmann::json& configuration, int weight) {
  configuration["workspaces"]["bar-1"]["weight"] = weight;
}

// Guards against processes that keep an old configuration because they cannot
// reach the platform, and against a restarted process that returns to an old
// configuration.
TEST(configuration_test, Change_OneEntryReachesPlatform_InForceEverywhere) {
  const std::vector<std::string> others = {"akl-e2", "wlg-e1", "akl-m1",
                                           "wlg-m1"};
  process_fleet fleet({.entries = {"akl-e1", "akl-e2", "wlg-e1"},
                       .model_agents = {"akl-m1", "wlg-m1"},
                       .relayed_platform = {others.begin(), others.end()}});
  for (const std::string& vm : others) {
    fleet.SetPlatformRelay(vm, "cut");
  }
  const std::uint64_t revision = fleet.Configure(
      [](nlohmann::json& configuration) { SetWeight(configuration, 2); });
  for (const std::string& vm : others) {
    fleet.WaitUntil("the change is in force on " + vm,
                    [&] { return fleet.Revision(vm) >= revision; });
  }
  fleet.ControlPlatform({{"outage", true}});
  for (const std::string vm : {"akl-e2", "wlg-m1"}) {
    fleet.process(vm).Kill();
    fleet.Restart(vm);
    fleet.WaitUntil(vm + " has a configuration after its restart",
                    [&] { return fleet.Revision(vm) != 0; });
    EXPECT_EQ(fleet.Revision(vm), revision) << vm;
  }
}

}  // namespace
}  // namespace fireflyslip::testing
