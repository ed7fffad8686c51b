#include "fireflyslip/configuration.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fireflyslip {
namespace {

struct prefix_validator {
  status operator()(std::string_view body) const {
    if (body.starts_with("body ")) {
      return std::monostate();
    }
    return error{error_kind::kInvalidRequest, "not a body"};
  }
};

using relay = configuration_relay<prefix_validator>;
static_assert(decision_core<relay>);

std::string BodyOf(revision_number revision) {
  return "body " + std::to_string(revision);
}

relay_event::peer_configuration ConfigurationFrom(const vm_id& vm,
                                                  revision_number revision) {
  const std::string body = BodyOf(revision);
  return {vm, revision, body, digest::Of(body)};
}

template <typename T>
std::vector<T> Select(const std::vector<relay::action>& actions) {
  std::vector<T> selected;
  for (const auto& action : actions) {
    if (const T* found = std::get_if<T>(&action)) {
      selected.push_back(*found);
    }
  }
  return selected;
}

relay MakeRelay(const vm_id& vm,
                const data_centre_id& data_centre,
                std::uint64_t seed = 1) {
  return relay({}, vm, data_centre, random_source(seed), {});
}

class configuration_relay_test : public testing::Test {
 protected:
  configuration_relay_test() {
    Send(relay_event::started{});
    Send(relay_event::platform_failed{});
    Send(relay_event::peer_connected{peer_, data_centre_, 0});
    Send(relay_event::peer_connected{other_, data_centre_, 0});
  }

  std::vector<relay::action> Send(const relay::event& event) {
    return relay_.Handle(event, now_);
  }

