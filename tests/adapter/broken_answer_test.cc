#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <string>
#include <utility>

#include "http/abrupt_server.h"
#include "http/repeating_server.h"
#include "platform/engine_client.h"

namespace fireflyslip::platform {
namespace {

/// \brief Calls of a stager and a gateway to a server whose answers are broken.
/// Each would be believed if its head or the end of its body were not.
class platform_broken_answer_test : public testing::Test {
 protected:
  template <typename Call>
  void ExpectFailure(Call call) {
    const auto answer = RunCall(context_, std::move(call));
    EXPECT_FALSE(IsOk(answer));
  }

  boost::asio::io_context context_{1};
  abrupt_answer answer_;
  abrupt_server server_{context_,
                        [this](const std::string&) { return answer_; }};
  const model_name model_{"m"};
};

// Guards against a chunk that counts as staged though the replica has reset the
// connection before it had the whole chunk.
TEST_F(platform_broken_answer_test, StageChunk_ResetDuringUpload_NotStaged) {
  answer_ = ResetAnswer("{}");
  engine_client engine(context_, server_.endpoint());
  ExpectFailure(engine.StageChunk(
      model_, 1, std::string(abrupt_server::kLongUpload, 'x'), seconds(20)));
}

}  // namespace
}  // namespace fireflyslip::platform
