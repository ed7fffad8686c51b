#include <gtest/gtest.h>

#include <deque>
#include <memory>

#include "fireflyslip/catalog.h"

namespace fireflyslip {
namespace {

class relay_selector_test : public testing::Test {
 protected:
  using selector = relay_selector;

  /// Handles an event and records the actions.
  void Send(const selector::event& event) {
    for (const selector::action& action : selector_.Handle(event, now_)) {
      if (const auto* poll = std::get_if<selector::poll>(&action)) {
        polled_ = *poll;
      }
      store_watches_ += std::holds_alternative<selector::watch_store>(action);
    }
  }
  void Answer(relay_poll_status status) {
    Send(selector::polled{polled_.address, status});
  }
  /// Advances the time and delivers the ticks that are due.
  void Advance(duration length) {
    const time_point end = now_ + length;
    for (auto due = selector_.NextDeadline(); due && *due <= end;
         due = selector_.NextDeadline()) {
      const auto before = *due;
      now_ = std::max(now_, *due);
      Send(tick{});
      if (selector_.NextDeadline() == before) {
        break;
      }
    }
    now_ = end;
  }
  void StartWith(const std::string& first, const std::string& second) {
    Send(selector::candidates_changed{{first, second}});
    Answer(relay_poll_status::kFresh);
  }

  relay_selector selector_{relay_policy{}, random_source(1)};
  time_point now_ = time_point(seconds(100));
  selector::poll polled_;
  int store_watches_ = 0;
};

// Guards against a fleet in which each process watches the store.
TEST_F(relay_selector_test, Relay_Fresh_StoreNotWatched) {
  StartWith("a", "b");
  for (int i = 0; i < 100; ++i) {
    now_ += milliseconds(800);
    Answer(relay_poll_status::kFresh);
    EXPECT_EQ(polled_.address, "a");
  }
  EXPECT_EQ(store_watches_, 0);
}

// Guards against a process that knows no relay and learns of no changes.
TEST_F(relay_selector_test, Candidates_None_StoreWatched) {
  Send(selector::candidates_changed{{}});
  EXPECT_EQ(store_watches_, 1);
}

// Guards against a process that starts while the store refuses the relays, and
// waits for them although the store responds to itself.
TEST_F(relay_selector_test, Start_AllRelaysStale_StoreWatched) {
  Send(selector::candidates_changed{{"a", "b", "c"}});
  const time_point end = now_ + relay_policy{}.max_start;
  while (now_ < end) {
    EXPECT_EQ(store_watches_, 0);
    now_ += relay_policy{}.hold;
    Answer(relay_poll_status::kStale);
  }
  EXPECT_EQ(store_watches_, 1);
}

// Guards against a process that polls without pause and never watches the
// store, because two upstreams have the same address.
TEST_F(relay_selector_test, Candidates_SameAddressTwice_BlockedAsOne) {
  Send(selector::candidates_changed{{"a", "a"}});
  Answer(relay_poll_status::kFailed);
  EXPECT_EQ(store_watches_, 1);
  ASSERT_TRUE(selector_.NextDeadline());
  EXPECT_GT(*selector_.NextDeadline(), now_);
}

// Guards against requests to a draining upstream, or with a revoked key, while
// a process waits for a relay that is cut off.
TEST_F(relay_selector_test, Current_Silent_StoreWatchedAfterMaxSilence) {
  StartWith("a", "b");
  Advance(relay_policy{}.max_silence);
  EXPECT_EQ(store_watches_, 0);
  Advance(milliseconds(1));
  EXPECT_EQ(store_watches_, 1);
}

// Guards against trusting a relay that is itself cut off from the store.
TEST_F(relay_selector_test, Current_Stale_StoreWatchedAndNextRelayPolled) {
  StartWith("a", "b");
  Answer(relay_poll_status::kStale);
  EXPECT_EQ(store_watches_, 1);
  EXPECT_EQ(polled_.address, "b");
  Answer(relay_poll_status::kFresh);
  EXPECT_FALSE(selector_.is_watching_store());
}

// Guards against a burst of store calls from all processes each time that they
// try a failed relay again while another one serves them.
TEST_F(relay_selector_test, Trial_Fails_CurrentRelayKept) {
  StartWith("a", "b");
  Answer(relay_poll_status::kFailed);
  Answer(relay_poll_status::kFresh);
  ASSERT_EQ(polled_.address, "b");
  store_watches_ = 0;
  int trials = 0;
  for (int i = 0; i < 50; ++i) {
    now_ += milliseconds(700);
    Answer(polled_.address == "b" ? relay_poll_status::kFresh
                                  : relay_poll_status::kFailed);
    if (polled_.address == "a") {
      ++trials;
      EXPECT_LE(polled_.hold, relay_policy{}.trial_hold);
      now_ += milliseconds(300);
      Answer(relay_poll_status::kFailed);
    }
  }
  EXPECT_GT(trials, 0);
  EXPECT_EQ(store_watches_, 0);
}

// Guards against a process that takes a relay for usable long after it was
// removed from the candidates, and never looks for others.
TEST_F(relay_selector_test, Candidates_RemovedDuringPoll_NotServedForLong) {
  StartWith("a", "b");
  Send(selector::candidates_changed{{}});
  Answer(relay_poll_status::kFresh);
  EXPECT_TRUE(selector_.IsServed(now_));
  store_watches_ = 0;
  Advance(relay_policy{}.max_silence + milliseconds(1));
  EXPECT_FALSE(selector_.IsServed(now_));
  EXPECT_EQ(store_watches_, 1);
}

// Guards against staying with the store after the relays have recovered.
TEST_F(relay_selector_test, Relays_Recover_StoreLeft) {
  StartWith("a", "b");
  Answer(relay_poll_status::kFailed);
  Answer(relay_poll_status::kFailed);
  ASSERT_TRUE(selector_.is_watching_store());
  polled_ = {};
  Advance(seconds(2));
  ASSERT_FALSE(polled_.address.empty());
  Answer(relay_poll_status::kFresh);
  EXPECT_FALSE(selector_.is_watching_store());
}

/// \brief Processes of one data centre in virtual time; polls that a relay
/// holds are answered after the hold time, or when the relay fails.
class relay_fleet {
 public:
  explicit relay_fleet(std::size_t processes,
                       const std::vector<std::string>& relays = {"a", "b",
                                                                 "c"}) {
    for (std::size_t i = 0; i < processes; ++i) {
      members_.emplace_back(relay_selector(relay_policy{}, random_source(i)));
      Handle(i, relay_selector::candidates_changed{relays});
    }
  }

