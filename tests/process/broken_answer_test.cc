#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <string>
#include <thread>

#include "http/abrupt_server.h"
#include "process/gateway_fleet.h"

namespace fireflyslip::testing {
namespace {

// Guards against a part of an answer that a client of a gateway gets as a whole
// one: an upstream answers a long booking without a length, at any moment of
// its upload, and resets the connection. Each second answer ends in order
// before the reset and is whole.
TEST(broken_answer_process_test, Booking_ResetDuringUpload_PartNotForwarded) {
  using ending = abrupt_answer::ending;
  constexpr std::size_t kBookings = 60;
  constexpr std::size_t kUpload = 3'900'000;  // bytes; the limit is 4 MB
  constexpr std::size_t kStep = 5'000;        // bytes
  const std::string name = "Attempt-Id: id";
  boost::asio::io_context context{1};
  abrupt_server upstream(context, [&name](const std::string& head) {
    const std::size_t id =
        std::stoul(head.substr(head.find(name) + name.size()));
    abrupt_answer answer;
    answer.bytes = WithBody("HTTP/1.1 200 OK\r\n" + name + std::to_string(id) +
                                "\r\nResponse-Seal: seal\r\n",
                            body_framing::kNone, "body", false);
    answer.end = id % 2 == 0 ? ending::kReset : ending::kFinishAndReset;
    answer.read_first = id * kStep;
    return answer;
  });
  gateway_fleet fleet(1, {{"/bookings/", "non_idempotent", 1}});
  fleet.AddUpstream("i-1", "bookings", upstream.endpoint().port);
  std::jthread thread([&context] { context.run(); });
  std::size_t whole = 0;
  for (std::size_t i = 0; i < kBookings; ++i) {
    const http_answer answer =
        fleet.Send(0, "id" + std::to_string(i),
                   "/bookings/" + std::to_string(i), std::string(kUpload, 'x'));
    if (i % 2 == 0) {
      EXPECT_NE(answer.status, 200) << "booking " << i;
    } else {
      whole += answer.status == 200 && answer.body == "body" ? 1 : 0;
    }
  }
  context.stop();
  thread.join();
  EXPECT_LE(upstream.requests(), kBookings);
  EXPECT_GT(whole, 0U);
}

}  // namespace
}  // namespace fireflyslip::testing
