#include "node/kind_watch.h"

#include <gtest/gtest.h>

#include <algorithm>
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
                                    const store_position& position) {
      revision_ = position.revision;
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

  bool Saw(const std::string& name) const {
    return std::find(seen_.begin(), seen_.end(), name) != seen_.end();
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
  watch_.Advance({1, 2});
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
  watch_.Advance({1, 100});
  store_.PutUpstream("i-2", "127.0.0.1:81");
  context_.run_for(std::chrono::milliseconds(700));
  EXPECT_EQ(seen_, std::vector<std::string>{"i-1"});
  EXPECT_LT(revision_, 100U);
}

// Guards against a watch that goes on from a revision which the store has given
// out again after a restore: it returns only later changes, and those below it
// are never seen.
TEST_F(kind_watch_test, StoreRestored_RevisionGivenOutAgain_AllSeen) {
  watch_.SetFollowing(true);
  store_.Snapshot();
  for (int i = 0; i < 5; ++i) {
    store_.PutUpstream("lost", "127.0.0.1:81");
  }
  ASSERT_TRUE(RunUntil([&] { return revision_ == store_.revision(); }));
  seen_.clear();
  store_.Restore();
  for (int i = 0; i < 6; ++i) {
    store_.PutUpstream("again-" + std::to_string(i), "127.0.0.1:82");
  }
  ASSERT_TRUE(RunUntil([&] { return Saw("again-5"); }));
  EXPECT_TRUE(RunUntil([&] { return Saw("i-1") && Saw("again-0"); }));
  EXPECT_FALSE(Saw("lost"));
}

// Guards against a restored list that is taken for an old one, because its
// revision is lower than one known from a relay.
TEST_F(kind_watch_test, StoreRestored_Refresh_ListReported) {
  store_.Snapshot();
  store_.PutUpstream("lost", "127.0.0.1:81");
  watch_.SetFollowing(true);
  ASSERT_TRUE(RunUntil([&] { return Saw("lost"); }));
  watch_.SetFollowing(false);
  store_.Restore();
  seen_.clear();
  boost::asio::co_spawn(context_, watch_.Refresh(), boost::asio::detached);
  EXPECT_TRUE(RunUntil([&] { return Saw("i-1"); }));
  EXPECT_FALSE(Saw("lost"));
}

// Guards against the next change after a restore being noticed only when the
// revisions have passed the one known before.
TEST_F(kind_watch_test, StoreRestored_ChangeBelowKnownRevision_SeenAtOnce) {
  watch_.SetFollowing(true);
  store_.Snapshot();
  for (int i = 0; i < 50; ++i) {
    store_.PutUpstream("lost", "127.0.0.1:81");
  }
  ASSERT_TRUE(RunUntil([&] { return revision_ == store_.revision(); }));
  const std::uint64_t known = revision_;
  store_.Restore();
  ASSERT_TRUE(RunUntil([&] { return revision_ < known; }));
  store_.PutUpstream("next", "127.0.0.1:82");
  ASSERT_LT(store_.revision(), known);
  EXPECT_TRUE(RunUntil([&] { return Saw("next"); }));
}

// Guards against an endless loop of lists at a store that states no era.
TEST_F(kind_watch_test, StoreStatesNoEra_Changes_SeenWithoutList) {
  store_.set_era(std::nullopt);
  watch_.SetFollowing(true);
  ASSERT_TRUE(RunUntil([&] { return Saw("i-1"); }));
  store_.PutUpstream("i-2", "127.0.0.1:81");
  ASSERT_TRUE(RunUntil([&] { return Saw("i-2"); }));
  EXPECT_EQ(store_.lists(platform::kUpstreamKind), 1U);
}

// Guards against changes of an older copy that a delayed response contains, and
// against calls without delay while such responses arrive.
TEST_F(kind_watch_test, StoreStatesOlderEra_Changes_NotReported) {
  store_.set_era(5);
  watch_.SetFollowing(true);
  ASSERT_TRUE(RunUntil([&] { return Saw("i-1"); }));
  store_.set_era(4);
  store_.PutUpstream("i-2", "127.0.0.1:81");
  const std::size_t calls = store_.calls();
  context_.run_for(std::chrono::milliseconds(700));
  EXPECT_FALSE(Saw("i-2"));
  EXPECT_LT(store_.calls(), calls + 30);
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
    watch_.Advance({1, 2});
    boost::asio::co_spawn(context_, watch_.Run(), boost::asio::detached);
  }

  kind_watch::handlers Handlers() {
    kind_watch::handlers callbacks;
    callbacks.on_response = [](duration) {};
    callbacks.on_failure = [this] { ++failures_; };
    callbacks.on_list = [](const platform::store_listing&) {};
    callbacks.on_change = [](const platform::store_change&) {};
    callbacks.on_confirmed = [this](const watch_freshness&,
                                    const store_position&) {
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
