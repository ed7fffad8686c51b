#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <string>
#include <utility>

#include "http/abrupt_server.h"
#include "http/repeating_server.h"
#include "platform/engine_client.h"
#include "platform/store_client.h"

namespace fireflyslip::platform {
namespace {

/// \brief Calls of a stager and a gateway to a server whose answers are broken.
/// Each would be believed if its head or the end of its body were not.
class platform_broken_answer_test : public testing::Test {
 protected:
  static constexpr char kBody[] =
      R"({"phase":"combined","modelList":[],"busy":false,"sequence":2,)"
      R"("queued":1,"active":12,"kvUsage":41000,"kvCapacity":90000,)"
      R"("kvHandles":0,"modelName":"m","version":2,"digestList":[],)"
      R"("entries":[],"events":[],"hasMore":false,"at":7})";

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

// Guards against a report, a staged chunk or a load that is believed though the
// head of the answer of the replica is not sound.
TEST_F(platform_broken_answer_test, Replica_SpoiltHead_NotBelieved) {
  for (const abrupt_answer& answer : SpoiltAnswers(kBody)) {
    SCOPED_TRACE(answer.bytes);
    answer_ = answer;
    engine_client engine(context_, server_.endpoint());
    ExpectFailure(engine.ReadLoadReport(seconds(5)));
    ExpectFailure(engine.StageChunk(model_, 1, "chunk", seconds(5)));
    ExpectFailure(engine.ReadStagedChunk(model_, 1, 1 << 20, seconds(5)));
    ExpectFailure(engine.LoadWeights(model_, 2, seconds(5)));
  }
}

// The same for the origin.
TEST_F(platform_broken_answer_test, Origin_SpoiltHead_NotBelieved) {
  for (const abrupt_answer& answer : SpoiltAnswers(kBody)) {
    SCOPED_TRACE(answer.bytes);
    answer_ = answer;
    origin_client origin(context_, server_.endpoint());
    ExpectFailure(origin.ReadManifest(model_, 2, seconds(5)));
    ExpectFailure(origin.ReadChunk(model_, 2, 1, 1 << 20, seconds(5)));
  }
}

// The same for the store.
TEST_F(platform_broken_answer_test, Store_SpoiltHead_NotBelieved) {
  for (const abrupt_answer& answer : SpoiltAnswers(kBody)) {
    SCOPED_TRACE(answer.bytes);
    answer_ = answer;
    store_client store(context_, server_.endpoint());
    ExpectFailure(store.List("servers", false, seconds(5)));
    ExpectFailure(store.Watch("servers", 7, seconds(1), seconds(5)));
  }
}

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
