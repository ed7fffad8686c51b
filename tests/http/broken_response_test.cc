#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "fireflyslip/http/http_client.h"
#include "http/abrupt_server.h"
#include "http/repeating_server.h"

namespace fireflyslip {
namespace {

using ending = abrupt_answer::ending;

constexpr std::size_t kWholeUpload = abrupt_answer::kWholeUpload;

constexpr char kHead[] = "HTTP/1.1 200 OK\r\nConnection: close\r\n";
constexpr char kBody[] = "the whole body";

/// \brief Client of a server that breaks its answers off or spoils their heads.
class broken_response_test : public testing::Test {
 protected:
  /// \brief Sends a request; its body is empty or does not fit into the buffers
  /// of the connection.
  result<http_response> Send(abrupt_answer answer, std::size_t upload_bytes) {
    answer_ = std::move(answer);
    http_request request;
    request.method = "POST";
    request.body.assign(upload_bytes, 'x');
    return RunCall(context_, client_.Request(server_.endpoint(),
                                             std::move(request), seconds(20)));
  }

  static void ExpectFailure(const result<http_response>& answer) {
    ASSERT_FALSE(IsOk(answer)) << ValueOf(answer).body;
    EXPECT_EQ(ErrorOf(answer).kind, error_kind::kUpstreamFailed);
  }

  static void ExpectWhole(const result<http_response>& answer) {
    ASSERT_TRUE(IsOk(answer)) << ErrorOf(answer).detail;
    EXPECT_EQ(ValueOf(answer).status, 200);
    EXPECT_EQ(ValueOf(answer).body, kBody);
  }

  static constexpr milliseconds kPauses[] = {milliseconds(0), milliseconds(30)};

