#include "gateway/catalog_feed.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/thread_cpu_time.h"
#include "node/catalog_relay.h"
#include "node/fake_store.h"
#include "node/odd_entries.h"

namespace fireflyslip {
namespace {

/// \brief A gateway's control plane in front of a store, without relays.
class catalog_feed_test : public testing::Test {
 protected:
  catalog_feed_test() : store_(context_) {
    settings_.platform = store_.endpoint();
    settings_.data_centre = data_centre_id("akl");
    catalog_feed::handlers callbacks;
    callbacks.on_deployment = [this](const auto& deployment) {
      configuration_ = deployment->version;
    };
    callbacks.on_upstreams = [this](const auto& upstreams) {
      upstreams_ = *upstreams;
    };
    callbacks.on_target_version = [](const auto&, std::uint64_t, time_point) {};
    callbacks.on_platform_responded = [this] { ++responses_; };
    callbacks.on_keys_confirmed = [this](time_point) { ++confirmations_; };
    feed_ = std::make_unique<catalog_feed>(context_, settings_, callbacks, 1);
  }

  /// Runs until the condition holds or the time is over.
  bool RunUntil(const std::function<bool()>& condition) {
    const time_point end = MonotonicNow() + seconds(20);
    while (!condition() && MonotonicNow() < end) {
      context_.run_for(std::chrono::milliseconds(5));
    }
    return condition();
  }

  bool Knows(const std::string& id) const {
    return upstreams_.contains(upstream_id(id));
  }

  /// Lists the entries beside a sound one, then watches them as they become
  /// sound and odd again.
  void ExpectOthersFollowed(const std::vector<odd_entry>& entries) {
    const auto put_all = [&](const std::function<std::string(int)>& spec) {
      for (int i = 0; i < std::ssize(entries); ++i) {
        store_.PutText(platform::kUpstreamKind, "odd-" + std::to_string(i),
                       spec(i));
      }
    };
    const auto odd = [&](int i) { return entries[i].spec; };
    put_all(odd);
    store_.PutUpstream("i-1", "127.0.0.1:80");
    feed_->Start();
    ASSERT_TRUE(RunUntil([&] { return Knows("i-1"); }));
    ExpectNoneKnown(entries);
    put_all([](int) { return UpstreamSpec(); });
    ASSERT_TRUE(
        RunUntil([&] { return upstreams_.size() == entries.size() + 1; }));
    put_all(odd);
    store_.PutUpstream("i-2", "127.0.0.1:81");
    ASSERT_TRUE(RunUntil([&] { return Knows("i-2"); }));
    ExpectNoneKnown(entries);
    EXPECT_TRUE(Knows("i-1"));
  }

  void ExpectNoneKnown(const std::vector<odd_entry>& entries) const {
    for (int i = 0; i < std::ssize(entries); ++i) {
      EXPECT_FALSE(Knows("odd-" + std::to_string(i))) << entries[i].description;
    }
  }

