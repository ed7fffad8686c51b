#include <gtest/gtest.h>

#include <algorithm>

#include "fireflyslip/placement.h"

namespace fireflyslip {
namespace {

class monitored_upstreams_test : public testing::Test {
 protected:
  /// Adds replicas with weights to a data centre.
  void AddReplicas(const std::string& data_centre, std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      upstream_entry entry;
      entry.id = upstream_id(data_centre + "-" + std::to_string(i));
      entry.data_centre = data_centre_id(data_centre);
      entry.has_engine = true;
      entry.model_versions[model_name("m")] = 1;
      upstreams_[entry.id] = entry;
    }
  }
  upstream_map Select(const std::string& gateway,
                      const std::string& data_centre) const {
    return SelectMonitored(upstreams_, vm_id(gateway),
                           data_centre_id(data_centre), {});
  }
  static std::size_t CountIn(const upstream_map& selected,
                             const std::string& data_centre) {
    return static_cast<std::size_t>(
        std::count_if(selected.begin(), selected.end(), [&](const auto& item) {
          return item.second.data_centre == data_centre_id(data_centre);
        }));
  }

  upstream_map upstreams_;
};

// Guards against load reports that grow with gateways times replicas.
TEST_F(monitored_upstreams_test, LargeFleet_Selected_BoundedAndSpread) {
  for (const char* data_centre : {"a", "b", "c", "d", "e"}) {
    AddReplicas(data_centre, 160);
  }
  const upstream_map selected = Select("g", "a");
  EXPECT_EQ(CountIn(selected, "a"), monitoring_policy{}.local);
  for (const char* data_centre : {"b", "c", "d", "e"}) {
    EXPECT_EQ(CountIn(selected, data_centre), monitoring_policy{}.remote / 4);
  }
}

// Guards against leaving out replicas of a small fleet.
TEST_F(monitored_upstreams_test, SmallFleet_Selected_AllReplicas) {
  AddReplicas("a", 6);
  AddReplicas("b", 5);
  AddReplicas("c", 5);
  EXPECT_EQ(Select("g", "a"), upstreams_);
}

// Guards against requests to an evacuated data centre, and against a load that
// its gateways concentrate on the few remote replicas that they follow
// otherwise.
TEST_F(monitored_upstreams_test, Evacuated_Selected_AsManyElsewhere) {
  AddReplicas("a", 20);
  AddReplicas("b", 19);
  AddReplicas("c", 19);
  const evacuated_set evacuated = {data_centre_id("a")};
  const upstream_map available = WithoutEvacuated(upstreams_, evacuated);
  EXPECT_EQ(available.size(), 38U);
  const upstream_map own =
      SelectMonitored(available, vm_id("g"), data_centre_id("a"),
                      MonitoringPolicyFor(data_centre_id("a"), evacuated));
  EXPECT_EQ(CountIn(own, "b"), 14U);
  EXPECT_EQ(CountIn(own, "c"), 14U);
  EXPECT_EQ(MonitoringPolicyFor(data_centre_id("b"), evacuated),
            monitoring_policy{});
}

// Guards against a replica that hardly any gateway sends to.
TEST_F(monitored_upstreams_test, ManyGateways_Selected_EveryReplicaFollowed) {
  AddReplicas("a", 31);
  std::map<upstream_id, int> followers;
  constexpr int kGateways = 30;
  for (int i = 0; i < kGateways; ++i) {
    for (const auto& [id, entry] : Select("g" + std::to_string(i), "a")) {
      ++followers[id];
    }
  }
  ASSERT_EQ(followers.size(), 31U);
  for (const auto& [id, count] : followers) {
    EXPECT_GE(count, kGateways / 6) << id.value();
  }
}

// Guards against a selection of replicas that cannot serve, such as those that
// are added empty, while others can.
TEST_F(monitored_upstreams_test, EmptyReplicas_OthersPresent_SelectedLast) {
  AddReplicas("a", 40);
  for (auto& [id, entry] : upstreams_) {
    if (CountIn(Select("g", "a"), "a") > 0 && id.value().back() != '0') {
      entry.model_versions.clear();
    }
  }
  const upstream_map selected = Select("g", "a");
  for (const auto& [id, entry] : upstreams_) {
    if (!entry.model_versions.empty()) {
      EXPECT_TRUE(selected.contains(id)) << id.value();
    }
  }
}

// Guards against leaving out upstreams of plain services, which have no stager.
TEST_F(monitored_upstreams_test, PlainServices_Selected_All) {
  AddReplicas("a", 1000);
  upstream_entry plain;
  plain.id = upstream_id("bookings-1");
  plain.data_centre = data_centre_id("far");
  upstreams_[plain.id] = plain;
  EXPECT_TRUE(Select("g", "a").contains(plain.id));
}

// Guards against messages of a large fleet that cost more than the requests,
// and against old reports in a small one.
TEST_F(monitored_upstreams_test, ReportInterval_LargerDataCentre_Longer) {
  AddReplicas("a", 6);
  AddReplicas("b", 40);
  const auto interval = [&](const std::string& gateway,
                            const std::string& replica) {
    return ReportInterval(upstreams_, data_centre_id(gateway),
                          data_centre_id(replica));
  };
  EXPECT_LT(interval("a", "a"), interval("b", "b"));
  EXPECT_LT(interval("b", "b"), interval("a", "b"));
  // Two reports may be lost before the load counts as unknown.
  EXPECT_LT(2 * interval("a", "b"), placement_policy{}.report_lifetime);
}

// Guards against gateways that together retry more than the allowance, because
// each one counts too few others.
TEST_F(monitored_upstreams_test, GatewayCount_UnevenDataCentres_NearTruth) {
  AddReplicas("a", 32);
  AddReplicas("b", 31);
  AddReplicas("c", 60);
  std::map<std::string, int> gateways{{"a", 34}, {"b", 12}, {"c", 50}};
  std::map<upstream_id, std::size_t> followers;
  double total = 0;
  for (const auto& [data_centre, count] : gateways) {
    total += count;
    for (int i = 0; i < count; ++i) {
      const std::string name = data_centre + "/" + std::to_string(i);
      for (const auto& [id, entry] : Select(name, data_centre)) {
        ++followers[id];
      }
    }
  }
  for (const char* data_centre : {"a", "b", "c"}) {
    const upstream_map monitored =
        Select(std::string(data_centre) + "/0", data_centre);
    gateway_count_estimate estimate;
    EXPECT_EQ(estimate.value(), 0);
    estimate.SetUpstreams(upstreams_, monitored);
    for (const auto& [id, entry] : monitored) {
      estimate.Report(id, followers[id]);
    }
    // The gateways use half of the allowance, so an estimate must not be below
    // half of the truth.
    EXPECT_GT(estimate.value(), total * 0.7);
    EXPECT_LT(estimate.value(), total * 1.4);
  }
}

}  // namespace
}  // namespace fireflyslip