  boost::asio::io_context context_{1};
  abrupt_answer answer_;
  abrupt_server server_{context_,
                        [this](const std::string&) { return answer_; }};
  http_client client_{context_};
};

// Guards against a part of a body that is taken for a whole one: the server
// resets the connection while the request is still being written.
TEST_F(broken_response_test, Body_ResetDuringUpload_Fails) {
  for (const body_framing framing : kAllFramings) {
    for (const milliseconds pause : kPauses) {
      SCOPED_TRACE(testing::Message() << "framing " << static_cast<int>(framing)
                                      << " pause " << pause.count());
      const std::string bytes = WithBody(kHead, framing, kBody, true);
      ExpectFailure(
          Send({bytes, ending::kReset, 0, pause}, abrupt_server::kLongUpload));
    }
  }
}

// The same before the first byte of the body.
TEST_F(broken_response_test, EmptyBody_ResetDuringUpload_Fails) {
  for (const milliseconds pause : kPauses) {
    SCOPED_TRACE(pause.count());
    ExpectFailure(Send({std::string(kHead) + "\r\n", ending::kReset, 0, pause},
                       abrupt_server::kLongUpload));
  }
}

// The same at other moments of the upload.
TEST_F(broken_response_test, Body_ResetWithinUpload_Fails) {
  const std::string bytes = WithBody(kHead, body_framing::kNone, kBody, true);
  constexpr std::size_t kStep = 100UL << 10;
  for (std::size_t i = 1; i <= 40; ++i) {
    SCOPED_TRACE(i);
    ExpectFailure(Send({bytes, ending::kReset, i * kStep, milliseconds(i % 2)},
                       abrupt_server::kLongUpload));
  }
}

// The same with a server that runs beside the client, so that the reset comes
// between any two steps of the client; and a response that ended in order
// before the reset is whole.
TEST(broken_response_thread_test, Body_ResetAtAnyMoment_WholeOnlyIfEnded) {
  constexpr std::size_t kRounds = 200;
  constexpr std::size_t kStep = 50UL << 10;
  std::size_t round = 0;
  boost::asio::io_context server_context{1};
  abrupt_server server(server_context, [&round](const std::string&) {
    abrupt_answer answer;
    answer.bytes = WithBody(kHead, body_framing::kNone, kBody, false);
    answer.end = round % 2 == 0 ? ending::kReset : ending::kFinishAndReset;
    answer.read_first = round++ * kStep % abrupt_server::kLongUpload / 2;
    return answer;
  });
  std::jthread thread([&server_context] { server_context.run(); });
  boost::asio::io_context context{1};
  http_client client(context);
  for (std::size_t i = 0; i < kRounds; ++i) {
    http_request request;
    request.method = "POST";
    request.body.assign(abrupt_server::kLongUpload, 'x');
    const auto answer = RunCall(
        context,
        client.Request(server.endpoint(), std::move(request), seconds(20)));
    EXPECT_EQ(IsOk(answer), i % 2 == 1) << "round " << i;
  }
  server_context.stop();
}

// The same after the request was written, or without a body in it.
TEST_F(broken_response_test, Body_ResetAfterUpload_Fails) {
  for (const std::size_t upload :
       {std::size_t{0}, abrupt_server::kLongUpload}) {
    for (const body_framing framing : kAllFramings) {
      for (const milliseconds pause : kPauses) {
        SCOPED_TRACE(testing::Message()
                     << "framing " << static_cast<int>(framing) << " pause "
                     << pause.count() << " upload " << upload);
        const std::string bytes = WithBody(kHead, framing, kBody, true);
        ExpectFailure(
            Send({bytes, ending::kReset, kWholeUpload, pause}, upload));
      }
    }
  }
}

// Guards against the loss of a sound response that ends with its connection,
// also if the rest of the request meets a reset after that end.
TEST_F(broken_response_test, Body_EndsWithConnection_Whole) {
  const std::string bytes = WithBody(kHead, body_framing::kNone, kBody, false);
  for (const ending end : {ending::kFinish, ending::kFinishAndReset}) {
    for (const milliseconds pause : kPauses) {
      SCOPED_TRACE(testing::Message() << "end " << static_cast<int>(end)
                                      << " pause " << pause.count());
      ExpectWhole(Send({bytes, end, 0, pause}, abrupt_server::kLongUpload));
      ExpectWhole(
          Send({bytes, end, kWholeUpload, pause}, abrupt_server::kLongUpload));
      ExpectWhole(Send({bytes, end, kWholeUpload, pause}, 0));
    }
  }
}

// Guards against the loss of a response whose body is whole before the reset.
TEST_F(broken_response_test, WholeBody_ResetDuringUpload_Whole) {
  for (const body_framing framing :
       {body_framing::kLength, body_framing::kChunks}) {
    for (const milliseconds pause : kPauses) {
      SCOPED_TRACE(testing::Message() << "framing " << static_cast<int>(framing)
                                      << " pause " << pause.count());
      const std::string bytes = WithBody(kHead, framing, kBody, false);
      ExpectWhole(
          Send({bytes, ending::kReset, 0, pause}, abrupt_server::kLongUpload));
    }
  }
}

// Guards against an upload that is cut off after a sound early response, though
// the server reads on.
TEST_F(broken_response_test, EarlyResponse_ServerReadsOn_UploadCompleted) {
  for (const body_framing framing : kAllFramings) {
    SCOPED_TRACE(static_cast<int>(framing));
    const std::string bytes = WithBody(kHead, framing, kBody, false);
    ExpectWhole(Send({bytes, framing == body_framing::kNone ? ending::kFinish
                                                            : ending::kReadOn},
                     abrupt_server::kLongUpload));
    const auto end = std::chrono::steady_clock::now() + seconds(10);
    while (server_.upload_bytes() < abrupt_server::kLongUpload &&
           std::chrono::steady_clock::now() < end) {
      context_.run_for(milliseconds(5));
    }
    EXPECT_EQ(server_.upload_bytes(), abrupt_server::kLongUpload);
  }
}

// Guards against a field whose name holds a blank or a control byte: its line
// is taken for a part of the field before, so that the body has another end.
TEST_F(broken_response_test, FieldName_BlankOrControlByte_Fails) {
  for (const std::string& name : OddFieldNames("Content-Length")) {
    for (const std::string first : {"", "X-First: 1\r\n"}) {
      SCOPED_TRACE(first + testing::PrintToString(name));
      std::string bytes = kHead;
      bytes.append(first).append(name).append(": 3\r\nX-Last: 1\r\n\r\n");
      ExpectFailure(Send({bytes.append(kBody), ending::kFinish}, 0));
    }
  }
  for (const std::string& name : OddFieldNames("X-Other")) {
    SCOPED_TRACE(testing::PrintToString(name));
    std::string head = kHead;
    head.append(name).append(": 3\r\n");
    for (const body_framing framing : kAllFramings) {
      ExpectFailure(
          Send({WithBody(head, framing, kBody, false), ending::kFinish}, 0));
    }
    // Within an interim response, and after one.
    std::string interim = "HTTP/1.1 103 Early Hints\r\n";
    const std::string after = interim + "\r\n";
    interim.append("X-First: 1\r\n").append(name).append(": 3\r\n\r\n");
    ExpectFailure(Send(
        {WithBody(interim + kHead, body_framing::kLength, kBody, false)}, 0));
    ExpectFailure(
        Send({WithBody(after + head, body_framing::kLength, kBody, false)}, 0));
  }
}

// Guards against a status that no server may send.
TEST_F(broken_response_test, Status_OutOfRange_Fails) {
  for (const std::string status : {"000", "099", "600", "999"}) {
    for (const body_framing framing : kAllFramings) {
      SCOPED_TRACE(status);
      const std::string head = "HTTP/1.1 " + status + " Odd\r\n";
      ExpectFailure(
          Send({WithBody(head, framing, kBody, false), ending::kFinish}, 0));
    }
  }
}

}  // namespace
}  // namespace fireflyslip
