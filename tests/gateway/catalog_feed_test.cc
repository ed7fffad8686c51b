#include "gateway/catalog_feed.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <memory>

#include "node/fake_store.h"

namespace fireflyslip {
namespace {

/// \brief A gateway's control plane in front of a store, without relays.
class catalog_feed_test : public testing::Test {
 protected:
  catalog_feed_test() : store_(context_) {
    settings_.platform = store_.endpoint();
    settings_.data_centre = data_centre_id("akl");
    catalog_feed::handlers callbacks;
    callbacks.on_deployment = [](const auto&) {};
    callbacks.on_upstreams = [](const auto&) {};
    callbacks.on_target_version = [](const auto&, std::uint64_t, time_point) {};
    callbacks.on_platform_responded = [this] { ++responses_; };
    callbacks.on_keys_confirmed = [this](time_point) { ++confirmations_; };
    feed_ = std::make_unique<catalog_feed>(context_, settings_, callbacks, 1);
  }

  boost::asio::io_context context_;
  fake_store store_;
  node_settings settings_;
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

}  // namespace
}  // namespace fireflyslip