  /// \param is_up whether a relay responds at a time.
  template <typename IsUp>
  void Run(time_point end, IsUp is_up) {
    constexpr milliseconds kStep{10};
    constexpr milliseconds kTimeout{400};
    for (; now_ < end; now_ += kStep) {
      for (std::size_t i = 0; i < members_.size(); ++i) {
        member& process = members_[i];
        if (process.poll) {
          const duration age = now_ - process.poll_sent;
          const bool up = is_up(process.poll->address, now_);
          if ((up && age >= process.poll->hold) ||
              (!up && age >= process.poll->hold + kTimeout)) {
            const std::string address = process.poll->address;
            process.poll.reset();
            Handle(i, relay_selector::polled{address,
                                             up ? relay_poll_status::kFresh
                                                : relay_poll_status::kFailed});
          }
        }
        const auto deadline = process.core.NextDeadline();
        if (deadline && *deadline <= now_) {
          Handle(i, tick{});
        }
      }
    }
  }

  /// Number of times that a process began to watch the store.
  std::size_t store_watches() const { return store_watches_; }
  /// Longest time for which a process watched the store.
  duration longest_store_watch() const { return longest_store_watch_; }
  std::size_t WatchingStore() const {
    std::size_t count = 0;
    for (const member& process : members_) {
      count += process.core.is_watching_store() ? 1 : 0;
    }
    return count;
  }

 private:
  struct member {
    explicit member(relay_selector selector) : core(std::move(selector)) {}

    relay_selector core;
    std::optional<relay_selector::poll> poll;
    time_point poll_sent;
    time_point store_watch_began;
  };

  void Handle(std::size_t index, const relay_selector::event& event) {
    member& process = members_[index];
    for (const auto& action : process.core.Handle(event, now_)) {
      if (const auto* poll = std::get_if<relay_selector::poll>(&action)) {
        process.poll = *poll;
        process.poll_sent = now_;
      } else if (std::holds_alternative<relay_selector::watch_store>(action)) {
        ++store_watches_;
        process.store_watch_began = now_;
      } else {
        longest_store_watch_ =
            std::max(longest_store_watch_, now_ - process.store_watch_began);
      }
    }
  }

  time_point now_ = time_point(seconds(100));
  std::deque<member> members_;
  std::size_t store_watches_ = 0;
  duration longest_store_watch_ = {};
};

// Guards against a data centre whose processes all read the configuration from
// the store at each change, because its relays have no current view: the relay
// of another data centre replaces them before the first of these reads.
TEST_F(relay_selector_test, Fleet_OwnRelaysLost_RemoteRelayUsedWithin350Ms) {
  relay_fleet fleet(61, {"own-1", "remote-1", "own-2", "remote-2", "own-3"});
  const time_point start(seconds(100));
  fleet.Run(start + seconds(40), [&](const std::string& relay, time_point now) {
    return relay.starts_with("remote") || now < start + seconds(20);
  });
  EXPECT_EQ(fleet.WatchingStore(), 0U);
  EXPECT_LE(fleet.longest_store_watch(), milliseconds(350));
}

// Guards against store calls that grow with processes times changes: replays a
// minute in which the relay in use is lost for good after 20 s, at the sizes to
// which the fleet grows. Each process may turn to the store once.
TEST_F(relay_selector_test, Fleet_RelayLost_EachProcessAsksStoreAtMostOnce) {
  for (const std::size_t processes : {30U, 100U, 300U, 1150U}) {
    relay_fleet fleet(processes);
    const time_point start(seconds(100));
    fleet.Run(start + seconds(60),
              [&](const std::string& relay, time_point now) {
                return relay != "a" || now < start + seconds(20);
              });
    EXPECT_LE(fleet.store_watches(), processes);
    EXPECT_EQ(fleet.WatchingStore(), 0U);
  }
}

// Guards against processes that hear of nothing after all relays of a data
// centre are lost.
TEST_F(relay_selector_test, Fleet_AllRelaysLost_AllWatchStoreWithinTwoSeconds) {
  relay_fleet fleet(300);
  const time_point start(seconds(100));
  fleet.Run(start + seconds(22), [&](const std::string&, time_point now) {
    return now < start + seconds(20);
  });
  EXPECT_EQ(fleet.WatchingStore(), 300U);
}

}  // namespace
}  // namespace fireflyslip
