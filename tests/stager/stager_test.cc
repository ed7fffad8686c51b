#include "stager/stager.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>

#include "node/fake_store.h"
#include "stager/chunk_server.h"

namespace fireflyslip {
namespace {

/// \brief A stager that is also the relay of its data centre, beside a replica
/// that also answers as the origin of weights.
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
              {"chunkCount", kChunks},
              {"chunkBytes", ChunkOf("m", 1, 0).size()}}}},
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

  static std::string ChunkOf(const std::string& model,
                             std::uint64_t version,
                             std::size_t index) {
    return "chunk " + std::to_string(index) + " of " + model + " " +
           std::to_string(version);
  }

  boost::asio::awaitable<void> ServeReplica(http_request request,
                                            response_writer& writer) {
    http_response response;
    const std::string path(request.path());
    if (!endless_path_.empty() && path.starts_with(endless_path_)) {
      co_await SendWithoutEnd(writer);
      co_return;
    }
    const std::string model = path.substr(path.rfind('/') + 1);
    const auto parameter = [&](std::string_view name) {
      const std::string text(request.QueryParameter(name));
      return text.empty() ? 0 : std::stoul(text);
    };
    const std::size_t index = parameter("itemCount");
    const std::uint64_t version = parameter("version");
    if (path == platform::kReportPath) {
      response.body =
          nlohmann::json{
              {"active", 0},
              {"queued", 0},
              {"modelList", {{{"name", "m"}, {"version", loaded_version_}}}}}
              .dump();
    } else if (path.starts_with(platform::kManifestPath)) {
      manifest_versions_.insert(version);
      response.body = ManifestOf(model, version, ++manifests_ == 1);
    } else if (path.starts_with(platform::kChunkPath) && has_chunks_) {
      response.body = ChunkOf(model, version, index);
    } else if (path.starts_with(platform::kStagePutPath)) {
      staged_[index] = request.body;
    } else if (path.starts_with(platform::kStageGetPath)) {
      response.status = staged_.contains(index) ? 200 : 404;
      if (response.status == 200) {
        response.body = staged_[index];
        on_read_(++reads_);
      }
    } else if (path == platform::kOrderPath) {
      response.status = 202;
      on_order_();
      loaded_version_ =
          nlohmann::json::parse(request.body)["version"].get<std::uint64_t>();
    } else {
      response.status = 503;
    }
    co_await writer.Send(std::move(response));
  }

  boost::asio::awaitable<void> SendWithoutEnd(response_writer& writer) {
    const std::size_t sent = co_await fake_store::SendWithoutEnd(writer);
    longest_body_ = std::max(longest_body_, sent);
  }

  /// Adds a VM whose chunk server or relay sends bodies without end.
  void AddEndlessPeer(std::uint16_t port) {
    store_.PutUpstream("i-2", "127.0.0.2:1");
    peer_ = std::make_unique<http_server>(
        context_, http_limits{},
        [this](http_request /*request*/, response_writer& writer) {
          return SendWithoutEnd(writer);
        });
    EXPECT_TRUE(IsOk(peer_->Listen({"127.0.0.2", port})));
  }

  /// Runs until some bodies without end were given up.
  void ExpectEndlessBodiesGivenUp() {
    const std::uint64_t before = OversizeResponses();
    ASSERT_TRUE(IsOk(stager_->Start()));
    EXPECT_TRUE(RunUntil([&] { return OversizeResponses() >= before + 3; }));
    context_.run_for(milliseconds(100));
    EXPECT_LT(std::max(longest_body_, store_.longest_body()),
              kMaxBytesWithoutEnd);
  }

  /// Adds a VM whose agent has the manifest and all chunks.
  void AddPeer() {
    store_.PutUpstream("i-2", "127.0.0.2:1");
    peer_ = std::make_unique<http_server>(
        context_, http_limits{},
        [this](http_request request, response_writer& writer) {
          return ServePeer(std::move(request), writer);
        });
    EXPECT_TRUE(
        IsOk(peer_->Listen({"127.0.0.2", settings_.ChunkEndpoint().port})));
  }

  boost::asio::awaitable<void> ServePeer(http_request request,
                                         response_writer& writer) {
    http_response response;
    response.status = 404;
    if (peer_folds_line_) {
      response.fields = {{"X-First", "1"}, {"\tX-Odd", "1"}};
    }
    for (std::size_t i = 0; i < kChunks; ++i) {
      if (request.path() == ManifestPath(2)) {
        response.status = 200;
        response.body += digest::Of(ChunkOf("m", 2, i)).ToHex() + "\n";
      } else if (request.path() == ChunkTarget(2, i, true)) {
        ++peer_chunks_;
        response.status = 200;
        response.body = ChunkOf("m", 2, i);
      }
    }
    co_await writer.Send(std::move(response));
  }

  std::string ManifestOf(const std::string& model,
                         std::uint64_t version,
                         bool is_first) {
    nlohmann::json digests = nlohmann::json::array();
    for (std::size_t i = 0; i < kChunks; ++i) {
      digests.push_back(digest::Of(ChunkOf(model, version, i)).ToHex());
    }
    if (is_first && spoils_first_manifest_) {
      auto& digits = digests[kChunks / 2].get_ref<std::string&>();
      digits.front() = digits.front() == '0' ? '1' : '0';
    }
    return nlohmann::json{{"version", version}, {"digestList", digests}}.dump();
  }

  /// First of four consecutive ports that are free. Tests that run at the same
  /// time begin at different ones.
  static std::uint16_t FreePorts() {
    using boost::asio::ip::tcp;
    constexpr int kFirst = 21000;
    constexpr int kGroups = 1000;
    constexpr int kGroupSize = 8;
    boost::asio::io_context context;
    for (int i = 0; i < kGroups; ++i) {
      const int group = (::getpid() + i) % kGroups;
      const auto first =
          static_cast<std::uint16_t>(kFirst + group * kGroupSize);
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
  static constexpr std::size_t kChunks = 8;
  /// Bytes of a body without end that an agent may take; includes what the
  /// sockets buffer.
  static constexpr std::size_t kMaxBytesWithoutEnd = 24UL << 20;
  bool spoils_first_manifest_ = false;
  std::string endless_path_;  // prefix of requests to the replica and origin
  std::size_t longest_body_ = 0;
  std::unique_ptr<http_server> peer_;
  std::size_t peer_chunks_ = 0;   // answers with a chunk
  bool peer_folds_line_ = false;  // in the head of each answer
  bool has_chunks_ = false;       // the origin provides them
  std::map<std::size_t, std::string> staged_;
  std::uint64_t loaded_version_ = 1;
  std::function<void(std::size_t)> on_read_ = [](std::size_t) {};
  std::function<void()> on_order_ = [] {};
  std::size_t reads_ = 0;      // of staged chunks
  std::size_t manifests_ = 0;  // requests
  std::set<std::uint64_t> manifest_versions_;
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

// Guards against loading a staged chunk that turned bad after it had been
// verified, because the process was suspended before the last one was read.
TEST_F(stager_test, Agent_SuspendedWhileVerifying_SpoiltChunkNotLoaded) {
  has_chunks_ = true;
  std::optional<time_point> spoilt_at;
  on_read_ = [&](std::size_t reads) {
    if (reads == kChunks - 2) {
      staged_[0] = "spoilt";
      spoilt_at = MonotonicNow();
      std::this_thread::sleep_for(milliseconds(3500));
    }
  };
  std::size_t spoilt_loads = 0;
  on_order_ = [&] {
    const bool is_spoilt = staged_[0] != ChunkOf("m", 2, 0);
    spoilt_loads +=
        is_spoilt && MonotonicNow() - *spoilt_at > seconds(3) ? 1 : 0;
  };
  ASSERT_TRUE(IsOk(stager_->Start()));
  ASSERT_TRUE(RunUntil([&] { return loaded_version_ == 2; }));
  EXPECT_TRUE(spoilt_at);
  EXPECT_EQ(spoilt_loads, 0U);
}

// Guards against a replica without weights: an agent that starts takes the
// version of another model for its own, because it reads the versions before it
// knows its model.
TEST_F(stager_test, Agent_StartsWithTwoModels_OwnVersionFetched) {
  has_chunks_ = true;
  loaded_version_ = 0;
  store_.Put(platform::kVersionKind, "other",
             {{"modelName", "other"}, {"version", 7}});
  ASSERT_TRUE(IsOk(stager_->Start()));
  ASSERT_TRUE(RunUntil([&] { return loaded_version_ == 2; }));
  EXPECT_EQ(manifest_versions_, std::set<std::uint64_t>{2});
}

// Guards against the same after the start: a new version of another model, as a
// list, as a change or from a relay.
TEST_F(stager_test, OtherModel_NewVersion_OwnVersionKept) {
  has_chunks_ = true;
  ASSERT_TRUE(IsOk(stager_->Start()));
  ASSERT_TRUE(RunUntil([&] { return loaded_version_ == 2; }));
  store_.Put(platform::kVersionKind, "other",
             {{"modelName", "other"}, {"version", 7}});
  context_.run_for(std::chrono::seconds(3));
  EXPECT_EQ(loaded_version_, 2U);
  store_.PutVersion(3);
  ASSERT_TRUE(RunUntil([&] { return loaded_version_ != 2; }));
  EXPECT_EQ(loaded_version_, 3U);
  EXPECT_EQ(manifest_versions_, (std::set<std::uint64_t>{2, 3}));
}

/// \brief A replica or origin that sends one kind of body without end.
class stager_endless_body_test
    : public stager_test,
      public testing::WithParamInterface<const char*> {};

// Guards against an agent that collects a body without end and is ended for the
// memory that it needs.
TEST_P(stager_endless_body_test, ReplicaOrOrigin_SendsWithoutEnd_GivenUp) {
  has_chunks_ = true;
  endless_path_ = GetParam();
  if (endless_path_ == platform::kStageGetPath) {
    loaded_version_ = 0;
  }
  ExpectEndlessBodiesGivenUp();
}

INSTANTIATE_TEST_SUITE_P(paths,
                         stager_endless_body_test,
                         testing::Values(platform::kReportPath,
                                         platform::kStageGetPath,
                                         platform::kStagePutPath,
                                         platform::kOrderPath,
                                         platform::kManifestPath,
                                         platform::kChunkPath));

// Guards against the same for the chunks and manifests of other agents.
TEST_F(stager_test, Peer_SendsWithoutEnd_GivenUp) {
  AddEndlessPeer(settings_.ChunkEndpoint().port);
  ExpectEndlessBodiesGivenUp();
}

// Guards against the same for relays.
TEST_F(stager_test, Relay_SendsWithoutEnd_GivenUp) {
  AddEndlessPeer(settings_.RelayPort());
  ExpectEndlessBodiesGivenUp();
}

// Guards against the same for the store.
TEST_F(stager_test, Store_SendsWithoutEnd_GivenUp) {
  store_.set_mode(fake_store::mode::kEndless);
  ExpectEndlessBodiesGivenUp();
}

// Guards against a version that is never loaded, because one digit of its
// manifest was spoilt when the origin sent it.
TEST_F(stager_test, Manifest_SpoiltByOrigin_CorrectedWithItsChunk) {
  has_chunks_ = true;
  spoils_first_manifest_ = true;
  ASSERT_TRUE(IsOk(stager_->Start()));
  ASSERT_TRUE(RunUntil([&] { return loaded_version_ == 2; }));
  EXPECT_EQ(manifests_, 2U);
}

// Guards against the same where the chunk comes from another agent.
TEST_F(stager_test, Manifest_Spoilt_CorrectedWithChunkOfPeer) {
  spoils_first_manifest_ = true;
  AddPeer();
  ASSERT_TRUE(IsOk(stager_->Start()));
  ASSERT_TRUE(RunUntil([&] { return loaded_version_ == 2; }));
}

// Guards against manifests and chunks that are taken from an answer in whose
// head the name of a field begins with a control byte.
TEST_F(stager_test, Peer_FoldsLineOfHead_NotBelieved) {
  peer_folds_line_ = true;
  AddPeer();
  ASSERT_TRUE(IsOk(stager_->Start()));
  ASSERT_TRUE(RunUntil([&] { return peer_chunks_ > 0; }));
  context_.run_for(seconds(1));
  EXPECT_TRUE(staged_.empty());
  // A sound answer of the same peer is believed.
  peer_folds_line_ = false;
  EXPECT_TRUE(RunUntil([&] { return loaded_version_ == 2; }));
}

}  // namespace
}  // namespace fireflyslip
