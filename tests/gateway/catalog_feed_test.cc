#include "gateway/catalog_feed.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

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
    callbacks.on_deployment = [](const auto&) {};
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

}  // namespace
}  // namespace fireflyslip
