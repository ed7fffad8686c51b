#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "gateway/gateway_fixture.h"

namespace fireflyslip {
namespace {

/// \brief Gateway in front of an upstream whose bytes are scripted.
class faulty_upstream_test : public testing_support::gateway_fixture {
 protected:
  static http_request MakeNumbered(const std::string& target,
                                   const std::string& id) {
    http_request request = MakeRequest(target);
    request.fields[1].value = id;
    return request;
  }

  static std::string Refusal(const std::string& id) {
    return "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n" +
           (id.empty() ? id : "Attempt-Id: " + id + "\r\n") +
           "Content-Length: 0\r\n\r\n";
  }

  static std::string Success(const std::string& id) {
    return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
           "\r\nResponse-Seal: seal\r\nContent-Length: 2\r\n\r\nok";
  }

  static std::string Misdirected(const std::string& id) {
    return "HTTP/1.1 421 Misdirected Request\r\n" +
           (id.empty() ? id : "Attempt-Id: " + id + "\r\n") +
           "Content-Length: 0\r\n\r\n";
  }

  /// \brief Responds as an upstream that is also listed under a former id.
  static std::string RunAsNewUpstream(const std::string& head) {
    const std::string id = FieldOf(head, "Attempt-Id");
    return FieldOf(head, "Expect-Instance") == "i-new" ? Success(id)
                                                       : Misdirected(id);
  }

  /// \brief Responds with success to any request.
  static handler Echo() {
    return [](http_request request,
              response_writer& writer) -> boost::asio::awaitable<void> {
      http_response answer = MakeResponse(200, "ok");
      answer.fields[0].value = std::string(request.Field("Attempt-Id"));
      co_await writer.Send(std::move(answer));
    };
  }

  /// \brief Response to a stream that broke off after its first event at one
  /// upstream and went to a second one.
  partial_response CallBrokenStream(handler second) {
    Configure();
    AddUpstream(Stream(kFirstEvent, false));
    AddUpstream(std::move(second));
    AllowRetries();
    return CallPartially(MakeRequest("/chat/1"));
  }

  static constexpr char kFirstEvent[] = "id: 1\ndata: a\n\n";

