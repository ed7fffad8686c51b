#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "gateway/catalog_feed.h"
#include "node/catalog_relay.h"
#include "node/fake_store.h"

namespace fireflyslip {
namespace {

/// \brief Gateways and a relay that start while versions of a model are
/// published.
class version_feed_test : public testing::Test {
 protected:
  struct gateway_process {
    std::uint64_t newest = 0;
    std::unique_ptr<version_targets> targets;
    std::unique_ptr<catalog_feed> feed;
  };

  version_feed_test() : store_(context_) {
    settings_.platform = store_.endpoint();
    settings_.data_centre = data_centre_id("akl");
    store_.PutConfiguration(1);
    store_.PutVersion(1);
    store_.PutUpstream("i-1", "127.0.0.1:80");
  }

  /// Starts a relay in place of the one that runs.
  void StartRelay() {
    relay_ = std::make_unique<catalog_relay>(context_, settings_, 1);
    const auto port = relay_->Listen({"127.0.0.1", 0});
    settings_.first_internal_port =
        static_cast<std::uint16_t>(ValueOf(port) - 3);
  }

  gateway_process& StartGateway() {
    gateway_process& started =
        *gateways_.emplace_back(std::make_unique<gateway_process>());
    started.targets =
        std::make_unique<version_targets>(settings_.SupersededAfter());
    catalog_feed::handlers callbacks;
    callbacks.on_deployment = [](const auto&) {};
    callbacks.on_upstreams = [](const auto&) {};
    callbacks.on_target_version = [&started](const model_name& model,
                                             std::uint64_t version,
                                             time_point published_at) {
      started.newest = version;
      started.targets->Publish(model, version, published_at, MonotonicNow());
    };
    callbacks.on_platform_responded = [] {};
    callbacks.on_keys_confirmed = [](time_point) {};
    started.feed = std::make_unique<catalog_feed>(context_, settings_,
                                                  callbacks, gateways_.size());
    started.feed->Start();
    return started;
  }

  bool RunUntilKnown(const gateway_process& gateway, std::uint64_t version) {
    const time_point end = MonotonicNow() + seconds(20);
    while (gateway.newest != version && MonotonicNow() < end) {
      context_.run_for(std::chrono::milliseconds(5));
    }
    return gateway.newest == version;
  }

  /// Time from which the gateway starts no requests on the first version.
  std::optional<time_point> FirstVersionEnd(
      const gateway_process& gateway) const {
    return gateway.targets->SupersededAt(model_name("m"), 1, MonotonicNow());
  }

  boost::asio::io_context context_;
  fake_store store_;
  node_settings settings_;
  std::unique_ptr<catalog_relay> relay_;
  std::vector<std::unique_ptr<gateway_process>> gateways_;
};

// Guards against a gateway that starts between two publications, hears of the
// newest version only, and uses weights again that were superseded before.
TEST_F(version_feed_test, Gateway_StartsAfterTwoPublications_FirstOneCounts) {
  StartRelay();
  const gateway_process& running = StartGateway();
  ASSERT_TRUE(RunUntilKnown(running, 1));
  store_.PutVersion(2);
  ASSERT_TRUE(RunUntilKnown(running, 2));
  const time_point second_known = MonotonicNow();
  context_.run_for(std::chrono::milliseconds(500));
  store_.PutVersion(3);
  ASSERT_TRUE(RunUntilKnown(running, 3));
  const gateway_process& started = StartGateway();
  ASSERT_TRUE(RunUntilKnown(started, 3));
  ASSERT_TRUE(FirstVersionEnd(started));
  EXPECT_LE(*FirstVersionEnd(started),
            second_known + settings_.SupersededAfter());
  EXPECT_EQ(started.targets->SupersededAt(model_name("m"), 3, MonotonicNow()),
            std::nullopt);
}

// Guards against the same if the relay has restarted, too, before the newest
// version was published, so that no process knows of the version before.
TEST_F(version_feed_test, Gateway_RelayStartedBetween_OldUsedForGraceOnly) {
  store_.PutVersion(2);
  store_.PutVersion(3);
  const time_point relay_start = MonotonicNow();
  StartRelay();
  const gateway_process& first = StartGateway();
  ASSERT_TRUE(RunUntilKnown(first, 3));
  context_.run_for(std::chrono::milliseconds(500));
  store_.PutVersion(5);
  ASSERT_TRUE(RunUntilKnown(first, 5));
  const gateway_process& second = StartGateway();
  ASSERT_TRUE(RunUntilKnown(second, 5));
  for (const gateway_process* gateway : {&first, &second}) {
    ASSERT_TRUE(FirstVersionEnd(*gateway));
    EXPECT_LE(*FirstVersionEnd(*gateway),
              relay_start + seconds(1) + settings_.startup_grace);
  }
}

}  // namespace
}  // namespace fireflyslip
