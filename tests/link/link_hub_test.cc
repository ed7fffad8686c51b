#include "fireflyslip/link/link_hub.h"

#include <gtest/gtest.h>

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace fireflyslip {
namespace {

constexpr std::chrono::seconds kTimeout{60};

/// \brief A `link_hub` that records the calls of its callbacks.
class recording_hub {
 public:
  explicit recording_hub(const std::string& vm, const std::string& key = "k")
      : hub_({vm_id(vm), data_centre_id("akl"), "entry", 1, key},
             {[this](const hello_message& peer) {
                Record("connected " + peer.vm.value());
              },
              [this](const vm_id& peer, const link_envelope&) {
                Record("message " + peer.value());
              },
              [this](const vm_id& peer) { Record("lost " + peer.value()); },
              [this](const vm_id& peer) { Record("failed " + peer.value()); },
              [](link_message message) {
                return link_envelope{1, 1, std::move(message)};
              }}) {
    const auto port = hub_.Listen("127.0.0.1", 0);
    port_ = IsOk(port) ? ValueOf(port) : 0;
    hub_.Start();
  }

  link_hub& hub() { return hub_; }
  unsigned short port() const { return port_; }

  bool WaitFor(const std::string& line) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, kTimeout, [&] {
      return std::count(lines_.begin(), lines_.end(), line) > 0;
    });
  }

 private:
  void Record(std::string line) {
    const std::lock_guard lock(mutex_);
    lines_.push_back(std::move(line));
    changed_.notify_all();
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> lines_;
  unsigned short port_ = 0;
  link_hub hub_;
};

class link_hub_test : public testing::Test {};

// Guards against messages that are not delivered in one of the directions.
TEST_F(link_hub_test, Send_ConnectedPeers_DeliversBothWays) {
  recording_hub a("a");
  recording_hub b("b");
  a.hub().Connect(vm_id("b"), "127.0.0.1", b.port());
  ASSERT_TRUE(a.WaitFor("connected b"));
  ASSERT_TRUE(b.WaitFor("connected a"));
  a.hub().Send(vm_id("b"), heartbeat_message{1, 2, 3});
  b.hub().Send(vm_id("a"), heartbeat_message{1, 2, 3});
  EXPECT_TRUE(a.WaitFor("message b"));
  EXPECT_TRUE(b.WaitFor("message a"));
}

// Guards against accepting a peer without the shared key.
TEST_F(link_hub_test, Connect_WrongKey_IsRefused) {
  recording_hub a("a", "wrong");
  recording_hub b("b");
  a.hub().Connect(vm_id("b"), "127.0.0.1", b.port());
  EXPECT_TRUE(a.WaitFor("failed b"));
}

// Guards against sending work to a VM that has the former address of another.
TEST_F(link_hub_test, Connect_OtherVmAtAddress_Fails) {
  recording_hub a("a");
  recording_hub b("b");
  a.hub().Connect(vm_id("c"), "127.0.0.1", b.port());
  EXPECT_TRUE(a.WaitFor("failed c"));
}

// Guards against a half-open link that blocks a new one to the same VM.
TEST_F(link_hub_test, Connect_SecondLinkToSameVm_ReplacesFirst) {
  recording_hub b("b");
  recording_hub first("a");
  first.hub().Connect(vm_id("b"), "127.0.0.1", b.port());
  ASSERT_TRUE(b.WaitFor("connected a"));
  recording_hub second("a");
  second.hub().Connect(vm_id("b"), "127.0.0.1", b.port());
  EXPECT_TRUE(b.WaitFor("lost a"));
  ASSERT_TRUE(second.WaitFor("connected b"));
  b.hub().Send(vm_id("a"), heartbeat_message{});
  EXPECT_TRUE(second.WaitFor("message b"));
}

}  // namespace
}  // namespace fireflyslip