  boost::asio::io_context context_;
  fake_store store_;
  node_settings settings_;
  upstream_map upstreams_;
  std::uint64_t configuration_ = 0;
  int responses_ = 0;
  int confirmations_ = 0;
  std::unique_ptr<catalog_feed> feed_;
};

// Guards against a gateway that assumes an outage of the platform, and uses
// superseded weights, because it cannot read the configuration.
TEST_F(catalog_feed_test, Configuration_Unreadable_PlatformResponds) {
  store_.Put(platform::kConfigurationKind, platform::kConfigurationName,
             {{"version", "unreadable"}});
  feed_->Start();
  const time_point end = MonotonicNow() + seconds(10);
  while (responses_ == 0 && MonotonicNow() < end) {
    context_.run_for(std::chrono::milliseconds(5));
  }
  EXPECT_GT(responses_, 0);
  EXPECT_EQ(confirmations_, 0);
}

// Guards against an entry of another writer that makes the lists and watches of
// all upstreams fail.
TEST_F(catalog_feed_test, Upstream_Unreadable_OthersFollowed) {
  ExpectOthersFollowed(UnreadableEntries());
}

// Guards against an entry of another writer that ends the process, because its
// nesting exhausts the stack.
TEST_F(catalog_feed_test, Upstream_NestedDeeply_OthersFollowed) {
  ExpectOthersFollowed(DeepEntries());
}

// Guards against a large entry of another writer that keeps the control thread
// busy, so that dropped routes stay in force and sound upstreams are not heard
// of. The entry is written again and again.
TEST_F(catalog_feed_test, Upstream_Large_OthersAndConfigurationFollowed) {
  // Time in which a configuration must be in force.
  constexpr seconds kApplyTime{2};
  store_.PutUpstream("i-0", "127.0.0.1:80");
  store_.PutConfiguration(1);
  feed_->Start();
  ASSERT_TRUE(RunUntil([&] { return Knows("i-0") && configuration_ == 1; }));
  std::uint64_t version = 1;
  for (const odd_entry& entry : LargeEntries()) {
    SCOPED_TRACE(entry.description);
    const std::string sound = "i-" + std::to_string(++version);
    const duration begin = ThreadCpuTime();
    store_.PutText(platform::kUpstreamKind, "odd", entry.spec);
    store_.PutConfiguration(version);
    store_.PutUpstream(sound, "127.0.0.1:81");
    ASSERT_TRUE(
        RunUntil([&] { return Knows(sound) && configuration_ == version; }));
    EXPECT_LT(ThreadCpuTime() - begin, kApplyTime);
    EXPECT_FALSE(Knows("odd"));
  }
}

/// \brief A gateway's control plane behind a relay, at a store that comes back
/// from an older copy.
class catalog_feed_restore_test : public testing::Test {
 protected:
  /// \param relay_evacuation, feed_evacuation settings of both processes; empty
  /// if they do not know evacuations.
  explicit catalog_feed_restore_test(
      std::optional<duration> relay_evacuation = std::nullopt,
      std::optional<duration> feed_evacuation = std::nullopt)
      : store_(context_) {
    settings_.platform = store_.endpoint();
    settings_.data_centre = data_centre_id("akl");
    PutConfiguration(1, "key");
    store_.PutVersion(1);
    store_.PutUpstream("i-1", "127.0.0.1:80", "ready", 1, 1000);
    settings_.evacuation_timeout = relay_evacuation;
    relay_ = std::make_unique<catalog_relay>(context_, settings_, 1);
    const auto port = relay_->Listen({"127.0.0.1", 0});
    settings_.first_internal_port =
        static_cast<std::uint16_t>(ValueOf(port) - 3);
    EXPECT_EQ(settings_.RelayPort(), ValueOf(port));
    catalog_feed::handlers callbacks;
    callbacks.on_deployment = [this](std::shared_ptr<const deployment> known) {
      deployments_.push_back(std::move(known));
    };
    callbacks.on_upstreams = [this](std::shared_ptr<const upstream_map> known) {
      upstreams_before_evacuations_ |= !evacuated_;
      upstreams_ = std::move(known);
    };
    callbacks.on_evacuations = [this](const evacuated_set& known) {
      evacuated_ = known;
    };
    callbacks.on_target_version = [this](const auto&, std::uint64_t version,
                                         time_point) {
      target_versions_.push_back(version);
    };
    callbacks.on_platform_responded = [] {};
    callbacks.on_keys_confirmed = [](time_point) {};
    settings_.evacuation_timeout = feed_evacuation;
    feed_ = std::make_unique<catalog_feed>(context_, settings_, callbacks, 1);
  }

  void PutConfiguration(std::uint64_t version, const std::string& key) {
    store_.Put(
        platform::kConfigurationKind, platform::kConfigurationName,
        {{"version", version},
         {"routes", nlohmann::json::array()},
         {"services", nlohmann::json::array()},
         {"tenants",
          {{{"name", "w"}, {"apiKeys", nlohmann::json::array({key})}}}}});
  }

  /// Raises the store's revision by changes that nothing else depends on.
  void RaiseRevision() {
    for (int i = 0; i < 50; ++i) {
      store_.PutVersion(1);
    }
  }

  /// The store is away for a moment and comes back from the copy.
  void RestoreStore() {
    store_.set_mode(fake_store::mode::kRefuses);
    context_.run_for(std::chrono::milliseconds(100));
    store_.Restore();
    store_.set_mode(fake_store::mode::kUp);
  }

  bool RunUntil(const std::function<bool()>& condition) {
    constexpr seconds kLimit{10};
    const time_point end = MonotonicNow() + kLimit;
    while (!condition() && MonotonicNow() < end) {
      context_.run_for(std::chrono::milliseconds(5));
    }
    return condition();
  }

  /// Starts the feed and waits until it follows the relay.
  bool Start() {
    feed_->Start();
    return RunUntil([&] {
      return feed_->IsComplete() && Has("i-1") && !target_versions_.empty();
    });
  }

  bool Has(const std::string& id) const {
    return upstreams_ && upstreams_->contains(upstream_id(id));
  }
  std::uint64_t version() const { return deployments_.back()->version; }