  const data_centre_id data_centre_{"akl"};
  const vm_id peer_{"b"};
  const vm_id other_{"c"};
  time_point now_{seconds(10)};
  relay relay_ = MakeRelay(vm_id("a"), data_centre_);
};

// Guards against reverting to an earlier configuration because of late,
// duplicated or stale messages.
TEST_F(configuration_relay_test, Handle_LowerRevision_IsNotPublished) {
  using relay_action::publish;
  EXPECT_THAT(Select<publish>(Send(ConfigurationFrom(peer_, 5))),
              testing::SizeIs(1));
  EXPECT_THAT(Select<publish>(Send(ConfigurationFrom(peer_, 5))),
              testing::IsEmpty());
  EXPECT_THAT(Select<publish>(Send(ConfigurationFrom(other_, 4))),
              testing::IsEmpty());
  EXPECT_THAT(
      Select<publish>(Send(relay_event::platform_answered{4, BodyOf(4)})),
      testing::IsEmpty());
  EXPECT_EQ(relay_.revision(), 5U);
}

// Guards against using a corrupt body, and against requesting it from the same
// faulty peer indefinitely while another peer has the configuration.
TEST_F(configuration_relay_test, Handle_CorruptBody_RequestsFromAnotherPeer) {
  using relay_action::request_configuration;
  EXPECT_THAT(Send(relay_event::peer_heartbeat{peer_, 6}),
              testing::ElementsAre(request_configuration{peer_, 0}));
  EXPECT_THAT(Send(relay_event::peer_heartbeat{other_, 6}), testing::IsEmpty());
  relay_event::peer_configuration corrupt = ConfigurationFrom(peer_, 6);
  corrupt.body.back() = '7';
  const auto actions = Send(corrupt);
  EXPECT_THAT(Select<relay_action::publish>(actions), testing::IsEmpty());
  EXPECT_THAT(Select<request_configuration>(actions),
              testing::ElementsAre(request_configuration{other_, 0}));
  const std::string invalid = "no body";
  const auto refused = Send(
      relay_event::peer_configuration{other_, 6, invalid, digest::Of(invalid)});
  EXPECT_THAT(Select<relay_action::publish>(refused), testing::IsEmpty());
  EXPECT_THAT(Select<relay_action::report_rejected>(refused),
              testing::SizeIs(1));
}

// Guards against a restarted process that adopts a lower revision than before
// from a stale peer, and against waiting for an unresponsive platform.
TEST_F(configuration_relay_test, Started_StalePeer_UsesHighestRevision) {
  using relay_action::publish;
  relay restarted = MakeRelay(vm_id("a"), data_centre_);
  restarted.Handle(relay_event::started{}, now_);
  relay without_platform = restarted;
  EXPECT_THAT(
      Select<publish>(restarted.Handle(ConfigurationFrom(peer_, 3), now_)),
      testing::IsEmpty());
  EXPECT_THAT(Select<publish>(restarted.Handle(
                  relay_event::platform_answered{5, BodyOf(5)}, now_)),
              testing::ElementsAre(publish{5, BodyOf(5)}));
  without_platform.Handle(ConfigurationFrom(peer_, 3), now_);
  EXPECT_THAT(
      Select<publish>(without_platform.Handle(tick{}, now_ + seconds(2))),
      testing::ElementsAre(publish{3, BodyOf(3)}));
}

// Guards against not sending the body to a peer with an older revision.
TEST_F(configuration_relay_test, Request_OlderRevision_GetsBody) {
  Send(ConfigurationFrom(peer_, 5));
  EXPECT_THAT(Send(relay_event::peer_request{other_, 4}),
              testing::ElementsAre(relay_action::send_configuration{
                  other_, 5, BodyOf(5), digest::Of(BodyOf(5))}));
  EXPECT_THAT(Send(relay_event::peer_request{other_, 5}), testing::IsEmpty());
}

// Guards against a data centre with no watcher or with too many, also after
// watchers have failed.
TEST_F(configuration_relay_test, Members_AnySubset_ChoosesTwoWatchers) {
  std::vector<relay_member> members;
  for (int i = 0; i < 10; ++i) {
    members.push_back({vm_id("v" + std::to_string(i)), data_centre_});
    members.push_back({vm_id("r" + std::to_string(i)), data_centre_id("x")});
  }
  while (members.size() > 11) {  // ten of them are in the other data centre
    std::vector<vm_id> watchers;
    for (const relay_member& member : members) {
      relay node = MakeRelay(member.vm, data_centre_);
      node.Handle(relay_event::started{}, now_);
      node.Handle(relay_event::peer_connected{vm_id("p"), data_centre_, 0},
                  now_);
      node.Handle(relay_event::members_changed{members}, now_);
      if (member.data_centre == data_centre_ && node.IsWatcher()) {
        watchers.push_back(member.vm);
      }
    }
    ASSERT_THAT(watchers, testing::SizeIs(2));
    std::erase_if(members, [&](const relay_member& member) {
      return member.vm == watchers[0];
    });
  }
}

// Guards against overloading an unavailable platform: the delay between calls
// must grow.
TEST_F(configuration_relay_test, PlatformFailed_LongOutage_BoundsCalls) {
  int calls = 0;
  const time_point end = now_ + seconds(60);
  while (now_ < end) {
    now_ = std::max(now_, *relay_.NextDeadline());
    for (const relay::action& action : Send(tick{})) {
      if (std::holds_alternative<relay_action::read_platform>(action)) {
        ++calls;
        Send(relay_event::platform_failed{});
      }
    }
  }
  EXPECT_GE(calls, 10);
  EXPECT_LE(calls, 40);
}

// Simulates processes in two data centres, their links and the platform in
// virtual time.
class relay_fleet {
 public:
  explicit relay_fleet(std::uint64_t seed) : random_(seed) {
    for (const char* name : {"a1", "a2", "a3", "a4", "b1", "b2", "b3", "b4"}) {
      nodes_[vm_id(name)].data_centre = data_centre_id(std::string(name, 1));
    }
    for (const auto& [vm, node] : nodes_) {
      Restart(vm);
    }
  }

  void Restart(const vm_id& vm) {
    node& self = nodes_[vm];
    self.core = std::make_unique<relay>(
        MakeRelay(vm, self.data_centre, random_.Next()));
    self.watch.reset();
    self.published_revision = 0;
    Send(vm, relay_event::started{});
    std::vector<relay_member> members;
    for (auto& [other, peer] : nodes_) {
      members.push_back({other, peer.data_centre});
      if (other != vm && peer.core) {
        Send(other, relay_event::peer_lost{vm});
        Send(other, relay_event::peer_connected{vm, self.data_centre, 0});
        Send(vm, relay_event::peer_connected{other, peer.data_centre,
                                             peer.core->revision()});
      }
    }
    Send(vm, relay_event::members_changed{members});
  }

  void Run(duration time) {
    for (const time_point end = now_ + time; now_ < end;) {
      now_ += milliseconds(50);
      for (auto& [vm, node] : nodes_) {
        CompleteWatch(vm, node);
        if (node.core->NextDeadline() <= now_) {
          Send(vm, tick{});
        }
        if (now_.time_since_epoch() % seconds(1) == duration(0)) {
          for (const auto& [other, peer] : nodes_) {
            SendToPeer(other,
                       relay_event::peer_heartbeat{vm, node.core->revision()});
          }
        }
      }
      while (!in_flight_.empty() && in_flight_.begin()->first <= now_) {
        const auto [to, event] =
            in_flight_.extract(in_flight_.begin()).mapped();
        Send(to, event);
      }
    }
  }

