#include "gateway/gateway.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "fireflyslip/http.h"

namespace fireflyslip {
namespace {

using boost::asio::awaitable;

/// \brief A gateway with upstreams on loopback, all on one thread.
class gateway_test : public testing::Test {
 protected:
  using behaviour =
      std::function<awaitable<void>(http_request, response_writer&)>;

  /// \brief An upstream that records what it receives.
  struct upstream {
    std::unique_ptr<http_server> server;
    std::vector<http_request> received;
    bool left = false;  // the gateway closed before the answer was complete
  };

  gateway_test() {
    settings_.callers = http_endpoint{"127.0.0.1", 0};
    settings_.data_centre = data_centre_id("akl");
    gateway_ = std::make_unique<gateway>(context_, settings_, counters_, 1);
    const auto port = gateway_->Listen();
    EXPECT_TRUE(IsOk(port));
    endpoint_ = {"127.0.0.1", ValueOf(port)};
  }

  static route Route(const std::string& prefix, request_idempotency repeat) {
    route entry;
    entry.name = prefix;
    entry.host = "a.example";
    entry.path_prefix = prefix;
    entry.idempotency_class = repeat;
    entry.streaming = repeat == request_idempotency::kResumableStream;
    entry.max_attempts = repeat == request_idempotency::kNonIdempotent ? 1 : 2;
    entry.timeout = seconds(20);
    entry.target_latency = seconds(2);
    entry.services = {{service_name("s"), 1}};
    return entry;
  }

  void Configure() {
    auto catalog = std::make_shared<deployment>();
    catalog->version = 1;
    catalog->routes =
        route_table({Route("/book/", request_idempotency::kNonIdempotent),
                     Route("/look/", request_idempotency::kIdempotent),
                     Route("/chat/", request_idempotency::kResumableStream)});
    catalog->keys_required = true;
    catalog->keys["key"] = {workspace_id("w"), std::nullopt};
    gateway_->SetDeployment(catalog);
    gateway_->ConfirmKeys(MonotonicNow());
  }

  upstream& Add(behaviour answer) {
    auto& added = *upstreams_.emplace_back(std::make_unique<upstream>());
    added.server = std::make_unique<http_server>(
        context_, http_limits{},
        [&added, answer = std::move(answer)](
            http_request request, response_writer& writer) -> awaitable<void> {
          added.received.push_back(request);
          writer.NotifyClosed([&added] { added.left = true; });
          return answer(std::move(request), writer);
        });
    const auto port = added.server->Listen({"127.0.0.1", 0});
    EXPECT_TRUE(IsOk(port));
    upstream_entry entry;
    entry.id = upstream_id("i-" + std::to_string(upstreams_.size()));
    entry.service = service_name("s");
    entry.address = "127.0.0.1:" + std::to_string(ValueOf(port));
    // The first one is nearest, so that it is chosen first.
    entry.data_centre = data_centre_id(upstreams_.size() == 1 ? "akl" : "far");
    entry.slots = 8;
    entries_[entry.id] = entry;
    gateway_->SetUpstreams(std::make_shared<const upstream_map>(entries_));
    return added;
  }

  static http_request Request(const std::string& target,
                              const std::string& key = "key") {
    http_request request;
    request.method = "POST";
    request.target = target;
    request.fields = {{"Host", "a.example"},
                      {"Attempt-Id", "id1"},
                      {"Deadline-Ms", "15000"},
                      {"Authorization", "Bearer " + key}};
    request.body = "body";
    return request;
  }

  static http_response Answer(int status, const std::string& body) {
    http_response answer;
    answer.status = status;
    answer.fields = {{"Attempt-Id", "id1"}, {"Response-Seal", "seal"}};
    answer.body = body;
    return answer;
  }

  static behaviour Always(http_response answer) {
    return [answer](http_request, response_writer& writer) -> awaitable<void> {
      http_response copy = answer;
      co_await writer.Send(std::move(copy));
    };
  }

  /// \brief Sends a chunked stream and ends it or breaks it off.
  static behaviour Stream(std::string events, bool whole) {
    return [events, whole](http_request,
                           response_writer& writer) -> awaitable<void> {
      http_response head = Answer(200, "");
      co_await writer.Begin(std::move(head));
      std::string copy = events;
      co_await writer.Write(std::move(copy));
      if (whole) {
        co_await writer.End();
      } else {
        writer.Abort();
      }
    };
  }

  static behaviour BreakOff() {
    return [](http_request, response_writer& writer) -> awaitable<void> {
      writer.Abort();
      co_return;
    };
  }

  result<http_response> Call(const http_request& request) {
    std::optional<result<http_response>> answer;
    boost::asio::co_spawn(context_, Send(request, answer),
                          boost::asio::detached);
    context_.restart();
    while (!answer) {
      context_.run_one();
    }
    return *answer;
  }

