#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fireflyslip/platform/object_client.h"
#include "fireflyslip/runtime.h"
#include "http/abrupt_server.h"
#include "http/repeating_server.h"
#include "program/chunk_transfer.h"
#include "program/engine_client.h"
#include "program/upstream_call.h"

namespace fireflyslip {
namespace {

/// \brief Calls of an agent to a server whose answers are broken. Each would be
/// believed if its head or the end of its body were not.
class program_broken_answer_test : public testing::Test {
 protected:
  /// \brief Adds a server, which stays alive for connections that are open.
  http_endpoint Serve(const abrupt_answer& answer) {
    servers_.push_back(std::make_unique<abrupt_server>(
        context_, [answer](const std::string&) { return answer; }));
    return servers_.back()->endpoint();
  }

  orders::order_result Load(const http_endpoint& server, std::string manifest) {
    engine_client engine(context_, server);
    orders::send_order order;
    order.expiry = MonotonicNow() + seconds(60);
    return RunCall(context_, engine.Load(order, manifest)).result;
  }

  result<upstream_result> CallService(const http_endpoint& server,
                                      std::string body) {
    http_client client(context_);
    upstream_call call(client, server);
    attempt_message attempt;
    attempt.method = "POST";
    attempt.path = "/book";
    attempt.body = std::move(body);
    const upstream_call::part_function no_parts;
    return RunCall(context_,
                   call.Run(attempt, MonotonicNow() + seconds(20), no_parts));
  }

  boost::asio::io_context context_{1};
  std::vector<std::unique_ptr<abrupt_server>> servers_;
  const std::string long_upload_ = std::string(abrupt_server::kLongUpload, 'x');
};

// Guards against an answer of a service, engine or store of the system's own
// interfaces that is believed though its head is not sound.
TEST_F(program_broken_answer_test, AnyServer_SpoiltHead_NotBelieved) {
  const std::string body = "chunk";
  for (const abrupt_answer& answer : SpoiltAnswers(body)) {
    SCOPED_TRACE(answer.bytes);
    const http_endpoint server = Serve(answer);
    EXPECT_FALSE(IsOk(CallService(server, "body")));
    EXPECT_EQ(Load(server, "{}"), orders::order_result::kUnknown);
    object_client store(context_, server);
    EXPECT_FALSE(IsOk(RunCall(context_, store.Put("journal", 0, "a"))));
    EXPECT_FALSE(IsOk(RunCall(context_, store.Get("journal"))));
    http_client client(context_);
    chunk_entry chunk;
    chunk.name = digest::Of(body);
    chunk.size = body.size();
    chunk_transfer transfer(client, server, chunk);
    EXPECT_FALSE(IsOk(RunCall(context_, transfer.Run())));
  }
}

// Guards against a part of an answer that is taken for a whole one, because the
// server resets the connection while the request is still being written.
TEST_F(program_broken_answer_test, AnyServer_ResetDuringUpload_NotBelieved) {
  const http_endpoint server = Serve(ResetAnswer("part"));
  EXPECT_FALSE(IsOk(CallService(server, long_upload_)));
  EXPECT_EQ(Load(server, "\"" + long_upload_ + "\""),
            orders::order_result::kUnknown);
  object_client store(context_, server);
  const auto written = RunCall(context_, store.Put("journal", 0, long_upload_));
  ASSERT_FALSE(IsOk(written));
  EXPECT_EQ(ErrorOf(written).kind, error_kind::kOutcomeUnknown);
}

}  // namespace
}  // namespace fireflyslip
