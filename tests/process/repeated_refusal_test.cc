#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "process/gateway_fleet.h"
#include "process/refusing_upstream.h"

namespace fireflyslip::testing {
namespace {

constexpr std::size_t kGateways = 2;
constexpr int kCallers = 4;
constexpr int kMaxWaits = 200;
constexpr std::chrono::milliseconds kWaitInterval{50};
constexpr char kBookings[] = "bookings";
constexpr char kOrders[] = "orders";

bool IsPromise(int status) {
  return status == 503 || status == 429 || status == 408 || status == 421;
}

/// \brief Gateways with routes of two services whose requests must not run
/// twice.
class repeated_refusal_test : public ::testing::Test {
 protected:
  /// \brief Sends requests from several callers at once, some with long bodies.
  void SendAll(const std::string& service, int count) {
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (int caller = 0; caller < kCallers; ++caller) {
      callers.emplace_back([=, this] {
        for (int i = 0; i < count; ++i) {
          Send(service, caller, i);
        }
      });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    ++rounds_;
  }

  /// \brief Sends requests until each gateway has had one answered.
  void WaitUntilServed(const std::string& service) {
    for (int gateway = 0; gateway < static_cast<int>(kGateways); ++gateway) {
      int number = 0;
      while (Send(service, gateway, number) != 200 && number < kMaxWaits) {
        std::this_thread::sleep_for(kWaitInterval);
        ++number;
      }
    }
    ++rounds_;
  }

  void ExpectNoRuleBroken() {
    std::vector<std::string> refused;
    std::vector<std::string> twice;
    std::vector<std::string> denied;
    int run = 0;
    for (const auto& [attempt, status] : statuses_) {
      const std::size_t runs = record_.RunsOf(attempt);
      run += runs > 0 ? 1 : 0;
      if (runs > 0 && IsPromise(status)) {
        refused.push_back(attempt);
      }
      if (runs > 1) {
        twice.push_back(attempt);
      }
      if (status / 100 == 4 && !IsPromise(status)) {
        denied.push_back(attempt);
      }
    }
    const std::vector<std::string> none;
    EXPECT_EQ(refused, none) << "of " << statuses_.size() << " requests, "
                             << record_.copies() << " copies";
    EXPECT_EQ(twice, none);
    EXPECT_EQ(denied, none);
    EXPECT_GT(record_.copies(), 0);
    EXPECT_GT(run, 0);
  }

  static constexpr int kMaxAttempts = 2;
  run_record record_;
  gateway_fleet fleet_{kGateways,
                       {{"/bookings/", "non_idempotent", kMaxAttempts},
                        {"/orders/", "non_idempotent", kMaxAttempts}}};

 private:
  int Send(const std::string& service, int caller, int number) {
    constexpr std::size_t kLongBody = 300'000;
    std::string attempt = service;
    attempt += "-" + std::to_string(rounds_) + "-" + std::to_string(caller) +
               "-" + std::to_string(number);
    const std::string body(number % 8 == 3 ? kLongBody : 100, 'b');
    const http_answer answer =
        fleet_.Send(caller % kGateways, attempt, "/" + service + "/a", body);
    const std::scoped_lock lock(mutex_);
    return statuses_[attempt] = answer.status;
  }

  std::mutex mutex_;
  int rounds_ = 0;
  std::map<std::string, int> statuses_;  // by request
};

// Guards against a copy of the refusal for an id that an upstream had before a
// restart, which is taken for the refusal of the next try at that address.
TEST_F(repeated_refusal_test, Restart_OldEntryListed_RunsOnce) {
  refusing_upstream upstream("u-0", {}, record_);
  fleet_.AddUpstream("u-0", kBookings, upstream.port());
  for (int restart = 1; restart <= 4; ++restart) {
    const std::string id = "u-" + std::to_string(restart);
    upstream.SetId(id);
    fleet_.AddUpstream(id, kBookings, upstream.port());
    WaitUntilServed(kBookings);
    SendAll(kBookings, 4);
    fleet_.store().Remove("servers", "u-" + std::to_string(restart - 1));
  }
  ExpectNoRuleBroken();
}

// Guards against a copy of a refusal that is taken for the response to another
// request, or to another try of the same one, on the connection.
TEST_F(repeated_refusal_test, Upstreams_RefuseRequests_RunsOnce) {
  refusing_upstream first("u-1", {.refused_share = 0.4, .seed = 1}, record_);
  refusing_upstream second("u-2", {.refused_share = 0.4, .seed = 2}, record_);
  fleet_.AddUpstream("u-1", kBookings, first.port());
  fleet_.AddUpstream("u-2", kBookings, second.port());
  SendAll(kBookings, 12);
  ExpectNoRuleBroken();
}

// Guards against a copy for a service that had the address before.
TEST_F(repeated_refusal_test, Address_UsedByOtherService_RunsOnce) {
  refusing_upstream moved("b-1", {}, record_);
  refusing_upstream other("b-2", {.refused_share = 0.3}, record_);
  fleet_.AddUpstream("b-1", kBookings, moved.port());
  fleet_.AddUpstream("b-2", kBookings, other.port());
  SendAll(kBookings, 4);
  for (int round = 0; round < 2; ++round) {
    const std::string id = "o-" + std::to_string(round);
    moved.SetId(id);
    fleet_.AddUpstream(id, kOrders, moved.port());
    WaitUntilServed(kOrders);
    SendAll(kOrders, 4);
    SendAll(kBookings, 4);
  }
  ExpectNoRuleBroken();
}

}  // namespace
}  // namespace fireflyslip::testing