  boost::asio::io_context context_;
  fake_store store_;
  node_settings settings_;
  std::unique_ptr<catalog_relay> relay_;
  std::vector<std::shared_ptr<const deployment>> deployments_;
  std::shared_ptr<const upstream_map> upstreams_;
  std::vector<std::uint64_t> target_versions_;
  std::optional<evacuated_set> evacuated_;
  bool upstreams_before_evacuations_ = false;
  std::unique_ptr<catalog_feed> feed_;
};

// Guards against upstreams that are not noticed after a restore until the
// revisions have passed the one known before: a relay or a gateway that
// compares revisions ignores all lists and changes below it.
TEST_F(catalog_feed_restore_test, Upstream_AddedBelowKnownRevision_Known) {
  ASSERT_TRUE(Start());
  store_.Snapshot();
  RaiseRevision();
  store_.PutUpstream("i-2", "127.0.0.1:81", "ready", 1, 2000);
  ASSERT_TRUE(RunUntil([&] { return Has("i-2"); }));
  RestoreStore();
  store_.PutUpstream("i-3", "127.0.0.1:82", "ready", 1, 3000);
  EXPECT_TRUE(RunUntil([&] { return Has("i-3"); }));
}

// Guards against requests to an upstream that drains after a restore.
TEST_F(catalog_feed_restore_test, Upstream_DrainsBelowKnownRevision_Known) {
  ASSERT_TRUE(Start());
  store_.Snapshot();
  RaiseRevision();
  store_.PutUpstream("i-2", "127.0.0.1:81", "ready", 1, 2000);
  ASSERT_TRUE(RunUntil([&] { return Has("i-2"); }));
  RestoreStore();
  store_.PutUpstream("i-1", "127.0.0.1:80", "draining", 2, 1000);
  EXPECT_TRUE(RunUntil([&] {
    return Has("i-1") && upstreams_->at(upstream_id("i-1")).draining;
  }));
}

// Guards against requests to an upstream that has left, because the copy holds
// its entry from before.
TEST_F(catalog_feed_restore_test, Upstream_RemovedSinceCopy_StaysRemoved) {
  ASSERT_TRUE(Start());
  store_.PutUpstream("i-2", "127.0.0.1:81", "ready", 1, 2000);
  ASSERT_TRUE(RunUntil([&] { return Has("i-2"); }));
  store_.Snapshot();
  RaiseRevision();
  store_.Remove(platform::kUpstreamKind, "i-2");
  ASSERT_TRUE(RunUntil([&] { return !Has("i-2"); }));
  RestoreStore();
  store_.PutUpstream("i-3", "127.0.0.1:82", "ready", 1, 3000);
  ASSERT_TRUE(RunUntil([&] { return Has("i-3"); }));
  EXPECT_FALSE(Has("i-2"));
  // Its next heartbeat proves that it is alive.
  store_.PutUpstream("i-2", "127.0.0.1:83", "ready", 2, 2000);
  EXPECT_TRUE(RunUntil([&] { return Has("i-2"); }));
}

// Guards against requests to a draining upstream, which is ready in the copy.
TEST_F(catalog_feed_restore_test, Upstream_DrainingSinceCopy_StaysDraining) {
  ASSERT_TRUE(Start());
  store_.Snapshot();
  RaiseRevision();
  store_.PutUpstream("i-1", "127.0.0.1:80", "draining", 2, 1000);
  const auto draining = [&] {
    return Has("i-1") && upstreams_->at(upstream_id("i-1")).draining;
  };
  ASSERT_TRUE(RunUntil(draining));
  RestoreStore();
  store_.PutUpstream("i-3", "127.0.0.1:82", "ready", 1, 3000);
  ASSERT_TRUE(RunUntil([&] { return Has("i-3"); }));
  EXPECT_TRUE(draining());
}

// Guards against giving up an upstream that was added since the copy: its entry
// is written again within two seconds.
TEST_F(catalog_feed_restore_test, Upstream_AddedSinceCopy_KeptForGrace) {
  ASSERT_TRUE(Start());
  store_.Snapshot();
  RaiseRevision();
  store_.PutUpstream("i-2", "127.0.0.1:81", "ready", 1, 2000);
  ASSERT_TRUE(RunUntil([&] { return Has("i-2"); }));
  RestoreStore();
  store_.PutUpstream("i-3", "127.0.0.1:82", "ready", 1, 3000);
  ASSERT_TRUE(RunUntil([&] { return Has("i-3"); }));
  EXPECT_TRUE(Has("i-2"));
  EXPECT_TRUE(RunUntil([&] { return !Has("i-2"); }));
}

// Guards against going back to an older configuration with a key that has been
// revoked since, and against a next version that is noticed only when the
// revisions have passed the one known before.
TEST_F(catalog_feed_restore_test, Configuration_OlderInCopy_NeverGoesBack) {
  PutConfiguration(3, "old");
  ASSERT_TRUE(Start());
  store_.Snapshot();
  RaiseRevision();
  PutConfiguration(4, "new");
  ASSERT_TRUE(RunUntil([&] { return version() == 4; }));
  RestoreStore();
  context_.run_for(std::chrono::milliseconds(1500));
  EXPECT_EQ(version(), 4U);
  EXPECT_FALSE(deployments_.back()->keys.contains("old"));
  PutConfiguration(5, "next");
  ASSERT_TRUE(RunUntil([&] { return version() == 5; }));
  EXPECT_TRUE(deployments_.back()->keys.contains("next"));
  for (std::size_t i = 1; i < deployments_.size(); ++i) {
    EXPECT_GT(deployments_[i]->version, deployments_[i - 1]->version);
  }
}

// Guards against giving up the configuration in force for one that cannot be
// read, after a restore and without one.
TEST_F(catalog_feed_restore_test, Configuration_UnreadableInCopy_LastInForce) {
  ASSERT_TRUE(Start());
  PutConfiguration(3, "key");
  ASSERT_TRUE(RunUntil([&] { return version() == 3; }));
  store_.Put(platform::kConfigurationKind, platform::kConfigurationName,
             {{"version", 4}, {"routes", "none"}});
  store_.Snapshot();
  context_.run_for(std::chrono::milliseconds(300));
  RestoreStore();
  context_.run_for(std::chrono::milliseconds(500));
  EXPECT_EQ(version(), 3U);
  PutConfiguration(5, "next");
  EXPECT_TRUE(RunUntil([&] { return version() == 5; }));
}

// Guards against weights of an older version, and against a next version that
// is not noticed.
TEST_F(catalog_feed_restore_test, TargetVersion_OlderInCopy_NeverGoesBack) {
  ASSERT_TRUE(Start());
  store_.Snapshot();
  RaiseRevision();
  store_.PutVersion(2);
  ASSERT_TRUE(RunUntil([&] { return target_versions_.back() == 2; }));
  RestoreStore();
  context_.run_for(std::chrono::milliseconds(500));
  store_.PutVersion(3);
  ASSERT_TRUE(RunUntil([&] { return target_versions_.back() == 3; }));
  EXPECT_TRUE(std::is_sorted(target_versions_.begin(), target_versions_.end()));
}

/// \brief A gateway's control plane that follows evacuations.
class catalog_feed_evacuation_test : public catalog_feed_restore_test {
 protected:
  explicit catalog_feed_evacuation_test(
      std::optional<duration> relay_evacuation = kTimeout)
      : catalog_feed_restore_test(relay_evacuation, kTimeout) {
    store_.Put(platform::kEvacuationKind, "akl", nlohmann::json::object());
  }

