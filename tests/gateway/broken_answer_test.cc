#include <gtest/gtest.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "gateway/gateway_fixture.h"
#include "http/abrupt_server.h"
#include "http/repeating_server.h"

namespace fireflyslip {
namespace {

using boost::asio::awaitable;
using ending = abrupt_answer::ending;

constexpr std::size_t kWholeUpload = abrupt_answer::kWholeUpload;

constexpr char kBody[] = "the whole body";
constexpr char kFirstEvent[] = "id: 1\ndata: a\n\n";
constexpr char kSecondEvent[] = "id: 2\ndata: b\n\n";

/// \brief Gateway in front of an upstream that breaks its answers off or spoils
/// their heads, and of a sound one that is chosen second.
class broken_answer_test : public testing_support::gateway_fixture {
 protected:
  broken_answer_test() {
    client_limits limits;
    limits.body_bytes = 2 * abrupt_server::kLongUpload;
    Configure(limits);
  }

  /// \brief Start of the head of a signed answer.
  static std::string Head(const std::string& status,
                          const std::string& fields = "") {
    return "HTTP/1.1 " + status +
           " X\r\nAttempt-Id: id1\r\nResponse-Seal: seal\r\n"
           "Connection: close\r\n" +
           fields;
  }

  static std::string StreamHead() {
    return Head("200", "Content-Type: text/event-stream\r\n");
  }

  /// \brief Replaces the upstreams.
  void SetUpstreams(abrupt_answer broken, bool has_sound_one = true) {
    // The former servers may still be in use.
    for (auto* server : {&broken_, &sound_}) {
      if (*server) {
        former_.push_back(std::move(*server));
      }
    }
    const std::string id = std::to_string(++cases_);
    entries_.clear();
    upstreams_.clear();
    broken_ = std::make_unique<abrupt_server>(
        context_, [broken](const std::string&) { return broken; });
    AddRawEntry("i-broken-" + id, broken_->endpoint().port, "akl");
    if (has_sound_one) {
      sound_ = std::make_unique<abrupt_server>(context_, AnswerInFull);
      AddRawEntry("i-sound-" + id, sound_->endpoint().port, "far");
    }
    AllowRetries();
  }

  /// \brief Runs the request and responds with what the client has not got.
  static abrupt_answer AnswerInFull(const std::string& head) {
    abrupt_answer answer;
    answer.read_first = kWholeUpload;
    if (!head.starts_with("POST /chat/") && !head.starts_with("POST /say/")) {
      answer.bytes =
          WithBody(Head("200"), body_framing::kLength, "sound", false);
      return answer;
    }
    const std::string first =
        FieldOf(head, "Last-Event-Id") == "1" ? "" : kFirstEvent;
    answer.bytes = WithBody(StreamHead(), body_framing::kLength,
                            first + kSecondEvent, false);
    return answer;
  }

  /// \brief Sends a request with a long body on a route. Requests differ,
  /// because those with the same content would be taken to crash upstreams.
  partial_response Upload(const std::string& route,
                          bool chunked,
                          std::size_t bytes = abrupt_server::kLongUpload) {
    return RunCall(context_,
                   SendUpload(route + std::to_string(cases_), chunked, bytes));
  }

  awaitable<partial_response> SendUpload(std::string target,
                                         bool chunked,
                                         std::size_t bytes) {
    namespace http = boost::beast::http;
    using boost::asio::ip::tcp;
    boost::system::error_code code;
    const auto redirect = [&code] {
      return boost::asio::redirect_error(boost::asio::use_awaitable, code);
    };
    http::request<http::string_body> message(http::verb::post, target, 11);
    const http_request fields = MakeRequest(target);
    for (const http_field& field : fields.fields) {
      message.insert(field.name, field.value);
    }
    message.body().assign(bytes, 'x');
    message.prepare_payload();
    if (chunked) {
      message.chunked(true);
    }
    tcp::socket socket(context_);
    const tcp::endpoint address(boost::asio::ip::address_v4::loopback(),
                                gateway_endpoint_.port);
    co_await socket.async_connect(address, redirect());
    co_await http::async_write(socket, message, redirect());
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    co_await http::async_read(socket, buffer, parser, redirect());
    partial_response received;
    received.status = static_cast<int>(parser.get().result_int());
    received.body = parser.get().body();
    received.complete = !code;
    co_return received;
  }

