#include "fireflyslip/platform/object_client.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "http/repeating_server.h"

namespace fireflyslip {
namespace {

/// \brief Response to a write: 200 with the new version, or another status.
http_response WriteResponse(int status, std::uint64_t version) {
  http_response response{status};
  if (status == 200) {
    response.fields = {{"ETag", "\"" + std::to_string(version) + "\""}};
  }
  return response;
}

/// \brief Statuses of two writes and the result of the second one.
struct two_writes {
  const char* name;
  int first;
  int second;
  std::optional<error_kind> failure;
};

class object_client_test : public testing::TestWithParam<two_writes> {
 protected:
  boost::asio::io_context context_{1};
};

// Guards against a write that takes effect and counts as not done, or the
// reverse: a journal that has another owner counts as written and a booking
// runs twice.
TEST_P(object_client_test, Put_EarlierResponseRepeated_OwnResultReturned) {
  std::uint64_t writes = 0;
  repeating_server platform(context_, 200, [&](const http_request& /*put*/) {
    ++writes;
    return WriteResponse(writes == 1 ? GetParam().first : GetParam().second,
                         writes);
  });
  object_client client(context_, platform.endpoint());
  RunCall(context_, client.Put("journal", 0, "a"));
  const auto second = RunCall(context_, client.Put("journal", 1, "b"));
  EXPECT_EQ(writes, 2U);
  ASSERT_EQ(IsOk(second), !GetParam().failure);
  if (IsOk(second)) {
    EXPECT_EQ(ValueOf(second), 2U);
  } else {
    EXPECT_EQ(ErrorOf(second).kind, *GetParam().failure);
  }
}

INSTANTIATE_TEST_SUITE_P(
    responses,
    object_client_test,
    testing::Values(two_writes{"unavailable_written", 503, 200, std::nullopt},
                    two_writes{"conflict_written", 412, 200, std::nullopt},
                    two_writes{"written_conflict", 200, 412,
                               error_kind::kConflict},
                    two_writes{"written_twice", 200, 200, std::nullopt}),
    [](const auto& parameter) { return std::string(parameter.param.name); });

// Guards against an object that is read as the content of another one.
TEST(object_client_read_test,
     Get_ResponseForOtherObjectRepeated_OwnObjectRead) {
  boost::asio::io_context context{1};
  repeating_server platform(context, 200, [](const http_request& request) {
    return http_response{200, {{"ETag", "\"1\""}}, request.target};
  });
  object_client client(context, platform.endpoint());
  RunCall(context, client.Get("journal/a"));
  const auto read = RunCall(context, client.Get("journal/b"));
  ASSERT_TRUE(IsOk(read) && ValueOf(read));
  EXPECT_EQ(ValueOf(read)->body, "/v1/objects/journal/b");
}

}  // namespace
}  // namespace fireflyslip