  bool IsEvacuated(const std::string& data_centre) const {
    return evacuated_ && evacuated_->contains(data_centre_id(data_centre));
  }

  static constexpr seconds kTimeout{1};
};

/// \brief The same behind a relay of an older version.
class catalog_feed_older_relay_test : public catalog_feed_evacuation_test {
 protected:
  catalog_feed_older_relay_test()
      : catalog_feed_evacuation_test(std::nullopt) {}
};

// Guards against requests to an evacuated data centre from a gateway that has
// just started, or whose relay does not tell it of changes.
TEST_F(catalog_feed_evacuation_test, Evacuations_ThroughRelay_KnownFirst) {
  ASSERT_TRUE(Start());
  EXPECT_FALSE(upstreams_before_evacuations_);
  EXPECT_TRUE(IsEvacuated("akl"));
  const std::size_t calls = store_.lists(platform::kEvacuationKind);
  store_.Put(platform::kEvacuationKind, "wlg", nlohmann::json::object());
  store_.Remove(platform::kEvacuationKind, "akl");
  EXPECT_TRUE(
      RunUntil([&] { return IsEvacuated("wlg") && !IsEvacuated("akl"); }));
  EXPECT_EQ(store_.lists(platform::kEvacuationKind), calls);
}

// Guards against an evacuation that ends at the gateways because the store has
// come back from an older copy.
TEST_F(catalog_feed_evacuation_test, Evacuation_MissingInCopy_Kept) {
  ASSERT_TRUE(Start());
  store_.Snapshot();
  RaiseRevision();
  store_.Put(platform::kEvacuationKind, "wlg", nlohmann::json::object());
  ASSERT_TRUE(RunUntil([&] { return IsEvacuated("wlg"); }));
  RestoreStore();
  store_.PutUpstream("i-3", "127.0.0.1:82", "ready", 1, 3000);
  ASSERT_TRUE(RunUntil([&] { return Has("i-3"); }));
  EXPECT_TRUE(IsEvacuated("wlg"));
}

// Guards against missing evacuations behind a relay of an older version, which
// does not know them.
TEST_F(catalog_feed_older_relay_test, Evacuations_NotRelayed_StoreWatched) {
  ASSERT_TRUE(Start());
  EXPECT_TRUE(IsEvacuated("akl"));
  store_.Put(platform::kEvacuationKind, "wlg", nlohmann::json::object());
  EXPECT_TRUE(RunUntil([&] { return IsEvacuated("wlg"); }));
}

}  // namespace
}  // namespace fireflyslip
