#include "gateway/gateway_shutdown.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fireflyslip/http.h"
#include "gateway/gateway_fixture.h"

namespace fireflyslip {
namespace {

using boost::asio::awaitable;
using boost::asio::ip::tcp;

/// \brief Planned stop of a gateway; what it has not sent when the stop is
/// finished is lost with the process.
class gateway_shutdown_test : public testing_support::gateway_fixture {
 protected:
  static constexpr duration kDrainTimeout = seconds(3);

  /// \brief Answer to one request that is sent without waiting for it.
  struct pending_call {
    std::optional<result<http_response>> answer;

    int status() const {
      return answer && IsOk(*answer) ? ValueOf(*answer).status : 0;
    }
  };

  static std::size_t CountStatus(const std::vector<pending_call>& calls,
                                 int status) {
    return static_cast<std::size_t>(std::count_if(
        calls.begin(), calls.end(),
        [&](const auto& call) { return call.status() == status; }));
  }

  void StartCall(const http_request& request, pending_call& call) {
    boost::asio::co_spawn(context_, Send(request, call.answer),
                          boost::asio::detached);
  }

  /// \brief Runs all participants for a time, or until the stop is finished.
  void RunFor(duration time) {
    bool elapsed = false;
    boost::asio::steady_timer timer(context_, time);
    timer.async_wait(
        [&elapsed](const boost::system::error_code&) { elapsed = true; });
    while (!elapsed && !finished_) {
      context_.run_one();
    }
  }

  void StartShutdown() {
    started_at_ = MonotonicNow();
    shutdown_.Start();
  }

  /// \brief Runs until the stop is finished. Fails if a request is in progress
  /// then, or if the process would be killed before.
  void FinishShutdown() {
    while (!finished_) {
      context_.run_one();
    }
    EXPECT_EQ(gateway_->requests_in_progress(), 0U);
    EXPECT_LT(MonotonicNow() - started_at_, kDrainTimeout);
    // What was sent is delivered by the operating system.
    context_.run_for(milliseconds(20));
  }

  /// \brief Responds after a delay.
  handler RespondAfter(duration delay) {
    return [this, delay](http_request,
                         response_writer& writer) -> awaitable<void> {
      boost::asio::steady_timer timer(context_, delay);
      co_await timer.async_wait(boost::asio::use_awaitable);
      http_response answer = MakeResponse(200, "ok");
      co_await writer.Send(std::move(answer));
    };
  }

  /// \brief Sends the first event of a stream and no more.
  handler BeginStream() {
    return [this](http_request, response_writer& writer) -> awaitable<void> {
      http_response head = MakeStreamHead();
      co_await writer.Begin(std::move(head));
      std::string event = "id: 1\ndata: a\n\n";
      co_await writer.Write(std::move(event));
      boost::asio::steady_timer timer(context_, seconds(20));
      co_await timer.async_wait(boost::asio::use_awaitable);
    };
  }

  void SetTargetLatency(duration latency) {
    route book = MakeRoute("/book/", request_idempotency::kNonIdempotent);
    route look = MakeRoute("/look/", request_idempotency::kIdempotent);
    book.target_latency = latency;
    look.target_latency = latency;
    auto catalog = std::make_shared<deployment>(*gateway_->catalog());
    catalog->routes = route_table({book, look});
    gateway_->SetDeployment(catalog);
  }

  /// \brief Connects without running the gateway.
  tcp::socket Connect(boost::system::error_code* code = nullptr) {
    tcp::socket socket(context_);
    boost::system::error_code result;
    socket.connect({boost::asio::ip::make_address(gateway_endpoint_.address),
                    gateway_endpoint_.port},
                   result);
    if (code != nullptr) {
      *code = result;
    }
    return socket;
  }

  static void SendRaw(tcp::socket& socket, const std::string& path) {
    const std::string request = "POST " + path +
                                " HTTP/1.1\r\nHost: a.example\r\n"
                                "Attempt-Id: id1\r\nDeadline-Ms: 15000\r\n"
                                "Authorization: Bearer key\r\n"
                                "Content-Length: 4\r\n\r\nbody";
    boost::system::error_code code;
    socket.non_blocking(false);
    boost::asio::write(socket, boost::asio::buffer(request), code);
  }

  /// \brief Bytes that have arrived, and how the connection stands after them.
  static std::string ReceiveRaw(tcp::socket& socket,
                                boost::system::error_code& code) {
    socket.non_blocking(true);
    std::string received;
    std::array<char, 4096> buffer{};
    code = {};
    while (!code) {
      const std::size_t size =
          socket.read_some(boost::asio::buffer(buffer), code);
      received.append(buffer.data(), size);
    }
    return received;
  }

