#include "stager/chunk_server.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <optional>
#include <string>
#include <utility>

namespace fireflyslip {
namespace {

/// \brief Server of one model with one chunk, and a peer.
class chunk_server_test : public testing::Test {
 protected:
  chunk_server_test()
      : server_(context_, chunks_, model_, 1e9, [](std::uint64_t, std::size_t) {
          return std::nullopt;
        }) {
    chunks_.Reset(2, {digest::Of("bytes")});
    chunks_.Put(0, "bytes");
    const auto port = server_.Listen({"127.0.0.1", 0});
    EXPECT_TRUE(IsOk(port));
    endpoint_ = {"127.0.0.1", ValueOf(port)};
  }

  int StatusOf(const std::string& target, const std::string& model) {
    http_request request;
    request.target = target;
    if (!model.empty()) {
      request.fields.push_back({kModelField, model});
    }
    std::optional<result<http_response>> answer;
    boost::asio::co_spawn(context_, Send(std::move(request), answer),
                          boost::asio::detached);
    context_.restart();
    while (!answer) {
      context_.run_one();
    }
    return IsOk(*answer) ? ValueOf(*answer).status : 0;
  }

  boost::asio::awaitable<void> Send(
      http_request request,
      std::optional<result<http_response>>& answer) {
    answer.emplace(co_await client_.Request(endpoint_, request, seconds(20)));
  }

  boost::asio::io_context context_{1};
  chunk_store chunks_;
  model_name model_{"m"};
  chunk_server server_;
  http_client client_{context_};
  http_endpoint endpoint_;
};

// Guards against an agent that takes the manifest or the chunks of another
// model, because its address belonged to a peer before.
TEST_F(chunk_server_test, Request_OtherModel_NotFound) {
  for (const std::string& target :
       {ManifestPath(2), ChunkTarget(2, 0, false)}) {
    EXPECT_EQ(StatusOf(target, "m"), 200);
    EXPECT_EQ(StatusOf(target, ""), 200);
    EXPECT_EQ(StatusOf(target, "other"), 404);
  }
}

}  // namespace
}  // namespace fireflyslip