  std::size_t wrote_ = 0;
};

// Guards against "not run", and against an unknown outcome, for a booking that
// runs: the upstream writes an earlier refusal once more where the response to
// the booking is due.
TEST_F(faulty_upstream_test, Booking_EarlierRefusalRepeated_Answered) {
  Configure();
  AddScriptedUpstream({{Refusal("id0")}, {Refusal("id0") + Success("id1")}},
                      wrote_);
  const upstream& second = AddUpstream(Echo());
  AllowRetries();
  EXPECT_EQ(CallStatus(MakeNumbered("/book/1", "id0")), 200);
  EXPECT_EQ(CallStatus(MakeNumbered("/book/1", "id1")), 200);
  EXPECT_EQ(wrote_, 2U);
  EXPECT_EQ(second.received.size(), 1U);
}

// The same for each refusal and framing, and for several copies.
TEST_F(faulty_upstream_test, Booking_AnyResponseRepeated_Answered) {
  constexpr char kInterim[] = "HTTP/1.1 100 Continue\r\n\r\n";
  constexpr char kEmpty[] = "Content-Length: 0\r\n\r\n";
  std::vector<std::string> copies = {
      Success("id0"), Success("id0") + Refusal("id0") + Misdirected("id0")};
  for (const std::string status : {"400", "408", "421", "429", "503"}) {
    std::string head = "HTTP/1.1 " + status;
    head += " Refused\r\nNot-Executed: 1\r\nAttempt-Id: id0\r\n";
    copies.push_back(kInterim + head);
    copies.back().append(kEmpty);
    copies.push_back(head);
    copies.back().append(kEmpty).append(kInterim);
    copies.push_back(head);
    copies.back().append("Content-Length: 40000\r\n\r\n").append(40000, 'x');
    copies.push_back(head);
    copies.back().append(
        "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n");
  }
  for (const std::string& copy : copies) {
    SCOPED_TRACE(copy.substr(0, 120));
    Configure();
    entries_.clear();
    wrote_ = 0;
    AddScriptedUpstream({{Success("id0")}, {copy + Success("id1")}}, wrote_);
    EXPECT_EQ(CallStatus(MakeNumbered("/book/1", "id0")), 200);
    EXPECT_EQ(CallStatus(MakeNumbered("/book/1", "id1")), 200);
    EXPECT_EQ(wrote_, 2U);
  }
}

// Guards against a response with a status that no server may send: it is
// forwarded, or taken for an interim response, so that the request waits for
// another one until its time is up.
TEST_F(faulty_upstream_test, Status_OutOfRange_FailureOfUpstream) {
  constexpr char kInterim[] = "HTTP/1.1 103 Early Hints\r\n\r\n";
  constexpr char kBody[] = "Content-Length: 14\r\n\r\nid: 1\ndata: a\n\n";
  int cases = 0;
  for (const std::string status : {"000", "099", "600", "999", "2x0", "1x0"}) {
    std::string head = "HTTP/1.1 " + status;
    head +=
        " Odd\r\nAttempt-Id: id1\r\nResponse-Seal: seal\r\n"
        "Content-Type: text/event-stream\r\n";
    std::vector<std::string> responses = {head, head, kInterim};
    responses[0].append(kBody);
    responses[1].append("\r\n");
    responses[2].append(head).append(kBody);
    for (const std::string& bytes : responses) {
      for (const std::string route : {"/book/", "/look/", "/chat/"}) {
        // Requests with the same content would be taken to crash upstreams.
        const std::string target = route + std::to_string(++cases);
        SCOPED_TRACE(bytes);
        SCOPED_TRACE(target);
        Configure();
        entries_.clear();
        upstreams_.clear();
        wrote_ = 0;
        AddScriptedUpstream({{bytes}}, wrote_);
        AddUpstream(route == "/chat/" ? Stream(kFirstEvent, true) : Echo());
        AllowRetries();
        const time_point sent = MonotonicNow();
        const int expected = route == "/book/" ? 502 : 200;
        EXPECT_EQ(CallStatus(MakeNumbered(target, "id1")), expected);
        EXPECT_LT(MonotonicNow() - sent, seconds(1));
      }
    }
  }
}

// Guards against taking the end of a connection for a statement: it ends after
// the repeated refusal, in each place, and the booking may have run.
TEST_F(faulty_upstream_test, Booking_ClosedAfterRepeatedRefusal_502) {
  const std::string bytes = Refusal("id0") + Success("id1");
  for (const std::size_t size :
       {Refusal("id0").size() - 1, Refusal("id0").size(), bytes.size() - 1}) {
    SCOPED_TRACE(size);
    Configure();
    entries_.clear();
    upstreams_.clear();
    wrote_ = 0;
    AddScriptedUpstream({{Refusal("id0")}, {bytes.substr(0, size), true}},
                        wrote_);
    const upstream& second = AddUpstream(Echo());
    AllowRetries();
    EXPECT_EQ(CallStatus(MakeNumbered("/book/1", "id0")), 200);
    EXPECT_EQ(CallStatus(MakeNumbered("/book/1", "id1")), 502);
    EXPECT_EQ(second.received.size(), 1U);
  }
}

// Guards against a log that gives the status of an earlier response to a
// request that got none, or calls a connection new that is not known to be.
TEST_F(faulty_upstream_test, FailedTries_NoResponse_NoStatusLogged) {
  // After many other tests, the rate limit of the log would drop the lines.
  context_.run_for(milliseconds(100));
  Configure();
  AddScriptedUpstream(
      {{Refusal("id0")}, {Refusal("id0"), true}, {"HTTP/", true}}, wrote_);
  testing::internal::CaptureStdout();
  for (const std::string id : {"id0", "id1", "id2"}) {
    CallStatus(MakeNumbered("/book/1", id));
  }
  const std::string log = testing::internal::GetCapturedStdout();
  for (const std::string failed :
       {"not_run/503/new@", "may_have_run/0/reused@", "may_have_run/0/-@"}) {
    EXPECT_NE(log.find("failed_tries=i-scripted/" + failed), std::string::npos)
        << log;
  }
}

// Guards against reading without end from an upstream that repeats a response
// again and again.
TEST_F(faulty_upstream_test, Booking_RefusalRepeatedAgainAndAgain_502) {
  Configure();
  std::string repeated;
  for (int i = 0; i < 100; ++i) {
    repeated += Refusal("id0");
  }
  AddScriptedUpstream({{Refusal("id0")}, {repeated}}, wrote_);
  const upstream& second = AddUpstream(Echo());
  AllowRetries();
  EXPECT_EQ(CallStatus(MakeNumbered("/book/1", "id0")), 200);
  EXPECT_EQ(CallStatus(MakeNumbered("/book/1", "id1")), 502);
  EXPECT_EQ(second.received.size(), 1U);
}

// The same with a refusal that does not name its request.
TEST_F(faulty_upstream_test, Booking_UnnamedRefusalRepeated_OutcomeUnknown) {
  Configure();
  AddScriptedUpstream({{Success("id0")}, {Refusal("") + Success("id1")}},
                      wrote_);
  const upstream& second = AddUpstream(Echo());
  AllowRetries();
  EXPECT_EQ(CallStatus(MakeNumbered("/book/1", "id0")), 200);
  EXPECT_EQ(CallStatus(MakeNumbered("/book/1", "id1")), 502);
  EXPECT_EQ(second.received.size(), 0U);
}

// Guards against the same for a response that says that the request was sent
// to the wrong upstream.
TEST_F(faulty_upstream_test, Booking_MisdirectedRepeated_OutcomeUnknown) {
  Configure();
  AddScriptedUpstream({{Success("id0")}, {Misdirected("") + Success("id1")}},
                      wrote_);
  const upstream& second = AddUpstream(Echo());
  AllowRetries();
  EXPECT_EQ(CallStatus(MakeNumbered("/book/1", "id0")), 200);
  EXPECT_EQ(CallStatus(MakeNumbered("/book/1", "id1")), 502);
  EXPECT_EQ(second.received.size(), 0U);
}

// Guards against an answer to an earlier request: a response that does not name
// its request is not forwarded if it can be an earlier one.
TEST_F(faulty_upstream_test, Booking_UnnamedOnReusedConnection_NotForwarded) {
  for (const std::string status : {"200 OK", "404 Not Found", "500 Error"}) {
    SCOPED_TRACE(status);
    Configure();
    entries_.clear();
    wrote_ = 0;
    const std::string unnamed =
        "HTTP/1.1 " + status +
        "\r\nResponse-Seal: seal\r\nContent-Length: 2\r\n\r\nno";
    AddScriptedUpstream({{Success("id0")}, {unnamed + Success("id1")}}, wrote_);
    EXPECT_EQ(CallStatus(MakeNumbered("/book/1", "id0")), 200);
    const auto answer = Call(MakeNumbered("/book/1", "id1"));
    ASSERT_TRUE(IsOk(answer));
    EXPECT_EQ(ValueOf(answer).status, 502);
    EXPECT_EQ(ValueOf(answer).Field("Response-Seal"), "");
  }
}

// Guards against the same for what such a response states about its upstream,
// which would get no requests any more.
TEST_F(faulty_upstream_test, Advice_UnnamedOnReusedConnection_Ignored) {
  for (const std::string advice :
       {"Server-Leaving: 1", "Server-Limit: 0", "Retry-After: 20"}) {
    SCOPED_TRACE(advice);
    Configure();
    entries_.clear();
    upstreams_.clear();
    wrote_ = 0;
    const std::string unnamed = "HTTP/1.1 503 Service Unavailable\r\n" +
                                advice + "\r\nContent-Length: 0\r\n\r\n";
    AddScriptedUpstream({{Success("id0")}, {unnamed}, {Success("id2")}},
                        wrote_);
    const upstream& second = AddUpstream(Echo());
    EXPECT_EQ(CallStatus(MakeNumbered("/book/1", "id0")), 200);
    EXPECT_EQ(CallStatus(MakeNumbered("/book/1", "id1")), 502);
    EXPECT_EQ(CallStatus(MakeNumbered("/book/1", "id2")), 200);
    EXPECT_EQ(wrote_, 3U);
    EXPECT_EQ(second.received.size(), 0U);
  }
}

// Guards against an unknown outcome for a request without an id, whose response
// cannot name it either.
TEST_F(faulty_upstream_test, RequestWithoutId_AfterOthers_ResponseBelieved) {
  Configure();
  http_request request = MakeRequest("/book/1");
  std::erase_if(request.fields, [](const http_field& field) {
    return field.name == "Attempt-Id";
  });
  AddScriptedUpstream({{Success("id0")},
                       {"HTTP/1.1 400 Bad Request\r\nResponse-Seal: seal\r\n"
                        "Content-Length: 0\r\n\r\n"},
                       {Refusal("")}},
                      wrote_);
  EXPECT_EQ(CallStatus(MakeNumbered("/book/1", "id0")), 200);
  EXPECT_EQ(CallStatus(request), 400);
  EXPECT_EQ(CallStatus(request), 503);
}

// Guards against "not run" for a booking that runs: an upstream refuses it
// under its former id, and the copy of the refusal is taken for the response to
// the second try, which goes to the same address. A request that may be
// repeated would run at more upstreams than its route allows.
TEST_F(faulty_upstream_test, Request_RefusalOfFormerIdRepeated_RunsOnce) {
  for (const std::string route : {"/book/1", "/look/1"}) {
    SCOPED_TRACE(route);
    Configure();
    entries_.clear();
    upstreams_.clear();
    repeating_upstream server{RunAsNewUpstream};
    AddRepeatingUpstream(server, {"i-new", "i-old", "i-older"});
    std::vector<std::string> ids;
    for (int i = 0; i < 20; ++i) {
      AllowRetries();
      ids.push_back("id" + std::to_string(i));
      EXPECT_EQ(CallStatus(MakeNumbered(route, ids.back())), 200);
    }
    EXPECT_EQ(server.run, ids);
    EXPECT_GT(server.refused, 0U);
  }
}

// Guards against a booking that runs twice: the refusal under the former id is
// repeated while the booking runs under the new one, and the booking is sent to
// another upstream.
TEST_F(faulty_upstream_test, Booking_RefusalRepeatedWhileItRuns_NotRunTwice) {
  Configure();
  repeating_upstream server{RunAsNewUpstream};
  AddRepeatingUpstream(server, {"i-new", "i-old"});
  const upstream& other = AddUpstream(Echo());
  for (int i = 0; i < 40; ++i) {
    AllowRetries();
    EXPECT_EQ(CallStatus(MakeNumbered("/book/1", "id" + std::to_string(i))),
              200);
  }
  EXPECT_EQ(server.run.size() + other.received.size(), 40U);
  EXPECT_GT(server.refused, 0U);
}

// Guards against "not run" for a request that runs: the client sends it again
// after a refusal, and the copy of that refusal is taken for the response.
TEST_F(faulty_upstream_test, Booking_SentAgainAfterRefusal_CopyNotBelieved) {
  for (const bool named : {true, false}) {
    SCOPED_TRACE(named);
    Configure();
    entries_.clear();
    upstreams_.clear();
    bool refuse = true;
    repeating_upstream server{[&](const std::string& head) {
      const std::string id = FieldOf(head, "Attempt-Id");
      const bool refused = std::exchange(refuse, false);
      return refused ? Refusal(named ? id : "") : Success(id);
    }};
    AddRepeatingUpstream(server, {"i-1"});
    EXPECT_EQ(CallStatus(MakeNumbered("/book/1", "id0")), 503);
    EXPECT_EQ(CallStatus(MakeNumbered("/book/1", "id0")), 200);
    EXPECT_EQ(server.run, std::vector<std::string>{"id0"});
  }
}

// Guards against the same with another failure than a refusal: the request may
// be repeated, and goes to the same address under another id of the upstream.
TEST_F(faulty_upstream_test, Request_UnsignedResponseRepeated_CopyNotBelieved) {
  Configure();
  const std::string unsigned_response =
      "HTTP/1.1 201 Created\r\nAttempt-Id: id0\r\nContent-Length: 0\r\n\r\n";
  std::size_t received = 0;
  repeating_upstream server{[&](const std::string& /*head*/) {
    return ++received == 1 ? unsigned_response : Success("id0");
  }};
  AddRepeatingUpstream(server, {"i-1", "i-2"});
  AllowRetries();
  EXPECT_EQ(CallStatus(MakeNumbered("/look/1", "id0")), 200);
}

// Guards against a refusal that is not believed, although it is the first
// response on its connection and thus cannot be an earlier one.
TEST_F(faulty_upstream_test, Booking_UnnamedRefusalOnNewConnection_Retried) {
  Configure();
  AddScriptedUpstream({{Refusal("")}}, wrote_);
  AddUpstream(RespondWith(MakeResponse(200, "ok")));
  AllowRetries();
  EXPECT_EQ(CallStatus(MakeRequest("/book/1")), 200);
}

// Guards against an unknown outcome for each booking that an upstream refuses
// without naming it, on a connection that has carried named responses.
TEST_F(faulty_upstream_test, Booking_UnnamedRefusalsAgain_RetriedFromSecondOn) {
  Configure();
  AddScriptedUpstream(
      {{Success("id0")}, {Refusal("")}, {Success("id2")}, {Refusal("")}},
      wrote_);
  AddUpstream(Echo());
  AllowRetries();
  EXPECT_EQ(CallStatus(MakeNumbered("/book/1", "id0")), 200);
  EXPECT_EQ(CallStatus(MakeNumbered("/book/1", "id1")), 502);
  EXPECT_EQ(CallStatus(MakeNumbered("/book/1", "id2")), 200);
  EXPECT_EQ(CallStatus(MakeNumbered("/book/1", "id3")), 200);
  EXPECT_EQ(wrote_, 4U);
}

// Guards against "not run" for a booking that ran: the upstream fails it with a
// status that stands for "not run", but does not state so.
TEST_F(faulty_upstream_test, Booking_FailsWithRefusalStatus_OutcomeUnknown) {
  for (const int status : {408, 421, 429, 503}) {
    SCOPED_TRACE(status);
    Configure();
    entries_.clear();
    AddUpstream(RespondWith(MakeResponse(status, "failure")));
    const auto answer = Call(MakeRequest("/book/1"));
    ASSERT_TRUE(IsOk(answer));
    EXPECT_EQ(ValueOf(answer).status, status == 421 ? 503 : 502);
    EXPECT_EQ(ValueOf(answer).Field("Response-Seal"), "");
  }
}

// Guards against failing the requests to an upstream whose responses have no
// id, from the second one on a connection on.
TEST_F(faulty_upstream_test, Booking_UpstreamWithoutIds_AnsweredEachTime) {
  Configure();
  http_response unnamed = MakeResponse(200, "ok");
  unnamed.fields.erase(unnamed.fields.begin());
  const upstream& server = AddUpstream(RespondWith(unnamed));
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(CallStatus(MakeRequest("/book/1")), 200);
  }
  EXPECT_EQ(server.received.size(), 3U);
}

// Guards against breaking off a stream without a stated version while an
// upstream that can continue it may still appear.
TEST_F(faulty_upstream_test, Stream_OnlyUpstreamLost_ContinuedByNewUpstream) {
  Configure();
  AddUpstream(Stream(kFirstEvent, false));
  AllowRetries();
  boost::asio::steady_timer timer(context_, milliseconds(100));
  timer.async_wait([this](const boost::system::error_code& /*code*/) {
    AddUpstream(Stream("id: 2\ndata: b\n\n", true));
  });
  EXPECT_TRUE(CallPartially(MakeRequest("/chat/1")).complete);
}

// The same for a booking that was not sent.
TEST_F(faulty_upstream_test, Booking_OnlyUpstreamGone_AnsweredByNewUpstream) {
  Configure();
  Listen();
  AddRawEntry("i-gone");
  acceptor_.reset();
  AllowRetries();
  boost::asio::steady_timer timer(context_, milliseconds(100));
  timer.async_wait([this](const boost::system::error_code& /*code*/) {
    AddUpstream(Echo());
  });
  EXPECT_EQ(CallStatus(MakeRequest("/book/1")), 200);
}

// The same for a booking that was sent to the former id of an upstream, whose
// new entry comes later.
TEST_F(faulty_upstream_test, Booking_OnlyFormerIdListed_AnsweredByNewUpstream) {
  Configure();
  repeating_upstream server{RunAsNewUpstream};
  AddRepeatingUpstream(server, {"i-old"});
  AllowRetries();
  boost::asio::steady_timer timer(context_, milliseconds(100));
  timer.async_wait([this](const boost::system::error_code& /*code*/) {
    AddRawEntry("i-new");
  });
  EXPECT_EQ(CallStatus(MakeNumbered("/book/1", "id0")), 200);
  EXPECT_EQ(server.run, std::vector<std::string>{"id0"});
}

// Guards against an error that the client takes for one of this system, so that
// it gives up a request that is sound.
TEST_F(faulty_upstream_test, Request_UnsignedClientError_NotForwarded) {
  for (const int status : {302, 400, 404, 413}) {
    SCOPED_TRACE(status);
    Configure();
    entries_.clear();
    upstreams_.clear();
    http_response unsigned_error = MakeResponse(status, "failure");
    unsigned_error.fields.pop_back();
    AddUpstream(RespondWith(unsigned_error));
    EXPECT_EQ(CallStatus(MakeRequest("/book/1")), 502);
    AddUpstream(Stream(kFirstEvent, true));
    AllowRetries();
    EXPECT_TRUE(CallPartially(MakeRequest("/chat/1")).complete);
  }
}

// Guards against the text of an error in the middle of a stream: the stream
// broke off, and the next upstream responds with an error.
TEST_F(faulty_upstream_test, Stream_ErrorFromNextUpstream_TruncatedWithoutIt) {
  const partial_response received =
      CallBrokenStream(RespondWith(MakeResponse(500, "failure\n\n")));
  EXPECT_EQ(received.status, 200);
  EXPECT_EQ(received.body, kFirstEvent);
  EXPECT_FALSE(received.complete);
}

// The same with an error that has the status of a success.
TEST_F(faulty_upstream_test, Stream_TextFromNextUpstream_TruncatedWithoutIt) {
  http_response text = MakeResponse(200, "failure\n\n");
  text.fields.push_back({"Content-Type", "text/plain"});
  const partial_response received = CallBrokenStream(RespondWith(text));
  EXPECT_EQ(received.body, kFirstEvent);
  EXPECT_FALSE(received.complete);
}

// Guards against events of a response that no upstream has signed.
TEST_F(faulty_upstream_test, Stream_UnsignedFromNextUpstream_Truncated) {
  http_response unsigned_events = MakeStreamHead();
  std::erase_if(unsigned_events.fields, [](const http_field& field) {
    return field.name == "Response-Seal";
  });
  unsigned_events.body = "id: 2\ndata: b\n\n";
  const partial_response received =
      CallBrokenStream(RespondWith(unsigned_events));
  EXPECT_EQ(received.body, kFirstEvent);
  EXPECT_FALSE(received.complete);
}

// The same for a stream whose first response is not signed.
TEST_F(faulty_upstream_test, Stream_Unsigned_502) {
  Configure();
  http_response unsigned_events;
  unsigned_events.status = 200;
  unsigned_events.fields = {{"Attempt-Id", "id1"},
                            {"Content-Type", "text/event-stream"}};
  unsigned_events.body = kFirstEvent;
  AddUpstream(RespondWith(unsigned_events));
  EXPECT_EQ(CallStatus(MakeRequest("/chat/1")), 502);
}

// Guards against parts of two versions of the weights in one stream.
TEST_F(faulty_upstream_test, Stream_OtherVersionFromNextUpstream_Truncated) {
  Configure();
  http_response first = MakeStreamHead();
  first.fields.push_back({"Weight-Versions", "1"});
  AddUpstream(Stream(kFirstEvent, false, first));
  http_response second = MakeStreamHead();
  second.fields.push_back({"Weight-Versions", "2"});
  AddUpstream(Stream("id: 2\ndata: b\n\n", true, second));
  AllowRetries();
  const partial_response received = CallPartially(MakeRequest("/chat/1"));
  EXPECT_EQ(received.body, kFirstEvent);
  EXPECT_FALSE(received.complete);
}

// Guards against a stream that ends as if it were complete, because the next
// upstream closes the connection after the head of its response.
TEST_F(faulty_upstream_test, Stream_NextUpstreamClosesAfterHead_Truncated) {
  Configure();
  AddScriptedUpstream({{"HTTP/1.1 200 OK\r\nAttempt-Id: id1\r\n"
                        "Response-Seal: seal\r\n"
                        "Content-Type: text/event-stream\r\n\r\n",
                        true}},
                      wrote_);
  entries_.begin()->second.data_centre = data_centre_id("far");
  upstreams_.clear();
  AddUpstream(Stream(kFirstEvent, false));
  AllowRetries();
  const partial_response received = CallPartially(MakeRequest("/chat/1"));
  EXPECT_EQ(wrote_, 1U);
  EXPECT_EQ(received.body, kFirstEvent);
  EXPECT_FALSE(received.complete);
}

// Guards against taking a resumed stream without further events for a broken
// one: the first upstream broke off after the last event.
TEST_F(faulty_upstream_test, Stream_NothingLeftAtNextUpstream_Complete) {
  const partial_response received = CallBrokenStream(Stream("", true));
  EXPECT_EQ(received.body, kFirstEvent);
  EXPECT_TRUE(received.complete);
}

// Guards against a success with an empty or short body: the upstream closes the
// connection in the middle of the head of its response.
TEST_F(faulty_upstream_test, Booking_ClosedWithinHead_502) {
  const std::string head = Success("id1").substr(0, Success("id1").size() - 2);
  for (std::size_t size = 0; size < head.size(); ++size) {
    SCOPED_TRACE(size);
    Configure();
    entries_.clear();
    wrote_ = 0;
    AddScriptedUpstream({{head.substr(0, size), true}}, wrote_);
    const auto answer = Call(MakeRequest("/book/1"));
    ASSERT_TRUE(IsOk(answer));
    EXPECT_EQ(ValueOf(answer).status, 502);
    EXPECT_EQ(ValueOf(answer).Field("Response-Seal"), "");
  }
}

// The same with a body that is shorter than its length.
TEST_F(faulty_upstream_test, Booking_ClosedWithinBody_502) {
  Configure();
  const std::string whole = Success("id1");
  AddScriptedUpstream({{whole.substr(0, whole.size() - 1), true}}, wrote_);
  EXPECT_EQ(CallStatus(MakeRequest("/book/1")), 502);
}

// The same for a stream: nothing of the truncated response reaches the client.
TEST_F(faulty_upstream_test, Stream_ClosedWithinHead_RetriedElsewhere) {
  Configure();
  AddScriptedUpstream({{"HTTP/1.1 200 OK\r\nAttempt-Id: id1\r\n"
                        "Response-Seal: seal\r\nContent-Ty",
                        true}},
                      wrote_);
  AddUpstream(Stream(kFirstEvent, true));
  AllowRetries();
  const partial_response received = CallPartially(MakeRequest("/chat/1"));
  EXPECT_EQ(received.body, kFirstEvent);
  EXPECT_TRUE(received.complete);
}

// Guards against many responses without end that together take the memory of
// the gateway, or that leave none for the responses of sound upstreams.
TEST_F(faulty_upstream_test, ManyResponses_WithoutEnd_TotalLimited) {
  constexpr std::size_t kRequests = 8;  // the slots of the upstream
  Configure();
  // Each keeps its connection open below the limit of one response.
  constexpr std::size_t kLength = 7UL << 20;
  AddUpstream([&](http_request request,
                  response_writer& writer) -> boost::asio::awaitable<void> {
    http_response head = MakeResponse(200, "");
    head.fields[0].value = std::string(request.Field("Attempt-Id"));
    bool open = co_await writer.Begin(std::move(head));
    std::size_t sent = 0;
    while (open && sent < kLength) {
      std::string part(64UL << 10, 'x');
      sent += part.size();
      open = co_await writer.Write(std::move(part));
    }
    boost::asio::steady_timer timer(context_, seconds(3));
    co_await timer.async_wait(boost::asio::use_awaitable);
    writer.Abort();
  });
  std::vector<std::optional<result<http_response>>> answers(kRequests);
  for (std::size_t i = 0; i < kRequests; ++i) {
    boost::asio::co_spawn(
        context_,
        Send(MakeNumbered("/book/1", "id" + std::to_string(i)), answers[i]),
        boost::asio::detached);
  }
  std::size_t most = 0;
  while (std::any_of(answers.begin(), answers.end(),
                     [](const auto& answer) { return !answer; })) {
    context_.run_one();
    most = std::max(most, gateway_->response_memory()->used());
  }
  EXPECT_GT(most, 0U);
  EXPECT_LE(most, settings_.memory_bytes / 5);
  EXPECT_EQ(gateway_->response_memory()->used(), 0U);
}

}  // namespace
}  // namespace fireflyslip