  bool AllUse(revision_number revision) const {
    return std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& item) {
      return item.second.published_revision == revision;
    });
  }

  vm_id AnyNode() {
    return std::next(nodes_.begin(),
                     static_cast<std::ptrdiff_t>(random_.Below(8)))
        ->first;
  }

  revision_number accepted = 0;
  std::map<data_centre_id, bool> outage;
  bool faulty = false;
  // A lower revision or a wrong body was published.
  bool safety_violated = false;

 private:
  struct node {
    data_centre_id data_centre;
    std::unique_ptr<relay> core;
    std::optional<std::pair<revision_number, time_point>> watch;
    revision_number published_revision = 0;
  };

  void SendToPeer(const vm_id& to, relay::event event) {
    if (!faulty) {
      in_flight_.emplace(now_ + milliseconds(50), std::pair(to, event));
      return;
    }
    // Drops, delays, duplicates or corrupts messages.
    for (auto copies = random_.Below(3); copies > 0; --copies) {
      if (auto* body = std::get_if<relay_event::peer_configuration>(&event);
          body != nullptr && random_.Below(4) == 0) {
        body->body += '0';
      }
      in_flight_.emplace(now_ + milliseconds(random_.Below(3000)),
                         std::pair(to, event));
    }
  }

  void CompleteWatch(const vm_id& vm, node& node) {
    if (!node.watch.has_value()) {
      return;
    }
    const auto [since, until] = *node.watch;
    if (outage[node.data_centre]) {
      node.watch.reset();
      Send(vm, relay_event::platform_failed{});
    } else if (accepted > since) {
      node.watch.reset();
      Send(vm, relay_event::platform_answered{accepted, BodyOf(accepted)});
    } else if (now_ >= until) {
      node.watch.reset();
      Send(vm, relay_event::watch_returned{});
    }
  }

  void Send(const vm_id& vm, const relay::event& event) {
    node& node = nodes_[vm];
    for (const relay::action& action : node.core->Handle(event, now_)) {
      std::visit(
          overloaded{
              [&](const relay_action::read_platform&) {
                node.watch = std::pair(revision_number(0), now_);
              },
              [&](const relay_action::watch_platform& a) {
                node.watch = std::pair(a.since, now_ + a.wait);
              },
              [&](const relay_action::send_configuration& a) {
                SendToPeer(a.vm, relay_event::peer_configuration{
                                     vm, a.revision, a.body, a.body_digest});
              },
              [&](const relay_action::request_configuration& a) {
                SendToPeer(a.vm,
                           relay_event::peer_request{vm, a.known_revision});
              },
              [&](const relay_action::publish& a) {
                safety_violated = safety_violated ||
                                  a.revision <= node.published_revision ||
                                  a.body != BodyOf(a.revision);
                node.published_revision = a.revision;
              },
              [](const relay_action::report_rejected&) {}},
          action);
    }
  }

  random_source random_;
  time_point now_;
  std::map<vm_id, node> nodes_;
  std::multimap<time_point, std::pair<vm_id, relay::event>> in_flight_;
};

// Guards against a process that lacks an accepted configuration more than 18 s
// after the faults have ended, and against any decrease of the revision during
// the faults.
RC_GTEST_FIXTURE_PROP(configuration_relay_test,
                      Fleet_FaultsEnd_AllUseNewestWithin18Seconds,
                      (std::uint64_t seed)) {
  relay_fleet fleet(seed);
  fleet.accepted = 1;
  for (int i = *rc::gen::inRange(0, 12); i > 0; --i) {
    fleet.faulty = *rc::gen::arbitrary<bool>();
    fleet.outage[data_centre_id("a")] = *rc::gen::arbitrary<bool>();
    fleet.outage[data_centre_id("b")] = *rc::gen::arbitrary<bool>();
    fleet.accepted += *rc::gen::inRange(0U, 3U);
    if (*rc::gen::arbitrary<bool>()) {
      fleet.Restart(fleet.AnyNode());
    }
    fleet.Run(milliseconds(*rc::gen::inRange(0, 5000)));
  }
  // One data centre may stay disconnected from the platform and receive the
  // configuration from the other one.
  fleet.faulty = false;
  fleet.outage.clear();
  fleet.outage[data_centre_id("a")] = *rc::gen::arbitrary<bool>();
  fleet.Run(seconds(18));
  RC_ASSERT(!fleet.safety_violated);
  RC_ASSERT(fleet.AllUse(fleet.accepted));
}

}  // namespace
}  // namespace fireflyslip