  /// \brief Expects that nothing of the broken answer counts: another upstream
  /// answers a request that may be repeated, and no other one gets a booking.
  void ExpectNotBelieved(const std::string& route,
                         const partial_response& received) {
    EXPECT_EQ(broken_->requests(), 1U);
    const bool repeatable = route == "/look/" || route == "/chat/";
    EXPECT_EQ(sound_->requests(), repeatable ? 1U : 0U);
    EXPECT_EQ(received.status, repeatable ? 200 : 502);
    EXPECT_TRUE(received.complete);
    if (route == "/look/") {
      EXPECT_EQ(received.body, "sound");
    } else if (route == "/chat/") {
      EXPECT_EQ(received.body, std::string(kFirstEvent) + kSecondEvent);
    }
  }

  std::unique_ptr<abrupt_server> broken_;
  std::unique_ptr<abrupt_server> sound_;
  std::vector<std::unique_ptr<abrupt_server>> former_;
  int cases_ = 0;
};

// Guards against a part of an answer that a client gets as a whole one: the
// upstream answers a long upload at once and resets the connection within the
// body.
TEST_F(broken_answer_test, Answer_ResetDuringUpload_NotBelieved) {
  for (const std::string route : {"/book/", "/look/"}) {
    for (const body_framing framing : kAllFramings) {
      for (const bool chunked : {false, true}) {
        SCOPED_TRACE(testing::Message()
                     << route << " framing " << static_cast<int>(framing)
                     << " chunked upload " << chunked);
        SetUpstreams({WithBody(Head("200"), framing, kBody, true),
                      ending::kReset, 0, milliseconds(chunked ? 0 : 30)});
        ExpectNotBelieved(route, Upload(route, chunked));
      }
    }
  }
}

// The same after the upload, and without a long one.
TEST_F(broken_answer_test, Answer_ResetAfterUpload_NotBelieved) {
  for (const std::string route : {"/book/", "/look/"}) {
    for (const body_framing framing : kAllFramings) {
      for (const std::size_t bytes :
           {std::size_t{4}, abrupt_server::kLongUpload}) {
        SCOPED_TRACE(testing::Message()
                     << route << " framing " << static_cast<int>(framing)
                     << " upload " << bytes);
        SetUpstreams({WithBody(Head("200"), framing, kBody, true),
                      ending::kReset, kWholeUpload, milliseconds(30)});
        ExpectNotBelieved(route, Upload(route, false, bytes));
      }
    }
  }
}

// The same for a stream that is reset between two events: it is resumed, or
// ends as incomplete where it must not run twice.
TEST_F(broken_answer_test, Stream_ResetBetweenEvents_ResumedOrIncomplete) {
  const std::string part = std::string(kFirstEvent) + "x";
  for (const std::string route : {"/chat/", "/say/"}) {
    for (const body_framing framing : kAllFramings) {
      for (const bool after_upload : {false, true}) {
        SCOPED_TRACE(testing::Message()
                     << route << " framing " << static_cast<int>(framing)
                     << " after upload " << after_upload);
        SetUpstreams({WithBody(StreamHead(), framing, part, true),
                      ending::kReset, after_upload ? kWholeUpload : 0,
                      milliseconds(30)});
        const partial_response received = Upload(route, after_upload);
        EXPECT_EQ(broken_->requests(), 1U);
        EXPECT_EQ(received.status, 200);
        if (route == "/chat/") {
          EXPECT_EQ(sound_->requests(), 1U);
          EXPECT_EQ(received.body, std::string(kFirstEvent) + kSecondEvent);
          EXPECT_TRUE(received.complete);
        } else {
          EXPECT_EQ(sound_->requests(), 0U);
          EXPECT_EQ(received.body, kFirstEvent);
          EXPECT_FALSE(received.complete);
        }
      }
    }
  }
}

// Guards against the loss of sound answers that end with their connection,
// before the upload does or after it.
TEST_F(broken_answer_test, Answer_EndsWithConnection_Forwarded) {
  for (const std::string route : {"/book/", "/look/", "/chat/", "/say/"}) {
    const bool streaming = route == "/chat/" || route == "/say/";
    const std::string body = streaming ? kFirstEvent : kBody;
    const std::string bytes = WithBody(streaming ? StreamHead() : Head("200"),
                                       body_framing::kNone, body, false);
    for (const ending end : {ending::kFinish, ending::kFinishAndReset}) {
      for (const bool after_upload : {false, true}) {
        SCOPED_TRACE(testing::Message() << route << static_cast<int>(end)
                                        << " after upload " << after_upload);
        SetUpstreams({bytes, end, after_upload ? kWholeUpload : 0});
        const partial_response received = Upload(route, after_upload);
        EXPECT_EQ(broken_->requests(), 1U);
        EXPECT_EQ(sound_->requests(), 0U);
        EXPECT_EQ(received.status, 200);
        EXPECT_EQ(received.body, body);
        EXPECT_TRUE(received.complete);
      }
    }
  }
}

// Guards against the loss of a sound early answer to an upload: an error is
// forwarded, and a request that was refused runs once elsewhere.
TEST_F(broken_answer_test, EarlyAnswer_Sound_ForwardedOrRunElsewhere) {
  for (const std::string route : {"/book/", "/look/", "/chat/", "/say/"}) {
    for (const body_framing framing : kAllFramings) {
      for (const std::string status : {"413", "421", "503"}) {
        for (const bool chunked : {false, true}) {
          SCOPED_TRACE(testing::Message()
                       << route << " framing " << static_cast<int>(framing)
                       << " status " << status << " chunked upload "
                       << chunked);
          const std::string head =
              Head(status, status == "503" ? "Not-Executed: 1\r\n" : "");
          const ending end = framing != body_framing::kNone ? ending::kReadOn
                             : chunked                      ? ending::kFinish
                                       : ending::kFinishAndReset;
          SetUpstreams({WithBody(head, framing, kBody, false), end});
          const partial_response received = Upload(route, chunked);
          EXPECT_EQ(broken_->requests(), 1U);
          EXPECT_EQ(sound_->requests(), status == "413" ? 0U : 1U);
          EXPECT_EQ(received.status, status == "413" ? 413 : 200);
          EXPECT_TRUE(received.complete);
          if (status == "413") {
            EXPECT_EQ(received.body, kBody);
          }
        }
      }
    }
  }
}

// Guards against "not run" for a request whose refusal is broken or spoilt, and
// against the loss of a refusal that is whole before a reset.
TEST_F(broken_answer_test, Refusal_NoOtherUpstream_NotRunOnlyIfStated) {
  const std::string refusal = Head("503", "Not-Executed: 1\r\n");
  const std::string empty = "Content-Length: 0\r\n\r\n";
  const std::vector<std::pair<std::string, int>> answers = {
      {refusal + empty, 503},
      {refusal.substr(0, refusal.size() - 2), 502},
      {refusal + "\tX-Other: 1\r\n" + empty, 502},
      {Head("000", "Not-Executed: 1\r\n") + empty, 502}};
  for (const auto& [bytes, status] : answers) {
    for (const std::size_t upload :
         {std::size_t{4}, abrupt_server::kLongUpload}) {
      SCOPED_TRACE(bytes);
      SetUpstreams({bytes, ending::kReset, 0, milliseconds(30)}, false);
      EXPECT_EQ(Upload("/book/", false, upload).status, status);
      EXPECT_EQ(broken_->requests(), 1U);
    }
  }
}

// Guards against an answer in whose head the name of a field holds a blank or a
// control byte: it is forwarded with that line, or with another body.
TEST_F(broken_answer_test, FieldName_BlankOrControlByte_NotBelieved) {
  std::vector<std::string> names = OddFieldNames("Content-Length");
  for (std::string& name : OddFieldNames("X-Other")) {
    names.push_back(std::move(name));
  }
  for (const std::string& name : names) {
    for (const std::string route : {"/book/", "/look/", "/chat/", "/say/"}) {
      SCOPED_TRACE(route + testing::PrintToString(name));
      const bool streaming = route == "/chat/" || route == "/say/";
      const std::string body = streaming ? kFirstEvent : kBody;
      std::string bytes = streaming ? StreamHead() : Head("200");
      bytes.append("X-First: 1\r\n").append(name).append(": ");
      bytes.append(std::to_string(body.size())).append("\r\n\r\n");
      // The second copy does not belong to a body of that length.
      bytes.append(body).append(body);
      SetUpstreams({bytes, ending::kFinish});
      ExpectNotBelieved(route, Upload(route, false, 4));
    }
  }
}

}  // namespace
}  // namespace fireflyslip
