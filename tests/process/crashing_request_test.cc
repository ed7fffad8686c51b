#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <list>
#include <string>
#include <thread>
#include <vector>

#include "process/crashing_upstream.h"
#include "process/gateway_fleet.h"

namespace fireflyslip::testing {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kGateways = 2;
constexpr int kUpstreams = 5;
constexpr int kCallers = 4;
/// Time in which all gateways must know of a crash.
constexpr milliseconds kContactTime{3000};
/// Retries that are allowed later than that after the third crash.
constexpr std::size_t kMaxLateRetries = 3;
constexpr milliseconds kRetryInterval{800};
constexpr int kSends = 16;

/// \brief Gateways before upstreams of a service without agents. One request
/// ends each upstream that begins to run it, and comes again at the gateways
/// in turn.
class crashing_request_test : public ::testing::Test {
 protected:
  void Run(const std::string& type) {
    gateway_fleet fleet(kGateways, {{"/orders/", type, 2}});
    crash_record record;
    std::list<crashing_upstream> upstreams;
    for (int i = 0; i < kUpstreams; ++i) {
      upstreams.emplace_back("u" + std::to_string(i), "orders",
                             type == "streaming", fleet, record);
    }
    while (Send(fleet, 0, "sound") != 200 || Send(fleet, 1, "sound") != 200) {
      std::this_thread::sleep_for(milliseconds(50));
    }
    std::atomic<bool> ended = false;
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (int caller = 0; caller < kCallers; ++caller) {
      callers.emplace_back([&, caller] {
        while (!ended) {
          CountSound(Send(fleet, static_cast<std::size_t>(caller) % kGateways,
                          "sound " + std::to_string(caller)));
          std::this_thread::sleep_for(milliseconds(10));
        }
      });
    }
    const std::string body = crashing_upstream::kMarker;
    auto next = std::chrono::steady_clock::now();
    for (int i = 0; i < kSends; ++i, next += kRetryInterval) {
      std::this_thread::sleep_until(next);
      Send(fleet, static_cast<std::size_t>(i) % kGateways, body);
    }
    ended = true;
    for (std::thread& caller : callers) {
      caller.join();
    }
    EXPECT_GE(record.crashes(), 3U);
    EXPECT_LE(record.ArrivalsAfterThirdCrash(kContactTime), kMaxLateRetries)
        << record.arrivals() << " arrivals in all";
    EXPECT_EQ(denied_, 0);
    EXPECT_GT(served_, 0);
  }

 private:
  int Send(gateway_fleet& fleet, std::size_t gateway, const std::string& body) {
    return fleet
        .Send(gateway, "a" + std::to_string(++attempts_), "/orders/a", body)
        .status;
  }

  void CountSound(int status) {
    served_ += status == 200 ? 1 : 0;
    denied_ += status / 100 == 4 && status != 429 && status != 408 ? 1 : 0;
  }

  std::atomic<int> attempts_ = 0;
  std::atomic<int> served_ = 0;
  std::atomic<int> denied_ = 0;
};

// Guards against a request that is sent to one upstream after the other,
// although each of them ends under it.
TEST_F(crashing_request_test, Idempotent_SentAgain_BlockedAfterThirdCrash) {
  Run("idempotent");
}

TEST_F(crashing_request_test, NonIdempotent_SentAgain_BlockedAfterThirdCrash) {
  Run("non_idempotent");
}

TEST_F(crashing_request_test, Stream_SentAgain_BlockedAfterThirdCrash) {
  Run("streaming");
}

}  // namespace
}  // namespace fireflyslip::testing
