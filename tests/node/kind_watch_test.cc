#include "node/kind_watch.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <functional>
#include <string>
#include <vector>

#include "fireflyslip/runtime.h"
#include "node/fake_store.h"

namespace fireflyslip {
namespace {

class kind_watch_test : public testing::Test {
 protected:
  kind_watch_test()
      : store_(context_),
        watch_(context_,
               store_.endpoint(),
               {platform::kUpstreamKind, milliseconds(300), milliseconds(0)},
               Handlers(),
               1) {
    store_.PutUpstream("i-1", "127.0.0.1:80");
    boost::asio::co_spawn(context_, watch_.Run(), boost::asio::detached);
  }

  kind_watch::handlers Handlers() {
    kind_watch::handlers callbacks;
    callbacks.on_response = [](duration) {};
    callbacks.on_list = [this](const platform::store_listing& listing) {
      for (const platform::store_object& object : listing.objects) {
        seen_.push_back(object.name);
      }
    };
    callbacks.on_change = [this](const platform::store_change& change) {
      seen_.push_back(change.object.name);
    };
    callbacks.on_confirmed = [this](const watch_freshness&,
                                    std::uint64_t revision) {
      revision_ = revision;
    };
    return callbacks;
  }

  bool RunUntil(const std::function<bool()>& condition) {
    constexpr seconds kLimit{10};
    const time_point end = MonotonicNow() + kLimit;
    while (!condition() && MonotonicNow() < end) {
      context_.run_for(std::chrono::milliseconds(5));
    }
    return condition();
  }

  boost::asio::io_context context_;
  fake_store store_;
  std::vector<std::string> seen_;
  std::uint64_t revision_ = 0;
  kind_watch watch_;
};

// Guards against store calls of a process that follows a relay.
TEST_F(kind_watch_test, NotFollowing_Always_StoreNotCalled) {
  context_.run_for(std::chrono::milliseconds(100));
  EXPECT_EQ(store_.calls(), 0U);
}

TEST_F(kind_watch_test, Following_StoreChanges_AllReported) {
  watch_.SetFollowing(true);
  ASSERT_TRUE(RunUntil([&] { return seen_.size() == 1; }));
  store_.PutUpstream("i-2", "127.0.0.1:81");
  ASSERT_TRUE(RunUntil([&] { return seen_.size() == 2; }));
  EXPECT_EQ(seen_.back(), "i-2");
}

// Guards against a list where a watch from the known revision does.
TEST_F(kind_watch_test, Following_RevisionKnown_OnlyLaterChanges) {
  watch_.AdvanceRevision(2);
  watch_.SetFollowing(true);
  store_.PutUpstream("i-2", "127.0.0.1:81");
  ASSERT_TRUE(RunUntil([&] { return !seen_.empty(); }));
  EXPECT_EQ(seen_, std::vector<std::string>{"i-2"});
}

// Guards against an upstream that comes back to the list, because a watch that
// was in progress while a relay reported its removal returns an older change.
TEST_F(kind_watch_test, Watch_ReturnsOlderThanKnown_Ignored) {
  watch_.SetFollowing(true);
  ASSERT_TRUE(RunUntil([&] { return seen_.size() == 1; }));
  watch_.AdvanceRevision(100);
  store_.PutUpstream("i-2", "127.0.0.1:81");
  context_.run_for(std::chrono::milliseconds(700));
  EXPECT_EQ(seen_, std::vector<std::string>{"i-1"});
  EXPECT_LT(revision_, 100U);
}

/// \brief A watch that is longer than the test waits.
class kind_watch_confirmation_test : public testing::Test {
 protected:
  kind_watch_confirmation_test()
      : store_(context_),
        watch_(context_,
               store_.endpoint(),
               {platform::kUpstreamKind, seconds(60), milliseconds(0)},
               Handlers(),
               1) {
    store_.PutUpstream("i-1", "127.0.0.1:80");
    watch_.AdvanceRevision(2);
    boost::asio::co_spawn(context_, watch_.Run(), boost::asio::detached);
  }

  kind_watch::handlers Handlers() {
    kind_watch::handlers callbacks;
    callbacks.on_response = [](duration) {};
    callbacks.on_failure = [this] { ++failures_; };
    callbacks.on_list = [](const platform::store_listing&) {};
    callbacks.on_change = [](const platform::store_change&) {};
    callbacks.on_confirmed = [this](const watch_freshness&, std::uint64_t) {
      ++confirmations_;
    };
    return callbacks;
  }

  bool RunUntil(const std::function<bool()>& condition) {
    constexpr seconds kLimit{10};
    const time_point end = MonotonicNow() + kLimit;
    while (!condition() && MonotonicNow() < end) {
      context_.run_for(std::chrono::milliseconds(5));
    }
    return condition();
  }

  boost::asio::io_context context_;
  fake_store store_;
  int failures_ = 0;
  int confirmations_ = 0;
  kind_watch watch_;
};

// Guards against a view that counts as stale for the length of a watch,
// although nothing has changed and the store responds.
TEST_F(kind_watch_confirmation_test, Following_RevisionKnown_ConfirmedAtOnce) {
  watch_.SetFollowing(true);
  EXPECT_TRUE(RunUntil([&] { return confirmations_ == 1; }));
}

// Guards against the same after failed requests.
TEST_F(kind_watch_confirmation_test, Failure_StoreResponds_ConfirmedAtOnce) {
  store_.set_mode(fake_store::mode::kRefuses);
  watch_.SetFollowing(true);
  ASSERT_TRUE(RunUntil([&] { return failures_ > 1; }));
  store_.set_mode(fake_store::mode::kUp);
  EXPECT_TRUE(RunUntil([&] { return confirmations_ == 1; }));
}

}  // namespace
}  // namespace fireflyslip