  awaitable<void> Send(http_request request,
                       std::optional<result<http_response>>& answer) {
    answer.emplace(co_await client_.Request(endpoint_, request, seconds(30)));
  }

  int StatusOf(const http_request& request) {
    const auto answer = Call(request);
    return IsOk(answer) ? ValueOf(answer).status : 0;
  }

  boost::asio::io_context context_{1};
  node_settings settings_;
  metrics counters_;
  std::unique_ptr<gateway> gateway_;
  http_client client_{context_};
  http_endpoint endpoint_;
  std::vector<std::unique_ptr<upstream>> upstreams_;
  upstream_map entries_;
};

// Guards against 404 from an entry that has no configuration yet.
TEST_F(gateway_test, Request_BeforeConfiguration_503) {
  EXPECT_EQ(StatusOf(Request("/look/1")), 503);
}

TEST_F(gateway_test, Request_UnknownRouteOrKey_404Or401) {
  Configure();
  EXPECT_EQ(StatusOf(Request("/none/1")), 404);
  EXPECT_EQ(StatusOf(Request("/look/1", "other")), 401);
}

// Guards against keys that may have been revoked unnoticed.
TEST_F(gateway_test, Request_KeysStale_503) {
  Configure();
  Add(Always(Answer(200, "ok")));
  gateway_->ConfirmKeys(MonotonicNow() - seconds(6));
  EXPECT_EQ(StatusOf(Request("/look/1")), 503);
}

TEST_F(gateway_test, Request_Served_FieldsAndBodyKept) {
  Configure();
  upstream& server = Add(Always(Answer(200, "answer")));
  const auto answer = Call(Request("/book/1"));
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

// Guards against a booking that runs twice after its answer was lost.
TEST_F(gateway_test, Booking_AnswerLost_502AndNotRepeated) {
  Configure();
  Add(BreakOff());
  upstream& second = Add(Always(Answer(200, "ok")));
  EXPECT_EQ(StatusOf(Request("/book/1")), 502);
  EXPECT_TRUE(second.received.empty());
}

// Guards against a booking that is refused although another upstream is free.
TEST_F(gateway_test, Booking_StatedNotRun_SentElsewhere) {
  Configure();
  http_response refusal = Answer(503, "");
  refusal.fields.push_back({"Not-Executed", "1"});
  Add(Always(refusal));
  Add(Always(Answer(200, "ok")));
  for (int i = 0; i < 20; ++i) {  // fills the retry budget
    gateway_->RetryBudget(service_name("s")).CountRequest(MonotonicNow());
  }
  EXPECT_EQ(StatusOf(Request("/book/1")), 200);
}

// Guards against "not run" when nothing else can be tried but it is true.
TEST_F(gateway_test, Booking_StatedNotRunOnly_503WithDelay) {
  Configure();
  http_response refusal = Answer(503, "");
  refusal.fields.push_back({"Not-Executed", "1"});
  Add(Always(refusal));
  const auto answer = Call(Request("/book/1"));
  ASSERT_TRUE(IsOk(answer));
  EXPECT_EQ(ValueOf(answer).status, 503);
  EXPECT_NE(ValueOf(answer).Field("Retry-After"), "");
}

// Guards against an answer to another request on the same connection.
TEST_F(gateway_test, Lookup_AnswerOfOtherRequest_AskedElsewhere) {
  Configure();
  http_response other = Answer(200, "other");
  other.fields[0].value = "id0";
  Add(Always(other));
  Add(Always(Answer(200, "own")));
  for (int i = 0; i < 20; ++i) {
    gateway_->RetryBudget(service_name("s")).CountRequest(MonotonicNow());
  }
  const auto answer = Call(Request("/look/1"));
  ASSERT_TRUE(IsOk(answer));
  EXPECT_EQ(ValueOf(answer).body, "own");
}

// Guards against a success that no upstream has signed.
TEST_F(gateway_test, Booking_AnswerWithoutSeal_502) {
  Configure();
  http_response unsigned_answer = Answer(200, "ok");
  unsigned_answer.fields.pop_back();
  Add(Always(unsigned_answer));
  EXPECT_EQ(StatusOf(Request("/book/1")), 502);
}

// Guards against a failure of the upstream that is replaced by another one.
TEST_F(gateway_test, Booking_UpstreamFails_FailureForwarded) {
  Configure();
  Add(Always(Answer(500, "failure")));
  const auto answer = Call(Request("/book/1"));
  ASSERT_TRUE(IsOk(answer));
  EXPECT_EQ(ValueOf(answer).status, 500);
  EXPECT_EQ(ValueOf(answer).Field("Response-Seal"), "seal");
}

// Guards against streams with events missing, twice or cut.
TEST_F(gateway_test, Stream_BrokenWithinEvent_ContinuedOnce) {
  Configure();
  Add(Stream("id: 1\ndata: a\n\nid: 2\nda", false));
  upstream& second = Add(Stream("id: 2\ndata: b\n\nid: 3\ndata: c\n\n", true));
  for (int i = 0; i < 20; ++i) {
    gateway_->RetryBudget(service_name("s")).CountRequest(MonotonicNow());
  }
  const auto answer = Call(Request("/chat/1"));
  ASSERT_TRUE(IsOk(answer));
  EXPECT_EQ(ValueOf(answer).body,
            "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
  ASSERT_EQ(second.received.size(), 1U);
  EXPECT_EQ(second.received.front().Field("Last-Event-Id"), "1");
}

// Guards against a cut stream that looks complete.
TEST_F(gateway_test, Stream_BrokenAndNoOther_CutVisible) {
  Configure();
  Add(Stream("id: 1\ndata: a\n\nid: 2\nda", false));
  EXPECT_FALSE(IsOk(Call(Request("/chat/1"))));
}

// Guards against work for clients that have left.
TEST_F(gateway_test, Client_Leaves_UpstreamReleased) {
  Configure();
  bool stopped = false;
  upstream& server =
      Add([&](http_request, response_writer& writer) -> awaitable<void> {
        boost::asio::steady_timer timer(context_);
        while (!upstreams_.front()->left) {
          timer.expires_after(milliseconds(5));
          co_await timer.async_wait(boost::asio::use_awaitable);
        }
        writer.Abort();
        stopped = true;
      });
  const auto canceller = std::make_shared<call_canceller>();
  boost::asio::co_spawn(
      context_,
      [&]() -> awaitable<void> {
        http_request request = Request("/book/1");
        co_await client_.Open(endpoint_, std::move(request), seconds(30),
                              seconds(0), canceller);
      },
      boost::asio::detached);
  context_.restart();
  while (server.received.empty()) {
    context_.run_one();
  }
  canceller->Cancel();
  while (!stopped) {
    context_.run_one();
  }
  EXPECT_TRUE(server.left);
}

// Guards against a second answer on a connection whose client reads the first
// one so slowly that its time runs out meanwhile.
TEST_F(gateway_test, Client_ReadsSlowly_OneAnswerOnly) {
  constexpr std::size_t kBody = 16UL << 20;  // more than the sockets hold
  Configure();
  Add(Always(Answer(200, std::string(kBody, 'x'))));
  boost::asio::ip::tcp::socket socket(context_);
  socket.connect(
      {boost::asio::ip::make_address(endpoint_.address), endpoint_.port});
  const std::string text =
      "POST /book/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: id1\r\n"
      "Deadline-Ms: 2000\r\nAuthorization: Bearer key\r\n"
      "Connection: close\r\nContent-Length: 0\r\n\r\n";
  boost::asio::write(socket, boost::asio::buffer(text));
  bool passed = false;
  boost::asio::steady_timer timer(context_, milliseconds(2600));
  timer.async_wait([&](const boost::system::error_code&) { passed = true; });
  context_.restart();
  while (!passed) {
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
  // The first answer is a time-out where the machine is too slow for it.
  EXPECT_EQ(answer.rfind("HTTP/1.1 "), 0U);
}

// Guards against "not run" for a request that an upstream has received.
TEST_F(gateway_test, Booking_UpstreamSilent_OutcomeUnknown) {
  Configure();
  upstream& server =
      Add([&](http_request, response_writer& writer) -> awaitable<void> {
        boost::asio::steady_timer timer(context_);
        while (!upstreams_.front()->left) {
          timer.expires_after(milliseconds(5));
          co_await timer.async_wait(boost::asio::use_awaitable);
        }
        writer.Abort();
      });
  http_request request = Request("/book/1");
  request.fields[2].value = "800";
  const auto answer = Call(request);
  ASSERT_TRUE(IsOk(answer));
  EXPECT_EQ(server.received.size(), 1U);
  EXPECT_EQ(ValueOf(answer).status, 504);
  EXPECT_EQ(ValueOf(answer).Field(kOutcomeHeader), "unknown");
}

// Guards against a planned stop that cuts off requests in progress.
TEST_F(gateway_test, Drain_RequestInProgress_Completed) {
  Configure();
  Add([&](http_request, response_writer& writer) -> awaitable<void> {
    gateway_->DisableKeepAlive();
    gateway_->StopAccepting();
    http_response answer = Answer(200, "ok");
    co_await writer.Send(std::move(answer));
  });
  const auto answer = Call(Request("/book/1"));
  ASSERT_TRUE(IsOk(answer));
  EXPECT_EQ(ValueOf(answer).Field("Connection"), "close");
  EXPECT_EQ(ValueOf(answer).body, "ok");
}

}  // namespace
}  // namespace fireflyslip
