#include "node/catalog_relay.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>

#include "node/fake_store.h"
#include "node/odd_entries.h"
#include "node/relay_client.h"

namespace fireflyslip {
namespace {

/// \brief A relay between a store and clients, on one thread.
class catalog_relay_test : public testing::Test {
 protected:
  /// \brief Process that follows the relay.
  struct follower {
    std::unique_ptr<relay_client> client;
    relay_query known{store_position{}, store_position{}, store_position{}};
    std::map<upstream_id, upstream_entry> upstreams;
    std::uint64_t configuration = 0;
    std::uint64_t version = 0;
    time_point version_published_at;  // not before
    std::optional<time_point> current_as_of;
    std::size_t answers = 0;
    std::size_t changes = 0;
    bool watches_store = false;
  };

  catalog_relay_test() : store_(context_) {
    settings_.platform = store_.endpoint();
    settings_.data_centre = data_centre_id("akl");
    settings_.rollout_timeout = seconds(2);
    // A whole configuration of some 150 bytes takes about half a second.
    settings_.link_mbps = 0.005;
    store_.PutConfiguration(1);
    store_.PutVersion(1);
    store_.PutUpstream("i-1", "127.0.0.1:80");
    relay_ = std::make_unique<catalog_relay>(context_, settings_, 1);
    const auto port = relay_->Listen({"127.0.0.1", 0});
    EXPECT_TRUE(IsOk(port));
    port_ = ValueOf(port);
  }

  follower& AddFollower() {
    follower& added = *followers_.emplace_back(std::make_unique<follower>());
    relay_client::handlers callbacks;
    callbacks.query = [&added] { return added.known; };
    callbacks.on_answer = [&added](const relay_answer& answer,
                                   time_point sent) {
      ++added.answers;
      added.known.upstreams =
          std::max(*added.known.upstreams, answer.upstreams->position);
      added.known.versions = answer.versions->position;
      added.known.configuration = answer.configuration->position;
      added.changes += answer.upstreams->changes.size();
      for (const upstream_change& change : answer.upstreams->changes) {
        added.upstreams.erase(change.id);
        if (change.entry) {
          added.upstreams.emplace(change.id, *change.entry);
        }
      }
      added.configuration = answer.configuration->version;
      const relayed_version& version =
          answer.versions->versions.begin()->second.back();
      added.version = version.version;
      added.version_published_at = sent + answer.held - version.age;
      added.current_as_of = sent + answer.held - answer.configuration->age;
    };
    callbacks.on_watch_store = [&added](bool watch) {
      added.watches_store = watch;
    };
    added.client = std::make_unique<relay_client>(
        context_, settings_.data_centre, port_, relay_policy{},
        std::move(callbacks), followers_.size());
    added.client->SetRelays({"127.0.0.1"});
    return added;
  }

  /// Polls with a long hold time from a revision of all kinds, in the era 1 or
  /// without an era; sets `done` at the response.
  void Poll(std::uint64_t revision, bool states_eras, bool& done) {
    std::string target = "/catalog?hold_us=50000000";
    for (const std::string kind : {"configuration", "upstreams", "versions"}) {
      target += "&" + kind + "=" + std::to_string(revision);
      target += states_eras ? "&" + kind + "_era=1" : "";
    }
    boost::asio::co_spawn(
        context_,
        [this, target, &done]() -> boost::asio::awaitable<void> {
          http_request request;
          request.target = target;
          const http_endpoint relay{"127.0.0.1", port_};
          const auto response = co_await poll_client_.Request(
              relay, std::move(request), seconds(60));
          done = IsOk(response);
        },
        boost::asio::detached);
  }