  bool finished_ = false;
  time_point started_at_;
  gateway_shutdown shutdown_{context_, *gateway_, kDrainTimeout,
                             [this] { finished_ = true; }};
};

// Guards against a connection that ends without an answer because the process
// exits while the upstream is still at work. The request may have run, so the
// client must not be told otherwise.
TEST_F(gateway_shutdown_test, Upstream_AtWorkAtTheEnd_502BeforeExit) {
  Configure();
  AddUpstream(RespondAfter(seconds(20)));
  pending_call book;
  pending_call look;
  StartCall(MakeRequest("/book/1"), book);
  StartCall(MakeRequest("/look/1"), look);
  RunFor(milliseconds(100));
  ASSERT_EQ(upstreams_[0]->received.size(), 2U);
  StartShutdown();
  FinishShutdown();
  EXPECT_EQ(book.status(), 502);
  EXPECT_EQ(look.status(), 502);
}

// Guards against an answer that is cut off although the upstream gives it
// within the drain timeout.
TEST_F(gateway_shutdown_test, Upstream_RespondsInTime_Forwarded) {
  Configure();
  AddUpstream(RespondAfter(milliseconds(2200)));
  pending_call book;
  StartCall(MakeRequest("/book/1"), book);
  RunFor(milliseconds(50));
  StartShutdown();
  FinishShutdown();
  EXPECT_EQ(book.status(), 200);
}

// Guards against a request that waits for an upstream and is cut off, or
// reported as possibly run, although it was sent to none.
TEST_F(gateway_shutdown_test, Request_WaitsForUpstream_503BeforeExit) {
  Configure();
  auto catalog = std::make_shared<deployment>(*gateway_->catalog());
  route waiting = MakeRoute("/book/", request_idempotency::kNonIdempotent);
  waiting.target_latency = seconds(18);
  catalog->routes = route_table({waiting});
  gateway_->SetDeployment(catalog);
  AddUpstream(RespondAfter(seconds(20)));
  entries_.begin()->second.slots = 1;
  gateway_->SetUpstreams(std::make_shared<const upstream_map>(entries_));
  constexpr std::size_t kCalls = 12;
  std::vector<pending_call> calls(kCalls);
  for (pending_call& call : calls) {
    StartCall(MakeRequest("/book/1"), call);
  }
  RunFor(milliseconds(100));
  const std::size_t sent = upstreams_[0]->received.size();
  ASSERT_LT(sent, kCalls);
  StartShutdown();
  FinishShutdown();
  EXPECT_EQ(upstreams_[0]->received.size(), sent);
  EXPECT_EQ(CountStatus(calls, 502), sent);
  EXPECT_EQ(CountStatus(calls, 503), kCalls - sent);
}

// Guards against a stream that is still open when the process exits, and
// against one that is ended as if it were complete.
TEST_F(gateway_shutdown_test, Stream_RunsAtTheEnd_EndedIncompleteBeforeExit) {
  Configure();
  AddUpstream(BeginStream());
  std::optional<partial_response> stream;
  boost::asio::co_spawn(context_, Receive(MakeRequest("/chat/1"), stream),
                        boost::asio::detached);
  // A stream without events is given up by the gateway after a few seconds.
  RunFor(milliseconds(50));
  StartShutdown();
  FinishShutdown();
  ASSERT_TRUE(stream);
  EXPECT_EQ(stream->status, 200);
  EXPECT_EQ(stream->body, "id: 1\ndata: a\n\n");
  EXPECT_FALSE(stream->complete);
}

// Guards against a request that arrives during the stop, must run at most once,
// and is passed on although it may last longer than the process.
TEST_F(gateway_shutdown_test, NonIdempotent_ArrivesLate_RefusedAndNotSent) {
  Configure();
  AddUpstream(RespondWith(MakeResponse(200, "ok")));
  StartShutdown();
  RunFor(seconds(1));
  const auto answer = Call(MakeRequest("/book/1"));
  ASSERT_TRUE(IsOk(answer));
  EXPECT_EQ(ValueOf(answer).status, 503);
  EXPECT_EQ(ValueOf(answer).Field(kOutcomeHeader), "not_run");
  EXPECT_EQ(ValueOf(answer).Field("Connection"), "close");
  EXPECT_NE(ValueOf(answer).Field("Retry-After"), "");
  EXPECT_TRUE(upstreams_[0]->received.empty());
  FinishShutdown();
}

// Guards against a stream that begins during the stop and is cut.
TEST_F(gateway_shutdown_test, Stream_ArrivesLate_RefusedAndNotSent) {
  Configure();
  AddUpstream(BeginStream());
  StartShutdown();
  EXPECT_EQ(CallStatus(MakeRequest("/chat/1")), 503);
  EXPECT_TRUE(upstreams_[0]->received.empty());
  FinishShutdown();
}

// Guards against refusing a short stream that usually ends long before the
// gateway, and against accepting a long one of the same route.
TEST_F(gateway_shutdown_test, Stream_ArrivesLate_ServedOnlyIfShort) {
  Configure();
  route chat = MakeRoute("/chat/", request_idempotency::kResumableStream);
  chat.target_latency = milliseconds(200);
  service_profile service;
  service.name = service_name("s");
  service.engine.emplace();
  service.engine->step_ms = 10;
  auto catalog = std::make_shared<deployment>(*gateway_->catalog());
  catalog->routes = route_table({chat});
  catalog->services[service.name] = service;
  gateway_->SetDeployment(catalog);
  AddUpstream(Stream("id: 1\ndata: a\n\n", true));
  StartShutdown();
  RunFor(seconds(1));
  http_request request = MakeRequest("/chat/1");
  request.fields.push_back({"Token-Count", "10,20"});
  EXPECT_EQ(CallStatus(request), 200);
  request.fields.back().value = "10,2000";
  EXPECT_EQ(CallStatus(request), 503);
  EXPECT_EQ(upstreams_[0]->received.size(), 1U);
  FinishShutdown();
}

// Guards against refusing a request that is usually finished long before the
// end, and against giving its upstream more time than the process has.
TEST_F(gateway_shutdown_test, Short_ArrivesLate_SentWithEarlierDeadline) {
  Configure();
  SetTargetLatency(milliseconds(200));
  AddUpstream(RespondWith(MakeResponse(200, "ok")));
  StartShutdown();
  RunFor(seconds(1));
  EXPECT_EQ(CallStatus(MakeRequest("/book/1")), 200);
  ASSERT_EQ(upstreams_[0]->received.size(), 1U);
  EXPECT_LT(
      std::stoi(std::string(upstreams_[0]->received[0].Field("Deadline-Ms"))),
      2000);
  FinishShutdown();
}

// Guards against any connection that ends without an answer to a request, at
// whatever time of the stop it is sent, on a new or on a kept connection.
TEST_F(gateway_shutdown_test, Requests_DuringTheWholeStop_AllAnswered) {
  Configure();
  int count = 0;
  AddUpstream([&](http_request, response_writer& writer) -> awaitable<void> {
    constexpr int kSlowEvery = 7;
    const duration delay =
        ++count % kSlowEvery == 0 ? duration(seconds(20)) : milliseconds(100);
    boost::asio::steady_timer timer(context_, delay);
    co_await timer.async_wait(boost::asio::use_awaitable);
    http_response answer = MakeResponse(200, "ok");
    co_await writer.Send(std::move(answer));
  });
  entries_.begin()->second.slots = 400;
  gateway_->SetUpstreams(std::make_shared<const upstream_map>(entries_));
  SetTargetLatency(milliseconds(200));
  constexpr std::size_t kKept = 100;
  std::vector<tcp::socket> kept;
  for (std::size_t i = 0; i < kKept; ++i) {
    kept.push_back(Connect());
    SendRaw(kept.back(), "/none/");  // answered without an upstream
  }
  RunFor(milliseconds(200));
  for (tcp::socket& socket : kept) {
    boost::system::error_code open;
    ASSERT_TRUE(ReceiveRaw(socket, open).starts_with("HTTP/1.1 404"));
    ASSERT_EQ(open, boost::asio::error::would_block);
  }
  std::vector<tcp::socket> used;
  std::size_t refused = 0;  // connections, not requests
  StartShutdown();
  for (int i = 0; !finished_; ++i) {
    const std::string path = i % 3 == 0 ? "/look/1" : "/book/1";
    if (i % 2 == 0 && !kept.empty()) {
      tcp::socket socket = std::move(kept.back());
      kept.pop_back();
      boost::system::error_code open;
      ReceiveRaw(socket, open);
      if (open == boost::asio::error::would_block) {
        SendRaw(socket, path);
        used.push_back(std::move(socket));
      }
    } else {
      boost::system::error_code code;
      tcp::socket socket = Connect(&code);
      if (!code) {
        SendRaw(socket, path);
        used.push_back(std::move(socket));
      } else {
        ++refused;
      }
    }
    RunFor(milliseconds(12));
  }
  EXPECT_EQ(gateway_->requests_in_progress(), 0U);
  EXPECT_GT(refused, 0U);
  std::map<std::string, int> answers;
  for (tcp::socket& socket : used) {
    boost::system::error_code closed;
    ++answers[ReceiveRaw(socket, closed).substr(0, 12)];
  }
  EXPECT_EQ(answers.count(""), 0U) << answers[""] << " of " << used.size();
  for (const auto& [status_line, number] : answers) {
    EXPECT_TRUE(status_line == "HTTP/1.1 200" ||
                status_line == "HTTP/1.1 502" || status_line == "HTTP/1.1 503")
        << status_line << ": " << number;
  }
  EXPECT_GT(answers["HTTP/1.1 200"], 0);
}

// Guards against refusing a request whose client does not wait beyond the end.
TEST_F(gateway_shutdown_test, Deadline_BeforeTheEnd_Served) {
  Configure();
  AddUpstream(RespondWith(MakeResponse(200, "ok")));
  StartShutdown();
  http_request request = MakeRequest("/book/1");
  request.fields[2].value = "1000";
  EXPECT_EQ(CallStatus(request), 200);
  FinishShutdown();
}

}  // namespace
}  // namespace fireflyslip
