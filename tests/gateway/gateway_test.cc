#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "fireflyslip/core/hash.h"
#include "gateway/gateway_fixture.h"

namespace fireflyslip {
namespace {

using boost::asio::awaitable;

class gateway_test : public testing_support::gateway_fixture {};

// Guards against status 404 from a gateway without a configuration.
TEST_F(gateway_test, Request_BeforeConfiguration_503) {
  EXPECT_EQ(CallStatus(MakeRequest("/look/1")), 503);
}

TEST_F(gateway_test, Request_UnknownRouteOrKey_404Or401) {
  Configure();
  EXPECT_EQ(CallStatus(MakeRequest("/none/1")), 404);
  EXPECT_EQ(CallStatus(MakeRequest("/look/1", "other")), 401);
}

// Guards against accepting keys whose revocation may not be known yet.
TEST_F(gateway_test, Request_KeysStale_503) {
  Configure();
  AddUpstream(RespondWith(MakeResponse(200, "ok")));
  gateway_->ConfirmKeys(MonotonicNow() - seconds(6));
  EXPECT_EQ(CallStatus(MakeRequest("/look/1")), 503);
}

TEST_F(gateway_test, Request_Served_FieldsAndBodyForwarded) {
  Configure();
  upstream& server = AddUpstream(RespondWith(MakeResponse(200, "answer")));
  const auto answer = Call(MakeRequest("/book/1"));
  ASSERT_TRUE(IsOk(answer));
  EXPECT_EQ(ValueOf(answer).body, "answer");
  EXPECT_EQ(ValueOf(answer).Field("Response-Seal"), "seal");
  ASSERT_EQ(server.received.size(), 1U);
  const http_request& received = server.received.front();
  EXPECT_EQ(received.body, "body");
  EXPECT_EQ(received.Field("Host"), "a.example");
  EXPECT_EQ(received.Field("Authorization"), "");
  EXPECT_EQ(received.Field("Tenant"), "w");
  EXPECT_EQ(received.Field("Expect-Instance"), "i-1");
}

// Guards against a request that waits while its route is bound to a region, and
// is then sent to another one.
TEST_F(gateway_test, Request_RegionChangesWhileQueued_NotSentElsewhere) {
  Configure();
  upstream& local = AddUpstream(RespondWith(MakeResponse(200, "answer")));
  entries_.begin()->second.draining = true;
  gateway_->SetUpstreams(std::make_shared<const upstream_map>(entries_));
  std::optional<http_response> answer;
  boost::asio::co_spawn(
      context_,
      [&]() -> awaitable<void> {
        http_request request = MakeRequest("/look/1");
        const auto received = co_await client_.Request(
            gateway_endpoint_, std::move(request), seconds(10));
        answer = IsOk(received) ? ValueOf(received) : http_response{};
      },
      boost::asio::detached);
  context_.run_for(std::chrono::milliseconds(50));
  auto catalog = std::make_shared<deployment>();
  catalog->version = 2;
  route bound = MakeRoute("/look/", request_idempotency::kIdempotent);
  bound.regions = region_restriction({region_id("other")});
  catalog->routes = route_table({bound});
  gateway_->SetDeployment(catalog);
  entries_.begin()->second.draining = false;
  gateway_->SetUpstreams(std::make_shared<const upstream_map>(entries_));
  while (!answer) {
    context_.run_one();
  }
  EXPECT_EQ(answer->status, 503);
  EXPECT_TRUE(local.received.empty());
}

// Guards against executing a non-idempotent request twice when its response is
// lost.
TEST_F(gateway_test, NonIdempotent_ResponseLost_502AndNotRetried) {
  Configure();
  AddUpstream(CloseConnection());
  upstream& second = AddUpstream(RespondWith(MakeResponse(200, "ok")));
  EXPECT_EQ(CallStatus(MakeRequest("/book/1")), 502);
  EXPECT_TRUE(second.received.empty());
}

// Guards against rejecting a request that one upstream did not run although
// another upstream is available.
TEST_F(gateway_test, NonIdempotent_NotExecuted_RetriedElsewhere) {
  Configure();
  http_response refusal = MakeResponse(503, "");
  refusal.fields.push_back({"Not-Executed", "1"});
  AddUpstream(RespondWith(refusal));
  AddUpstream(RespondWith(MakeResponse(200, "ok")));
  for (int i = 0; i < 20; ++i) {  // fills the retry budget
    gateway_->RetryBudget(service_name("s")).CountRequest(MonotonicNow());
  }
  EXPECT_EQ(CallStatus(MakeRequest("/book/1")), 200);
}

// Guards against retries that are decided while the budget allows them, but
// sent in a later window with others, because they wait for a place.
TEST_F(gateway_test, Retry_WaitsUntilBudgetExpires_NotSent) {
  settings_.retry_window = milliseconds(250);
  gateway_ = std::make_unique<gateway>(context_, settings_, counters_, 1);
  const auto port = gateway_->Listen();
  ASSERT_TRUE(IsOk(port));
  gateway_endpoint_ = {"127.0.0.1", ValueOf(port)};
  Configure();
  http_response refusal = MakeResponse(503, "");
  refusal.fields.push_back({"Not-Executed", "1"});
  AddUpstream(RespondWith(refusal));
  upstream& slow = AddUpstream(
      [this](http_request, response_writer& writer) -> awaitable<void> {
        boost::asio::steady_timer timer(context_, milliseconds(600));
        co_await timer.async_wait(boost::asio::use_awaitable);
        http_response answer = MakeResponse(200, "ok");
        co_await writer.Send(std::move(answer));
      });
  entries_[upstream_id("i-2")].slots = 1;
  gateway_->SetUpstreams(std::make_shared<const upstream_map>(entries_));
  for (int i = 0; i < 5; ++i) {
    AllowRetries();
  }
  // One more than the second upstream gets at the same time.
  std::array<std::optional<result<http_response>>, 6> answers;
  const http_request request = MakeRequest("/look/1");
  for (auto& answer : answers) {
    boost::asio::co_spawn(context_, Send(request, answer),
                          boost::asio::detached);
  }
  context_.restart();
  while (std::any_of(answers.begin(), answers.end(),
                     [](const auto& answer) { return !answer; })) {
    context_.run_one();
  }
  std::map<int, int> statuses;
  for (const auto& answer : answers) {
    ASSERT_TRUE(IsOk(*answer));
    ++statuses[ValueOf(*answer).status];
  }
  EXPECT_EQ(statuses, (std::map<int, int>{{200, 5}, {503, 1}}));
  EXPECT_EQ(slow.received.size(), 5U);
}

// Guards against a response without a retry delay when no upstream ran the
// request and no further upstream is available.
TEST_F(gateway_test, NonIdempotent_NotExecutedAnywhere_503WithRetryAfter) {
  Configure();
  http_response refusal = MakeResponse(503, "");
  refusal.fields.push_back({"Not-Executed", "1"});
  AddUpstream(RespondWith(refusal));
  const auto answer = Call(MakeRequest("/book/1"));
  ASSERT_TRUE(IsOk(answer));
  EXPECT_EQ(ValueOf(answer).status, 503);
  EXPECT_NE(ValueOf(answer).Field("Retry-After"), "");
}

// Guards against forwarding the response to another request on the same
// connection.
TEST_F(gateway_test, Idempotent_ResponseToOtherRequest_RetriedElsewhere) {
  Configure();
  http_response other = MakeResponse(200, "other");
  other.fields[0].value = "id0";
  AddUpstream(RespondWith(other));
  AddUpstream(RespondWith(MakeResponse(200, "own")));
  for (int i = 0; i < 20; ++i) {
    gateway_->RetryBudget(service_name("s")).CountRequest(MonotonicNow());
  }
  const auto answer = Call(MakeRequest("/look/1"));
  ASSERT_TRUE(IsOk(answer));
  EXPECT_EQ(ValueOf(answer).body, "own");
}

// Guards against an upstream that gets more requests than the limit that it
// states in its responses, while another one takes them.
TEST_F(gateway_test, Upstream_StatesRateLimit_NotExceeded) {
  Configure();
  constexpr double kLimit = 0.5;
  http_response limited = MakeResponse(200, "ok");
  limited.fields.push_back({"Server-Limit", std::to_string(kLimit)});
  upstream& first = AddUpstream(RespondWith(limited));
  AddUpstream(RespondWith(MakeResponse(200, "ok")));
  const time_point start = MonotonicNow();
  for (int i = 0; i < 40; ++i) {
    EXPECT_EQ(CallStatus(MakeRequest("/look/1")), 200);
  }
  const double elapsed_s = ToSeconds(MonotonicNow() - start);
  EXPECT_LE(static_cast<double>(first.received.size()), 2 + kLimit * elapsed_s);
}

// Guards against new requests to an upstream that has stated that it is
// leaving, while the platform still lists it.
TEST_F(gateway_test, Upstream_StatesLeaving_NoNewRequests) {
  Configure();
  http_response last = MakeResponse(200, "ok");
  last.fields.push_back({"Server-Leaving", "1"});
  upstream& first = AddUpstream(RespondWith(last));
  AddUpstream(RespondWith(MakeResponse(200, "ok")));
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(CallStatus(MakeRequest("/look/1")), 200);
  }
  EXPECT_EQ(first.received.size(), 1U);
}

// Guards against requests to an upstream that has turned one away and asked for
// a pause; the client is told when to come back if no other one is left.
TEST_F(gateway_test, Upstream_AsksForPause_NoRequestsMeanwhile) {
  Configure();
  http_response refusal = MakeResponse(503, "");
  refusal.fields.push_back({"Not-Executed", "1"});
  refusal.fields.push_back({"Retry-After", "30"});
  upstream& server = AddUpstream(RespondWith(refusal));
  EXPECT_EQ(CallStatus(MakeRequest("/look/1")), 503);
  for (int i = 0; i < 5; ++i) {
    const auto answer = Call(MakeRequest("/look/1"));
    ASSERT_TRUE(IsOk(answer));
    EXPECT_EQ(ValueOf(answer).status, 503);
    EXPECT_GT(std::stod(std::string(ValueOf(answer).Field("Retry-After"))), 20);
  }
  EXPECT_EQ(server.received.size(), 1U);
}

// Guards against forwarding a successful response without a signature.
TEST_F(gateway_test, NonIdempotent_UnsignedResponse_502) {
  Configure();
  http_response unsigned_answer = MakeResponse(200, "ok");
  unsigned_answer.fields.pop_back();
  AddUpstream(RespondWith(unsigned_answer));
  EXPECT_EQ(CallStatus(MakeRequest("/book/1")), 502);
}

// Guards against replacing an error response of the upstream by another one.
TEST_F(gateway_test, NonIdempotent_UpstreamFails_ResponseForwarded) {
  Configure();
  AddUpstream(RespondWith(MakeResponse(500, "failure")));
  const auto answer = Call(MakeRequest("/book/1"));
  ASSERT_TRUE(IsOk(answer));
  EXPECT_EQ(ValueOf(answer).status, 500);
  EXPECT_EQ(ValueOf(answer).Field("Response-Seal"), "seal");
}

// Guards against missing, duplicate or truncated events in a resumed stream.
TEST_F(gateway_test, Stream_BrokenWithinEvent_ResumedOnce) {
  Configure();
  AddUpstream(Stream("id: 1\ndata: a\n\nid: 2\nda", false));
  upstream& second =
      AddUpstream(Stream("id: 2\ndata: b\n\nid: 3\ndata: c\n\n", true));
  for (int i = 0; i < 20; ++i) {
    gateway_->RetryBudget(service_name("s")).CountRequest(MonotonicNow());
  }
  const auto answer = Call(MakeRequest("/chat/1"));
  ASSERT_TRUE(IsOk(answer));
  EXPECT_EQ(ValueOf(answer).body,
            "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
  ASSERT_EQ(second.received.size(), 1U);
  EXPECT_EQ(second.received.front().Field("Last-Event-Id"), "1");
}

// Guards against a stalled stream that never ends, because its upstream sends a
// byte now and then: only whole events count as progress.
TEST_F(gateway_test, Stream_BytesButNoEvents_ResumedElsewhere) {
  Configure();
  upstream& stalled =
      AddUpstream(SendWithoutEnd("id: 1\ndata: a\n\n", "x", milliseconds(50)));
  AddUpstream(Stream("id: 2\ndata: b\n\n", true));
  AllowRetries();
  const auto answer = Call(MakeRequest("/chat/1"));
  ASSERT_TRUE(IsOk(answer));
  EXPECT_EQ(ValueOf(answer).body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  EXPECT_TRUE(stalled.client_closed);
}

// Guards against requests with a part of a prompt that crashes replicas: they
// are refused without reaching one, and others with its caller and first part
// are served.
TEST_F(gateway_test, PromptPart_CrashedTwoReplicas_RefusedWithoutSending) {
  Configure();
  upstream& replica = AddUpstream(Stream("id: 1\ndata: a\n\n", true));
  const crash_evidence evidence{
      StableHash("bad"),
      false,
      {{1, {false, seconds(2)}}, {2, {false, seconds(1)}}}};
  gateway_->crashes().OnNotice({{evidence}}, MonotonicNow());
  http_request crashing = MakeRequest("/chat/1");
  crashing.fields.push_back({"Prompt-Prefix", "first:10,bad:20,own:30"});
  const auto refused = Call(crashing);
  ASSERT_TRUE(IsOk(refused));
  EXPECT_EQ(ValueOf(refused).status, 422);
  EXPECT_TRUE(replica.received.empty());
  http_request sound = MakeRequest("/chat/1");
  sound.fields.push_back({"Prompt-Prefix", "first:10,good:20,own:30"});
  const auto answer = Call(sound);
  ASSERT_TRUE(IsOk(answer));
  EXPECT_EQ(ValueOf(answer).status, 200);
}

// Guards against cutting a stream that is slow but makes progress: it lasts
// longer than the time after which one without events is resumed.
TEST_F(gateway_test, Stream_SlowEvents_NotCut) {
  Configure();
  std::string expected;
  AddUpstream([&](http_request, response_writer& writer) -> awaitable<void> {
    http_response head = MakeStreamHead();
    co_await writer.Begin(std::move(head));
    for (int i = 1; i <= 9; ++i) {
      std::string event = "id: " + std::to_string(i) + "\ndata: a\n\n";
      expected += event;
      co_await writer.Write(std::move(event));
      boost::asio::steady_timer timer(context_, milliseconds(600));
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
    co_await writer.End();
  });
  upstream& other = AddUpstream(Stream("id: 1\ndata: b\n\n", true));
  AllowRetries();
  const auto answer = Call(MakeRequest("/chat/1"));
  ASSERT_TRUE(IsOk(answer));
  EXPECT_EQ(ValueOf(answer).body, expected);
  EXPECT_TRUE(other.received.empty());
}

// Guards against a gateway that runs out of memory for a body without end.
TEST_F(gateway_test, Idempotent_BodyWithoutEnd_RetriedElsewhere) {
  Configure();
  upstream& endless = AddUpstream(
      SendWithoutEnd("", std::string(64UL << 10, 'x'), milliseconds(0)));
  AddUpstream(RespondWith(MakeResponse(200, "own")));
  AllowRetries();
  const auto answer = Call(MakeRequest("/look/1"));
  ASSERT_TRUE(IsOk(answer));
  EXPECT_EQ(ValueOf(answer).body, "own");
  EXPECT_TRUE(endless.client_closed);
  EXPECT_LE(sent_without_end_, kMaxBytesWithoutEnd);
}

// Guards against the same with an event that never ends.
TEST_F(gateway_test, Stream_EventWithoutEnd_ResumedElsewhere) {
  Configure();
  upstream& endless = AddUpstream(
      SendWithoutEnd("id: 1\ndata: a\n\ndata: ", std::string(64UL << 10, 'x'),
                     milliseconds(0)));
  AddUpstream(Stream("id: 2\ndata: b\n\n", true));
  AllowRetries();
  const auto answer = Call(MakeRequest("/chat/1"));
  ASSERT_TRUE(IsOk(answer));
  EXPECT_EQ(ValueOf(answer).body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  EXPECT_TRUE(endless.client_closed);
  EXPECT_LE(sent_without_end_, kMaxBytesWithoutEnd);
}

// Guards against the same with a head that never ends. Nothing of a
// non-idempotent request may be repeated then, and the client learns at once
// that its outcome is unknown.
TEST_F(gateway_test, NonIdempotent_HeadWithoutEnd_502) {
  Configure();
  AddUpstreamWithEndlessHead();
  upstream& other = AddUpstream(RespondWith(MakeResponse(200, "ok")));
  AllowRetries();
  EXPECT_EQ(CallStatus(MakeRequest("/book/1")), 502);
  EXPECT_TRUE(other.received.empty());
  EXPECT_LE(sent_without_end_, kMaxBytesWithoutEnd);
}

// Guards against a truncated stream that appears complete to the client.
TEST_F(gateway_test, Stream_BrokenAndNoOtherUpstream_Truncated) {
  Configure();
  AddUpstream(Stream("id: 1\ndata: a\n\nid: 2\nda", false));
  EXPECT_FALSE(IsOk(Call(MakeRequest("/chat/1"))));
}

// Guards against upstream requests that go on after the client disconnects.
TEST_F(gateway_test, Client_Disconnects_UpstreamConnectionClosed) {
  Configure();
  bool aborted = false;
  upstream& server = AddUpstream(
      [&](http_request, response_writer& writer) -> awaitable<void> {
        boost::asio::steady_timer timer(context_);
        while (!upstreams_.front()->client_closed) {
          timer.expires_after(milliseconds(5));
          co_await timer.async_wait(boost::asio::use_awaitable);
        }
        writer.Abort();
        aborted = true;
      });
  const auto canceller = std::make_shared<call_canceller>();
  boost::asio::co_spawn(
      context_,
      [&]() -> awaitable<void> {
        http_request request = MakeRequest("/book/1");
        co_await client_.Open(gateway_endpoint_, std::move(request),
                              seconds(30), seconds(0), canceller);
      },
      boost::asio::detached);
  context_.restart();
  while (server.received.empty()) {
    context_.run_one();
  }
  canceller->Cancel();
  while (!aborted) {
    context_.run_one();
  }
  EXPECT_TRUE(server.client_closed);
}

// Guards against a second response on a connection whose client reads the first
// one so slowly that the deadline passes meanwhile.
TEST_F(gateway_test, Client_ReadsSlowly_OneResponse) {
  constexpr std::size_t kBodyBytes =
      16UL << 20;  // more than the socket buffers hold
  Configure();
  AddUpstream(RespondWith(MakeResponse(200, std::string(kBodyBytes, 'x'))));
  boost::asio::ip::tcp::socket socket(context_);
  socket.connect({boost::asio::ip::make_address(gateway_endpoint_.address),
                  gateway_endpoint_.port});
  const std::string text =
      "POST /book/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: id1\r\n"
      "Deadline-Ms: 2000\r\nAuthorization: Bearer key\r\n"
      "Connection: close\r\nContent-Length: 0\r\n\r\n";
  boost::asio::write(socket, boost::asio::buffer(text));
  bool deadline_passed = false;
  boost::asio::steady_timer timer(context_, milliseconds(2600));
  timer.async_wait(
      [&](const boost::system::error_code&) { deadline_passed = true; });
  context_.restart();
  while (!deadline_passed) {
    context_.run_one();
  }
  std::string answer;
  bool ended = false;
  boost::asio::async_read(
      socket, boost::asio::dynamic_buffer(answer),
      [&](const boost::system::error_code&, std::size_t) { ended = true; });
  while (!ended) {
    context_.run_one();
  }
  // On a slow machine, the first response may report a timeout.
  EXPECT_EQ(answer.rfind("HTTP/1.1 "), 0U);
}

// Guards against the outcome "not run" for a request that an upstream received.
TEST_F(gateway_test, NonIdempotent_UpstreamUnresponsive_OutcomeUnknown) {
  Configure();
  upstream& server = AddUpstream(
      [&](http_request, response_writer& writer) -> awaitable<void> {
        boost::asio::steady_timer timer(context_);
        while (!upstreams_.front()->client_closed) {
          timer.expires_after(milliseconds(5));
          co_await timer.async_wait(boost::asio::use_awaitable);
        }
        writer.Abort();
      });
  http_request request = MakeRequest("/book/1");
  request.fields[2].value = "800";
  const auto answer = Call(request);
  ASSERT_TRUE(IsOk(answer));
  EXPECT_EQ(server.received.size(), 1U);
  EXPECT_EQ(ValueOf(answer).status, 504);
  EXPECT_EQ(ValueOf(answer).Field(kOutcomeHeader), "unknown");
}

// Guards against aborting requests in progress on a planned shutdown.
TEST_F(gateway_test, Drain_RequestInProgress_Completed) {
  Configure();
  AddUpstream([&](http_request, response_writer& writer) -> awaitable<void> {
    gateway_->StartDraining(MonotonicNow() + seconds(10));
    gateway_->StopAccepting();
    http_response answer = MakeResponse(200, "ok");
    co_await writer.Send(std::move(answer));
  });
  const auto answer = Call(MakeRequest("/book/1"));
  ASSERT_TRUE(IsOk(answer));
  EXPECT_EQ(ValueOf(answer).Field("Connection"), "close");
  EXPECT_EQ(ValueOf(answer).body, "ok");
}

// Guards against an exception within a request that leaves a pointer to it for
// the stop of the gateway, keeps its place at the upstream, or ends it without
// an answer. Here the name of the workspace is too long for a header field.
TEST_F(gateway_test, Request_CannotBeForwarded_500AndPlaceFree) {
  constexpr std::size_t kMaxFieldBytes = 65'535;
  Configure();
  upstream& server = AddUpstream(RespondWith(MakeResponse(200, "ok")));
  auto catalog = std::make_shared<deployment>();
  catalog->routes =
      route_table({MakeRoute("/book/", request_idempotency::kNonIdempotent)});
  catalog->keys_required = true;
  catalog->keys["key"] = {workspace_id(std::string(kMaxFieldBytes + 1, 'w')),
                          std::nullopt};
  gateway_->SetDeployment(catalog);
  for (std::size_t i = 0; i < 2 * entries_.begin()->second.slots; ++i) {
    const auto answer = Call(MakeRequest("/book/1"));
    ASSERT_TRUE(IsOk(answer)) << ErrorOf(answer).detail;
    EXPECT_EQ(ValueOf(answer).status, 500);
  }
  EXPECT_TRUE(server.received.empty());
  Configure();
  EXPECT_EQ(CallStatus(MakeRequest("/book/1")), 200);
  gateway_->StartDraining(MonotonicNow() + seconds(10));
  EXPECT_EQ(gateway_->requests_in_progress(), 0U);
}

// Guards against long requests that together take the memory of the gateway, or
// that keep it from serving short ones.
TEST_F(gateway_test, LongRequests_ExceedMemory_RefusedWithoutRun) {
  constexpr std::size_t kLong = 900UL << 10;
  constexpr std::size_t kRequests = 40;
  settings_.memory_bytes = 50UL << 20;  // 10 MB for requests
  gateway_ = std::make_unique<gateway>(context_, settings_, counters_, 1);
  gateway_endpoint_.port = ValueOf(gateway_->Listen());
  Configure();
  std::size_t most_bytes = 0;
  std::size_t bytes = 0;
  upstream& server = AddUpstream(
      [&](http_request request, response_writer& writer) -> awaitable<void> {
        bytes += request.body.size();
        most_bytes = std::max(most_bytes, bytes);
        boost::asio::steady_timer timer(context_, milliseconds(500));
        co_await timer.async_wait(boost::asio::use_awaitable);
        bytes -= request.body.size();
        http_response answer = MakeResponse(200, "ok");
        answer.fields[0].value = std::string(request.Field("Attempt-Id"));
        co_await writer.Send(std::move(answer));
      });
  std::vector<std::optional<result<http_response>>> answers(kRequests);
  for (std::size_t i = 0; i < kRequests; ++i) {
    http_request request = MakeRequest("/book/1");
    request.fields[1].value = "id" + std::to_string(i);
    request.body = std::string(kLong, 'x');
    boost::asio::co_spawn(context_, Send(std::move(request), answers[i]),
                          boost::asio::detached);
  }
  context_.run_for(std::chrono::milliseconds(300));
  EXPECT_EQ(CallStatus(MakeRequest("/book/1")), 200);  // a short one
  std::size_t served = 0;
  std::size_t refused = 0;
  context_.restart();
  for (std::size_t i = 0; i < kRequests; ++i) {
    while (!answers[i]) {
      context_.run_one();
    }
    ASSERT_TRUE(IsOk(*answers[i])) << ErrorOf(*answers[i]).detail;
    served += ValueOf(*answers[i]).status == 200 ? 1 : 0;
    refused += ValueOf(*answers[i]).status == 503 ? 1 : 0;
  }
  EXPECT_EQ(served + refused, kRequests);
  EXPECT_GT(served, 0U);
  EXPECT_GT(refused, 0U);
  EXPECT_EQ(server.received.size(), served + 1);
  EXPECT_LE(most_bytes, settings_.memory_bytes / 5);
}

}  // namespace
}  // namespace fireflyslip
