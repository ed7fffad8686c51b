#include "platform/call_codec.h"

#include <gtest/gtest.h>

namespace fireflyslip::platform {
namespace {

class call_codec_test : public testing::Test {
 protected:
  call_codec_test() {
    request_.method = "POST";
    request_.target = "/c/1?x=2";
    request_.fields = {{"Host", "a.example"},
                       {"Attempt-Id", "id1"},
                       {"authorization", "Bearer secret"},
                       {"Tenant", "forged"},
                       {"Deadline-Ms", "6000"},
                       {"Token-Count", "1460,80"},
                       {"Model", "mod"},
                       {"Last-Event-Id", "4"},
                       {"Connection", "keep-alive, X-Hop"},
                       {"X-Hop", "1"},
                       {"X-Other", "2"}};
    request_.body = "body";
  }

  http_request request_;
};

TEST_F(call_codec_test, DecodeCall_Complete_AllFields) {
  const request_metadata call = DecodeRequestMetadata(request_);
  EXPECT_EQ(call.attempt, "id1");
  EXPECT_EQ(call.time_left, milliseconds(6000));
  EXPECT_EQ(call.api_key, "secret");
  EXPECT_EQ(call.prompt_tokens, 1460U);
  EXPECT_EQ(call.max_output_tokens, 80U);
  EXPECT_EQ(call.last_event, 4U);
}

// Guards against keys and forged workspaces that reach an upstream.
TEST_F(call_codec_test, EncodeAttempt_SystemFields_Replaced) {
  attempt_fields fields;
  fields.upstream = upstream_id("i-1");
  fields.workspace = workspace_id("w");
  fields.time_left = milliseconds(1500);
  const http_request sent = EncodeAttempt(request_, fields);
  EXPECT_EQ(sent.target, request_.target);
  EXPECT_EQ(sent.body, "body");
  EXPECT_EQ(sent.Field("Authorization"), "");
  EXPECT_EQ(sent.Field("Tenant"), "w");
  EXPECT_EQ(sent.Field("Expect-Instance"), "i-1");
  EXPECT_EQ(sent.Field("Deadline-Ms"), "1500");
  EXPECT_EQ(sent.Field("Attempt-Id"), "id1");
  EXPECT_EQ(sent.Field("X-Hop"), "");
  EXPECT_EQ(sent.Field("X-Other"), "2");
  EXPECT_EQ(sent.Field("Last-Event-Id"), "4");
}

// Guards against a continued stream that repeats events.
TEST_F(call_codec_test, EncodeAttempt_Continued_NewestEvent) {
  attempt_fields fields;
  fields.last_event = 9;
  EXPECT_EQ(EncodeAttempt(request_, fields).Field("Last-Event-Id"), "9");
}

// Guards against "may have run" for what an upstream states not to have run.
TEST_F(call_codec_test, DecodeAnswer_NotRun_Recognized) {
  EXPECT_TRUE(
      DecodeResponseMetadata({503, {{"Not-Executed", "1"}}, ""}).not_executed);
  EXPECT_TRUE(DecodeResponseMetadata({421, {}, ""}).not_executed);
  EXPECT_FALSE(DecodeResponseMetadata({503, {}, ""}).not_executed);
}

TEST_F(call_codec_test, SetRetryAfter_Fraction_Written) {
  http_response response;
  SetRetryAfter(response, milliseconds(312));
  EXPECT_EQ(response.Field("Retry-After"), "0.32");
}

TEST_F(call_codec_test, DecodeEventId_WithVersionLine_Found) {
  EXPECT_EQ(DecodeEventId("weight-versions: 2\nid: 17\ndata: x\n\n"), 17U);
  EXPECT_EQ(DecodeEventId("data: x\n\n"), std::nullopt);
}

}  // namespace
}  // namespace fireflyslip::platform
