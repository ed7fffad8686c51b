#include "program/control_plane.h"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <deque>
#include <future>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "standins/platform_standin.h"
#include "standins/standin_client.h"

namespace fireflyslip {
namespace {

constexpr char kConfiguration[] =
    R"({"change_id":"c1","entries":{"akl":1},"workspaces":{},"models":{},)"
    R"("services":{},"upstreams":{}})";
// Only ends a test that hangs; no test result depends on speed.
constexpr std::chrono::seconds kTimeout{60};

/// Returns a port on which no process listened at the time of the call.
std::uint16_t FreePort() {
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor(
      context, {boost::asio::ip::address_v4::loopback(), 0});
  return acceptor.local_endpoint().port();
}

/// A process with a control plane and without traffic.
class process {
 public:
  explicit process(process_settings settings)
      : context_(std::move(settings)),
        control_(context_,
                 {[this](snapshot_pointer snapshot) {
                    const std::lock_guard lock(mutex_);
                    snapshot_ = std::move(snapshot);
                  },
                  [](const hello_message&) {}, [](const vm_id&) {},
                  [](const vm_id&, const link_message&) {},
                  [this] { ++pauses_; }}) {}

  control_plane& control() { return control_; }
  int pauses() const { return pauses_; }
  snapshot_pointer snapshot() {
    const std::lock_guard lock(mutex_);
    return snapshot_;
  }

 private:
  std::mutex mutex_;
  snapshot_pointer snapshot_ = std::make_shared<fleet_snapshot>();
  std::atomic<int> pauses_ = 0;
  process_context context_;
  control_plane control_;
};

class control_plane_test : public testing::Test {
 protected:
  static process_settings Settings(const std::string& vm,
                                   const std::string& data_centre,
                                   process_role role,
                                   std::uint16_t platform) {
    process_settings settings;
    settings.vm = vm_id(vm);
    settings.data_centre = data_centre_id(data_centre);
    settings.role = role;
    settings.link = {"127.0.0.1", FreePort()};
    settings.admin = {"127.0.0.1", FreePort()};
    settings.platform = {"127.0.0.1", platform};
    settings.shared_key = "key";
    settings.platform_watch_wait = milliseconds(500);
    return settings;
  }

  static seed_peer SeedOf(const process_settings& settings) {
    return {settings.vm, settings.role, settings.data_centre, settings.link,
            settings.admin};
  }

  static nlohmann::json ListEntry(const process_settings& settings) {
    return {{"vm", settings.vm.value()},
            {"data_centre", settings.data_centre.value()},
            {"role", ToString(settings.role)},
            {"link", "127.0.0.1:" + std::to_string(settings.link.port)},
            {"admin", "127.0.0.1:" + std::to_string(settings.admin.port)},
            {"state", "live"}};
  }

  process& Start(process_settings settings) {
    processes_.push_back(std::make_unique<process>(std::move(settings)));
    EXPECT_TRUE(IsOk(processes_.back()->control().Start()));
    return *processes_.back();
  }

  template <typename Condition>
  static bool WaitFor(Condition condition) {
    const auto deadline = std::chrono::steady_clock::now() + kTimeout;
    while (!condition()) {
      if (std::chrono::steady_clock::now() > deadline) {
        return false;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
  }

  static bool IsLeaving(process& observer, const char* vm) {
    const snapshot_pointer snapshot = observer.snapshot();
    const auto found = snapshot->members.find(vm_id(vm));
    return found != snapshot->members.end() && found->second.leaving;
  }

  standins::platform_standin platform_;
  std::deque<std::unique_ptr<process>> processes_;
};

// Guards against processes that do not receive configuration and members when
// only one process reaches the platform, and against lost leaving notices.
TEST_F(control_plane_test, OneReachesPlatform_AllLearnConfigurationAndMembers) {
  const std::uint16_t unreachable = FreePort();
  platform_.PutObject("configuration", kConfiguration);
  std::vector<process_settings> all = {
      Settings("akl-a1", "akl", process_role::kAgent, unreachable),
      Settings("akl-e1", "akl", process_role::kEntry, unreachable),
      Settings("wlg-a1", "wlg", process_role::kAgent, unreachable)};
  platform_.SetVms({ListEntry(all[0]), ListEntry(all[1]), ListEntry(all[2])});
  const standins::standin_host host(platform_);
  all[0].platform.port = host.port();
  // The other two know only the first one, as a seed peer.
  all[1].peers = {SeedOf(all[0])};
  all[2].peers = {SeedOf(all[0])};
  process& first = Start(all[0]);
  process& second = Start(all[1]);
  process& third = Start(all[2]);

  const auto converged = [&](std::uint64_t revision) {
    return WaitFor([&, revision] {
      for (const auto& process : processes_) {
        const snapshot_pointer snapshot = process->snapshot();
        if (snapshot->revision != revision || snapshot->members.size() != 3) {
          return false;
        }
      }
      return true;
    });
  };
  ASSERT_TRUE(converged(1));
  EXPECT_TRUE(WaitFor([&] {
    return second.snapshot()->members.at(vm_id("akl-a1")).eligible &&
           second.snapshot()->members.at(vm_id("wlg-a1")).eligible;
  }));

  const standins::standin_client client(host.port());
  ASSERT_EQ(client.Status("PUT", "/v1/objects/configuration", kConfiguration,
                          {{"If-Match", "\"1\""}}),
            200U);
  EXPECT_TRUE(converged(2));
  // An invalid configuration does not replace a valid one.
  ASSERT_EQ(client.Status("PUT", "/v1/objects/configuration", "{}",
                          {{"If-Match", "\"2\""}}),
            200U);
  ASSERT_EQ(client.Status("PUT", "/v1/objects/configuration", kConfiguration,
                          {{"If-Match", "\"3\""}}),
            200U);
  EXPECT_TRUE(converged(4));

  third.control().AnnounceLeaving();
  EXPECT_TRUE(WaitFor([&] { return IsLeaving(second, "wlg-a1"); }));
  EXPECT_FALSE(IsLeaving(second, "akl-a1"));
  // The VM list may state that a member leaves before its notice arrives.
  nlohmann::json entry = ListEntry(all[1]);
  entry["state"] = "leaving";
  ASSERT_EQ(client.Status("PUT", "/control/vms/akl-e1", entry.dump()), 200U);
  EXPECT_TRUE(WaitFor([&] { return IsLeaving(first, "akl-e1"); }));
}

// Guards against a process that uses expired leases after a pause.
TEST_F(control_plane_test, ControlThreadStopped_PauseIsReported) {
  process_settings settings =
      Settings("akl-a1", "akl", process_role::kAgent, FreePort());
  settings.pause_bound = milliseconds(200);
  process& paused = Start(settings);
  EXPECT_TRUE(WaitFor([&] {
    // Repeated, because the first pause may end before the first check.
    std::promise<void> ended;
    paused.control().thread().Post([&ended] {
      std::this_thread::sleep_for(std::chrono::milliseconds(400));
      ended.set_value();
    });
    ended.get_future().wait();
    return paused.pauses() > 0;
  }));
}

}  // namespace
}  // namespace fireflyslip
