#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <string>
#include <utility>

#include "fireflyslip/runtime.h"
#include "http/abrupt_server.h"
#include "node/relay_client.h"
#include "node/relay_message.h"

namespace fireflyslip {
namespace {

/// \brief Process that follows a relay whose answers are scripted.
class relay_broken_answer_test : public testing::Test {
 protected:
  /// \brief Polls the relay until it has sent this answer a few times. Returns
  /// how many of them the process has taken.
  static std::size_t CountTaken(const abrupt_answer& answer) {
    constexpr std::size_t kPolls = 2;
    std::size_t taken = 0;
    boost::asio::io_context context{1};
    abrupt_server relay(context,
                        [answer](const std::string&) { return answer; });
    relay_client::handlers callbacks;
    callbacks.query = [] {
      return relay_query{store_position{}, store_position{}, store_position{}};
    };
    callbacks.on_answer = [&taken](const relay_answer&, time_point) {
      ++taken;
    };
    callbacks.on_watch_store = [](bool) {};
    relay_client client(context, data_centre_id("akl"), relay.endpoint().port,
                        relay_policy{}, std::move(callbacks), 1);
    client.SetRelays({"127.0.0.1"});
    const time_point end = MonotonicNow() + seconds(20);
    while (relay.requests() < kPolls && MonotonicNow() < end) {
      context.run_for(milliseconds(5));
    }
    EXPECT_GE(relay.requests(), kPolls);
    context.run_for(milliseconds(50));
    return taken;
  }
};

// Guards against what a gateway or stager learns from a relay though the head
// of the answer is not sound.
TEST_F(relay_broken_answer_test, Relay_SpoiltHead_NotBelieved) {
  relay_answer fresh;
  fresh.fresh = true;
  const std::string body = EncodeRelayAnswer(fresh);
  EXPECT_GT(CountTaken({WithBody("HTTP/1.1 200 OK\r\nConnection: close\r\n",
                                 body_framing::kLength, body, false)}),
            0U);
  for (const abrupt_answer& answer : SpoiltAnswers(body)) {
    SCOPED_TRACE(answer.bytes.substr(0, 80));
    EXPECT_EQ(CountTaken(answer), 0U);
  }
}

}  // namespace
}  // namespace fireflyslip