  /// Revisions rise by 50, then the store comes back from a copy before that
  /// and the relay has noticed it. Returns the highest revision before.
  std::uint64_t RestoreStore(const follower& process) {
    store_.Snapshot();
    for (int i = 0; i < 50; ++i) {
      store_.PutConfiguration(5);
    }
    store_.PutUpstream("i-2", "127.0.0.1:81");
    const std::uint64_t highest = store_.revision();
    EXPECT_TRUE(RunUntil([&] {
      return process.configuration == 5 && process.upstreams.size() == 2;
    }));
    store_.Restore();
    EXPECT_TRUE(RunUntil([&] {
      return store_.lists(platform::kConfigurationKind) > 1 &&
             store_.lists(platform::kUpstreamKind) > 1 &&
             store_.lists(platform::kVersionKind) > 1;
    }));
    context_.run_for(std::chrono::milliseconds(50));
    return highest;
  }

  /// Runs until the condition holds or the time is over.
  bool RunUntil(const std::function<bool()>& condition,
                duration limit = seconds(20)) {
    const time_point end = MonotonicNow() + limit;
    while (!condition() && MonotonicNow() < end) {
      context_.run_for(std::chrono::milliseconds(5));
    }
    return condition();
  }

  boost::asio::io_context context_;
  fake_store store_;
  node_settings settings_;
  std::unique_ptr<catalog_relay> relay_;
  unsigned short port_ = 0;
  http_client poll_client_{context_};
  std::vector<std::unique_ptr<follower>> followers_;
};

// Guards against a change that does not reach the processes behind a relay.
TEST_F(catalog_relay_test, Store_Changes_AllFollowersLearn) {
  for (int i = 0; i < 3; ++i) {
    AddFollower();
  }
  const auto all = [&](const std::function<bool(const follower&)>& holds) {
    return RunUntil([&] {
      return std::all_of(followers_.begin(), followers_.end(),
                         [&](const auto& item) { return holds(*item); });
    });
  };
  EXPECT_TRUE(all([](const follower& process) {
    return process.configuration == 1 && process.version == 1 &&
           process.upstreams.contains(upstream_id("i-1"));
  }));
  store_.PutConfiguration(4);
  store_.PutVersion(2);
  store_.PutUpstream("i-1", "127.0.0.1:80", "draining");
  store_.PutUpstream("i-2", "127.0.0.1:81");
  EXPECT_TRUE(all([](const follower& process) {
    const auto found = process.upstreams.find(upstream_id("i-1"));
    return process.configuration == 4 && process.version == 2 &&
           process.upstreams.size() == 2 && found->second.draining;
  }));
  store_.Remove(platform::kUpstreamKind, "i-1");
  EXPECT_TRUE(all([](const follower& process) {
    return !process.upstreams.contains(upstream_id("i-1"));
  }));
}

// Guards against store calls and messages that grow with the number of
// processes: a change goes to each one once, as a difference.
TEST_F(catalog_relay_test, Followers_Many_StoreCallsOfOneProcess) {
  for (int i = 0; i < 40; ++i) {
    store_.PutUpstream("r-" + std::to_string(i), "127.0.0.1:90");
  }
  for (int i = 0; i < 30; ++i) {
    AddFollower();
  }
  EXPECT_TRUE(RunUntil([&] {
    return std::all_of(followers_.begin(), followers_.end(),
                       [](const auto& f) { return f->upstreams.size() == 41; });
  }));
  // Three lists and the first watches.
  EXPECT_LE(store_.calls(), 10U);
  store_.PutUpstream("r-1", "127.0.0.1:90", "draining");
  EXPECT_TRUE(RunUntil([&] {
    return std::all_of(followers_.begin(), followers_.end(), [](const auto& f) {
      return f->upstreams.at(upstream_id("r-1")).draining;
    });
  }));
  for (const auto& process : followers_) {
    EXPECT_EQ(process->changes, 42U);
  }
}

// Guards against trust in a relay that has lost the store: its followers would
// not hear of draining upstreams and revoked keys.
TEST_F(catalog_relay_test, Store_Silent_FollowersWatchTheStoreThemselves) {
  follower& process = AddFollower();
  ASSERT_TRUE(RunUntil([&] { return process.configuration == 1; }));
  EXPECT_FALSE(process.watches_store);
  store_.set_mode(fake_store::mode::kSilent);
  EXPECT_TRUE(RunUntil([&] { return process.watches_store; }));
  store_.set_mode(fake_store::mode::kUp);
  EXPECT_TRUE(RunUntil([&] { return !process.watches_store; }));
}

// Guards against key revocations that count as known up to a time that the
// relay has not confirmed: the age must grow while the store is away.
TEST_F(catalog_relay_test, Store_Silent_AgeOfConfigurationGrows) {
  follower& process = AddFollower();
  ASSERT_TRUE(RunUntil([&] { return process.configuration == 1; }));
  const time_point silent_since = MonotonicNow();
  store_.set_mode(fake_store::mode::kSilent);
  ASSERT_TRUE(RunUntil([&] { return process.watches_store; }));
  EXPECT_LE(*process.current_as_of, silent_since);
}

// Guards against a relay that learns late of a version and passes it on as if
// it had just been published.
TEST_F(catalog_relay_test, Version_PublishedWhileStoreSilent_AgeCoversDelay) {
  follower& process = AddFollower();
  ASSERT_TRUE(RunUntil([&] { return process.version == 1; }));
  store_.set_mode(fake_store::mode::kSilent);
  ASSERT_TRUE(RunUntil([&] { return process.watches_store; }));
  const time_point published_at = MonotonicNow();
  store_.PutVersion(2);
  context_.run_for(std::chrono::milliseconds(300));
  store_.set_mode(fake_store::mode::kUp);
  ASSERT_TRUE(RunUntil([&] { return process.version == 2; }));
  EXPECT_LE(process.version_published_at, published_at);
}

// Guards against giving up the older version early: a version that arrives by
// an undisturbed watch is new.
TEST_F(catalog_relay_test, Version_PublishedWhileFollowed_New) {
  follower& process = AddFollower();
  ASSERT_TRUE(RunUntil([&] { return process.version == 1; }));
  context_.run_for(std::chrono::milliseconds(1500));
  const time_point before = MonotonicNow();
  store_.PutVersion(2);
  ASSERT_TRUE(RunUntil([&] { return process.version == 2; }));
  EXPECT_GE(process.version_published_at, before - seconds(1));
}

// Guards against the end of a relay by a malformed response of the store, and
// against followers that then trust it.
TEST_F(catalog_relay_test, Store_SendsGarbage_RelayContinuesAndRecovers) {
  follower& process = AddFollower();
  ASSERT_TRUE(RunUntil([&] { return process.configuration == 1; }));
  store_.set_mode(fake_store::mode::kGarbage);
  ASSERT_TRUE(RunUntil([&] { return process.watches_store; }));
  store_.PutConfiguration(2);
  store_.set_mode(fake_store::mode::kUp);
  EXPECT_TRUE(RunUntil([&] { return process.configuration == 2; }));
}

// Guards against requests for a configuration that the store does not serve to
// this VM: the relay provides its content.
TEST_F(catalog_relay_test, Configuration_ReadFromRelay_ContentOfNewest) {
  follower& process = AddFollower();
  store_.PutConfiguration(9);
  ASSERT_TRUE(RunUntil([&] { return process.configuration == 9; }));
  std::optional<result<versioned_content>> content;
  const versioned_content known;
  boost::asio::co_spawn(
      context_,
      [&]() -> boost::asio::awaitable<void> {
        content = co_await process.client->ReadConfiguration(known);
      },
      boost::asio::detached);
  ASSERT_TRUE(RunUntil([&] { return content.has_value(); }));
  ASSERT_TRUE(IsOk(*content));
  const versioned_content& read = ValueOf(*content);
  EXPECT_EQ(read.id.version, 9U);
  EXPECT_EQ(nlohmann::json::parse(read.text)["version"], 9);
}

// Guards against an empty answer to a process that starts while the
// configuration changes: its read waits for the link of the relay.
TEST_F(catalog_relay_test, Configuration_ChangesDuringRead_ReadSucceeds) {
  follower& process = AddFollower();
  ASSERT_TRUE(RunUntil([&] { return process.configuration == 1; }));
  const versioned_content known;
  std::vector<result<versioned_content>> contents;
  for (int i = 0; i < 2; ++i) {
    boost::asio::co_spawn(
        context_,
        [&]() -> boost::asio::awaitable<void> {
          auto content = co_await process.client->ReadConfiguration(known);
          contents.push_back(std::move(content));
        },
        boost::asio::detached);
  }
  ASSERT_TRUE(RunUntil([&] { return !contents.empty(); }));
  store_.PutConfiguration(2);
  ASSERT_TRUE(RunUntil([&] { return contents.size() == 2; }));
  EXPECT_TRUE(IsOk(contents[0]));
  EXPECT_TRUE(IsOk(contents[1]));
  EXPECT_EQ(process.configuration, 2U);
}

// Guards against an entry of another writer that ends a relay, or that hides
// the other upstreams and their changes from its followers.
TEST_F(catalog_relay_test, Upstreams_OddEntries_FollowersKnowTheOthers) {
  std::vector<odd_entry> entries = UnreadableEntries();
  for (odd_entry& entry : DeepEntries()) {
    entries.push_back(std::move(entry));
  }
  const auto put_all = [&](const std::function<std::string(int)>& spec) {
    for (int i = 0; i < std::ssize(entries); ++i) {
      store_.PutText(platform::kUpstreamKind, "odd-" + std::to_string(i),
                     spec(i));
    }
  };
  const auto odd = [&](int i) { return entries[i].spec; };
  const auto knows = [](const follower& process, const std::string& id) {
    return process.upstreams.contains(upstream_id(id));
  };
  put_all(odd);
  follower& process = AddFollower();
  ASSERT_TRUE(RunUntil([&] { return knows(process, "i-1"); }));
  EXPECT_EQ(process.upstreams.size(), 1U);
  put_all([](int) { return UpstreamSpec(); });
  ASSERT_TRUE(
      RunUntil([&] { return process.upstreams.size() == entries.size() + 1; }));
  put_all(odd);
  store_.PutUpstream("i-2", "127.0.0.1:81");
  ASSERT_TRUE(RunUntil([&] { return knows(process, "i-2"); }));
  EXPECT_TRUE(knows(process, "i-1"));
  for (int i = 0; i < std::ssize(entries); ++i) {
    EXPECT_FALSE(knows(process, "odd-" + std::to_string(i)))
        << entries[i].description;
  }
}

// Guards against upstreams with the same address that take the places of other
// relays.
TEST_F(catalog_relay_test, Relays_UpstreamsWithSameAddress_Distinct) {
  upstream_map upstreams;
  for (int i = 0; i < 4; ++i) {
    for (int port = 80; port < 90; ++port) {
      upstream_entry entry;
      entry.id = upstream_id(std::to_string(i) + "-" + std::to_string(port));
      entry.address = "10.0.0." + std::to_string(i) + ":";
      entry.address += std::to_string(port);
      entry.data_centre = data_centre_id("akl");
      entry.has_engine = true;
      upstreams.emplace(entry.id, entry);
    }
  }
  const std::vector<std::string> relays =
      SelectRelays(upstreams, data_centre_id("akl"));
  const std::set<std::string> distinct(relays.begin(), relays.end());
  EXPECT_GT(relays.size(), 1U);
  EXPECT_EQ(distinct.size(), relays.size());
}

// Guards against processes that turn to the store when the relays of their data
// centre have no current view.
TEST_F(catalog_relay_test, Relays_SeveralDataCentres_RemoteOnesInUseOffered) {
  upstream_map upstreams;
  for (const std::string place : {"akl", "chc", "wlg"}) {
    for (int i = 0; i < 4; ++i) {
      upstream_entry entry;
      entry.id = upstream_id(place + std::to_string(i));
      entry.address = "10.0." + std::to_string(place.front()) + ".";
      entry.address += std::to_string(i) + ":80";
      entry.data_centre = data_centre_id(place);
      entry.has_engine = true;
      upstreams.emplace(entry.id, entry);
    }
  }
  const auto relays = SelectRelays(upstreams, data_centre_id("akl"));
  ASSERT_EQ(relays.size(), 5U);
  const std::string own = "10.0." + std::to_string('a') + ".";
  for (const std::size_t index : {0U, 2U, 4U}) {
    EXPECT_TRUE(relays[index].starts_with(own));
  }
  const std::set<std::string> remote{relays[1], relays[3]};
  EXPECT_EQ(remote,
            (std::set{SelectRelays(upstreams, data_centre_id("chc")).front(),
                      SelectRelays(upstreams, data_centre_id("wlg")).front()}));
  const auto without_own = SelectRelays(upstreams, data_centre_id("dud"));
  EXPECT_EQ(without_own.size(), 2U);
}

// Guards against polls that are held after a restore, because the process knows
// a higher revision of the time before it.
TEST_F(catalog_relay_test, StoreRestored_PollFromHigherRevision_Answered) {
  follower& process = AddFollower();
  ASSERT_TRUE(RunUntil([&] { return process.configuration == 1; }));
  const std::uint64_t known = RestoreStore(process);
  store_.PutConfiguration(6);
  ASSERT_LT(store_.revision(), known);
  bool answered = false;
  Poll(known, true, answered);
  EXPECT_TRUE(RunUntil([&] { return answered; }));
}

// Guards against answering an older process, which states no era, at once
// again and again: its polls have no other delay than the time of holding.
TEST_F(catalog_relay_test, StoreRestored_PollWithoutEra_Held) {
  follower& process = AddFollower();
  ASSERT_TRUE(RunUntil([&] { return process.configuration == 1; }));
  const std::uint64_t known = RestoreStore(process);
  bool answered = false;
  Poll(known, false, answered);
  context_.run_for(std::chrono::milliseconds(500));
  EXPECT_FALSE(answered);
}

// Guards against an older configuration from a relay after a restore.
TEST_F(catalog_relay_test, StoreRestored_ConfigurationRead_NewestItHasHad) {
  follower& process = AddFollower();
  ASSERT_TRUE(RunUntil([&] { return process.configuration == 1; }));
  RestoreStore(process);
  std::optional<result<versioned_content>> content;
  const versioned_content known;
  boost::asio::co_spawn(
      context_,
      [&]() -> boost::asio::awaitable<void> {
        content = co_await process.client->ReadConfiguration(known);
      },
      boost::asio::detached);
  ASSERT_TRUE(RunUntil([&] { return content.has_value(); }));
  ASSERT_TRUE(IsOk(*content));
  const versioned_content& read = ValueOf(*content);
  EXPECT_EQ(read.id.version, 5U);
  EXPECT_EQ(nlohmann::json::parse(read.text)["version"], 5);
  EXPECT_EQ(process.configuration, 5U);
}

// Guards against trust in a relay that has not noticed a restore.
TEST_F(catalog_relay_test, Relay_OfOlderEraThanFollower_FollowerWatchesStore) {
  follower& process = AddFollower();
  ASSERT_TRUE(RunUntil([&] { return process.configuration == 1; }));
  process.known.upstreams = store_position{2, 1};
  EXPECT_TRUE(RunUntil([&] { return process.watches_store; }));
}

// Guards against watches that go on for nobody.
TEST_F(catalog_relay_test, Followers_None_StoreNotCalled) {
  context_.run_for(std::chrono::milliseconds(200));
  EXPECT_EQ(store_.calls(), 0U);
}

}  // namespace
}  // namespace fireflyslip
