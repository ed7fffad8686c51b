#include "stager/stager.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "node/fake_store.h"

namespace fireflyslip {
namespace {

/// \brief A stager that is also the relay of its data centre, beside a replica
/// and an origin that provides the manifest but no chunk.
class stager_test : public testing::Test {
 protected:
  stager_test() : store_(context_), replica_(MakeReplica()) {
    settings_.vm = vm_id("vm");
    settings_.address = "127.0.0.1";
    settings_.data_centre = data_centre_id("akl");
    settings_.region = region_id("akl");
    settings_.service = service_name("singer");
    settings_.platform = store_.endpoint();
    settings_.engine = replica_endpoint_;
    settings_.first_internal_port = FreePorts();
    const std::string address =
        "127.0.0.1:" + std::to_string(replica_endpoint_.port);
    store_.Put(
        platform::kConfigurationKind, platform::kConfigurationName,
        {{"version", 1},
         {"routes", nlohmann::json::array()},
         {"services",
          {{{"name", "singer"},
            {"engineType",
             {{"modelList", {{{"name", "m"}}}},
              {"chunkCount", 2},
              {"chunkBytes", 4}}}},
           {{"name", "origin"}, {"origin", address}, {"zone", "akl"}}}}});
    store_.PutUpstream("i-1", address);
    store_.PutVersion(2);
    stager_ = std::make_unique<stager>(context_, settings_, counters_, 1);
  }

  std::unique_ptr<http_server> MakeReplica() {
    auto server = std::make_unique<http_server>(
        context_, http_limits{},
        [this](http_request request, response_writer& writer) {
          return ServeReplica(std::move(request), writer);
        });
    const auto port = server->Listen({"127.0.0.1", 0});
    replica_endpoint_ = {"127.0.0.1", std::get<unsigned short>(port)};
    return server;
  }

  boost::asio::awaitable<void> ServeReplica(http_request request,
                                            response_writer& writer) {
    http_response response;
    const std::string path(request.path());
    if (path == platform::kReportPath) {
      response.body =
          R"({"active":0,"queued":0,"modelList":[{"name":"m","version":1}]})";
    } else if (path.starts_with(platform::kManifestPath)) {
      ++manifests_;
      const std::string name(64, '0');
      response.body =
          nlohmann::json{{"version", 2}, {"digestList", {name, name}}}.dump();
    } else {
      response.status = 503;
    }
    co_await writer.Send(std::move(response));
  }

  /// First of four consecutive ports that are free.
  static std::uint16_t FreePorts() {
    using boost::asio::ip::tcp;
    boost::asio::io_context context;
    for (std::uint16_t first = 21000; first < 29000; first += 4) {
      bool is_free = true;
      for (std::uint16_t port = first; port < first + 4; ++port) {
        boost::system::error_code code;
        tcp::acceptor acceptor(context);
        acceptor.open(tcp::v4(), code);
        acceptor.bind({boost::asio::ip::address_v4::loopback(), port}, code);
        is_free = is_free && !code;
      }
      if (is_free) {
        return first;
      }
    }
    return 0;
  }

  bool RunUntil(const std::function<bool()>& condition) {
    const time_point end = MonotonicNow() + seconds(20);
    while (!condition() && MonotonicNow() < end) {
      context_.run_for(std::chrono::milliseconds(5));
    }
    return condition();
  }

  boost::asio::io_context context_;
  fake_store store_;
  http_endpoint replica_endpoint_;
  std::unique_ptr<http_server> replica_;
  node_settings settings_;
  std::size_t manifests_ = 0;  // requests
  metrics counters_;
  std::unique_ptr<stager> stager_;
};

// Guards against stagers that all list the upstreams in the store again and
// again while they fetch weights, which fills the link to the store.
TEST_F(stager_test, Chunks_AreFetched_UpstreamsNotListedAgain) {
  ASSERT_TRUE(IsOk(stager_->Start()));
  const auto lists = [&] { return store_.lists(platform::kUpstreamKind); };
  // One list finds the relay, the other one is read by the relay.
  ASSERT_TRUE(RunUntil([&] { return lists() >= 2; }));
  const std::size_t before = lists();
  context_.run_for(std::chrono::seconds(6));
  EXPECT_LE(lists(), before + 1);
}

// Guards against a start of the whole fleet in which each agent reads the
// configuration with all routes from the store, over the link between regions.
TEST_F(stager_test, Agent_Starts_ConfigurationReadFromRelay) {
  ASSERT_TRUE(IsOk(stager_->Start()));
  const auto lists = [&] { return store_.lists(platform::kConfigurationKind); };
  ASSERT_TRUE(RunUntil([&] { return lists() >= 1; }));
  // The manifest is asked for once the services are known.
  ASSERT_TRUE(RunUntil([&] { return manifests_ > 0; }));
  EXPECT_EQ(lists(), 1U);
}

}  // namespace
}  // namespace fireflyslip
