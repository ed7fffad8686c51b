#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "process/process_fleet.h"
#include "process/request_load.h"

namespace fireflyslip::testing {
namespace {

void DeclareVersion(const process_fleet& fleet, const std::string& version) {
  const std::string manifest = fleet.AddVersion(version);
  fleet.Configure([&](nlohmann::json& configuration) {
    configuration["models"]["cue"]["version"] = version;
    configuration["models"]["cue"]["manifest_digest"] = manifest;
  });
}

void WaitUntilServed(const process_fleet& fleet,
                     const std::vector<std::string>& agents,
                     const std::string& version) {
  for (const std::string& vm : agents) {
    fleet.WaitUntil("an agent serves " + version,
                    [&] { return fleet.EngineVersion(vm) == version; });
  }
}

std::uint64_t OriginBytes(const process_fleet& fleet) {
  return fleet.OriginCounters().at("bytes_sent").get<std::uint64_t>();
}

// Guards against requests that fail or mix versions while replicas load a new
// version, and against replicas that all fetch it from the origin.
TEST(rollout_test, NewVersion_UnderLoad_NoFailureAndMostBytesFromPeers) {
  const std::vector<std::string> agents = {"akl-m1", "akl-m2", "akl-m3",
                                           "wlg-m1", "wlg-m2", "wlg-m3"};
  const process_fleet fleet({.entries = {"akl-e1", "wlg-e1"},
                             .model_agents = agents,
                             .token_ms = 2,
                             .loaded_version = ""});
  WaitUntilServed(fleet, agents, "v1");
  const std::uint64_t before = OriginBytes(fleet);
  request_load load(fleet, {"akl-e1", "wlg-e1"});
  load.WaitForAnswers(20);
  DeclareVersion(fleet, "v2");
  WaitUntilServed(fleet, agents, "v2");
  load.WaitForAnswers(20);
  EXPECT_EQ(load.Stop(), std::vector<std::string>());
  EXPECT_TRUE(load.versions().contains("v2"));
  const std::uint64_t from_origin = OriginBytes(fleet) - before;
  EXPECT_LT(from_origin, agents.size() * process_fleet::kModelBytes / 2);
}

}  // namespace
}  // namespace fireflyslip::testing
