#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fireflyslip/core.h"
#include "gateway/catalog_feed.h"
#include "node/catalog_relay.h"
#include "node/fake_store.h"

namespace fireflyslip {
namespace {

using boost::asio::awaitable;
using boost::asio::ip::tcp;

/// \brief Forwards connections to a server and counts what the server sends.
class counting_proxy {
 public:
  explicit counting_proxy(boost::asio::io_context& context)
      : context_(context),
        acceptor_(context, {boost::asio::ip::address_v4::loopback(), 0}) {}

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  std::size_t bytes() const { return bytes_; }
  void Start(std::uint16_t server_port) {
    server_port_ = server_port;
    boost::asio::co_spawn(context_, Accept(), boost::asio::detached);
  }

 private:
  awaitable<void> Accept() {
    for (;;) {
      tcp::socket accepted =
          co_await acceptor_.async_accept(boost::asio::use_awaitable);
      auto client = std::make_shared<tcp::socket>(std::move(accepted));
      auto server = std::make_shared<tcp::socket>(context_);
      const tcp::endpoint target(boost::asio::ip::address_v4::loopback(),
                                 server_port_);
      co_await server->async_connect(target, boost::asio::use_awaitable);
      boost::asio::co_spawn(context_, Pump(client, server, nullptr),
                            boost::asio::detached);
      boost::asio::co_spawn(context_, Pump(server, client, &bytes_),
                            boost::asio::detached);
    }
  }

  static awaitable<void> Pump(std::shared_ptr<tcp::socket> from,
                              std::shared_ptr<tcp::socket> to,
                              std::size_t* count) {
    std::array<char, 16384> buffer{};
    boost::system::error_code failed;
    while (!failed) {
      const std::size_t read = co_await from->async_read_some(
          boost::asio::buffer(buffer),
          boost::asio::redirect_error(boost::asio::use_awaitable, failed));
      if (failed) {
        break;
      }
      if (count != nullptr) {
        *count += read;
      }
      co_await boost::asio::async_write(
          *to, boost::asio::buffer(buffer.data(), read),
          boost::asio::redirect_error(boost::asio::use_awaitable, failed));
    }
    boost::system::error_code ignored;
    from->close(ignored);
    to->close(ignored);
  }

  boost::asio::io_context& context_;
  tcp::acceptor acceptor_;
  std::uint16_t server_port_ = 0;
  std::size_t bytes_ = 0;
};

/// \brief The 30 gateways of one of five data centres behind their relay, which
/// is on a VM with a link of 9.4 Mbit/s.
class configuration_fan_out_test : public testing::Test {
 protected:
  static constexpr int kGateways = 30;
  static constexpr int kRoutes = 1529;
  static constexpr double kRelayLinkBytesPerSecond = 9.4e6 / 8;
  /// Chunks of weights may use the rest.
  static constexpr double kConfigurationShare = 0.15;
  /// Interval at which gateways read a configuration that changes all the time.
  static constexpr double kReadIntervalSeconds = 0.7;

  configuration_fan_out_test()
      : store_(context_), gateways_store_(context_), proxy_(context_) {
    settings_.platform = store_.endpoint();
    settings_.data_centre = data_centre_id("akl");
    settings_.link_mbps = kRelayLinkBytesPerSecond * 8 / 1e6;
    settings_.first_internal_port =
        static_cast<std::uint16_t>(proxy_.port() - 3);
    PutConfiguration(1, "singer");
    store_.PutVersion(1);
    store_.PutUpstream("i-1", "127.0.0.1:80");
    relay_ = std::make_unique<catalog_relay>(context_, settings_, 1);
    const auto port = relay_->Listen({"127.0.0.1", 0});
    proxy_.Start(std::get<unsigned short>(port));
    gateways_store_.PutUpstream("i-1", "127.0.0.1:80");
    gateways_store_.PutVersion(1);
    settings_.platform = gateways_store_.endpoint();
    versions_.resize(kGateways);
    for (std::uint64_t& version : versions_) {
      catalog_feed::handlers callbacks;
      callbacks.on_deployment = [&version](const auto& known) {
        version = known->version;
      };
      callbacks.on_upstreams = [](const auto&) {};
      callbacks.on_target_version = [](const auto&, auto, auto) {};
      callbacks.on_platform_responded = [] {};
      callbacks.on_keys_confirmed = [](time_point) {};
      feeds_.push_back(std::make_unique<catalog_feed>(
          context_, settings_, callbacks, feeds_.size()));
      feeds_.back()->Start();
    }
  }

  /// Routes with names that compress as badly as random ones; one of them, in
  /// the middle, leads to `service`.
  void PutConfiguration(std::uint64_t version, const std::string& service) {
    nlohmann::json routes = nlohmann::json::array();
    for (int i = 0; i < kRoutes; ++i) {
      const std::string name = digest::Of(std::to_string(i)).ToHex();
      routes.push_back({{"name", "r-" + name.substr(0, 7)},
                        {"host", name.substr(7, 6) + ".example"},
                        {"pathPrefix", "/" + name.substr(13, 8) + "/"},
                        {"routeType", "streaming"},
                        {"timeoutMs", 6000},
                        {"targetLatencyMs", 600},
                        {"priority", 1},
                        {"service", i == kRoutes / 2 ? service : "singer"},
                        {"maxAttempts", 2},
                        {"public", false},
                        {"sessionAffinity", true},
                        {"streamResume", true},
                        {"targetGapMs", 600}});
    }
    store_.Put(platform::kConfigurationKind, platform::kConfigurationName,
               {{"version", version},
                {"routes", routes},
                {"services", nlohmann::json::array()}});
  }

  /// Runs until all gateways have a version.
  bool RunUntilInForce(std::uint64_t version) {
    const auto all = [&] {
      return std::all_of(versions_.begin(), versions_.end(),
                         [&](auto known) { return known == version; });
    };
    const time_point end = MonotonicNow() + seconds(60);
    while (!all() && MonotonicNow() < end) {
      context_.run_for(std::chrono::milliseconds(5));
    }
    return all();
  }

  boost::asio::io_context context_;
  fake_store store_;
  fake_store gateways_store_;  // has no configuration, so the relay is read
  counting_proxy proxy_;
  node_settings settings_;
  std::unique_ptr<catalog_relay> relay_;
  std::vector<std::uint64_t> versions_;
  std::vector<std::unique_ptr<catalog_feed>> feeds_;
};

// Guards against changes that are late, or make keys expire, because the
// configuration of many routes fills the link of the relay.
TEST_F(configuration_fan_out_test, OneRoute_Changed_FitsReservedShareOfLink) {
  ASSERT_TRUE(RunUntilInForce(1));
  // Polls are answered at least once before the change.
  context_.run_for(std::chrono::seconds(2));
  const std::size_t before = proxy_.bytes();
  ASSERT_GT(before, 0U);
  PutConfiguration(2, "bookings");
  ASSERT_TRUE(RunUntilInForce(2));
  const auto sent = static_cast<double>(proxy_.bytes() - before);
  RecordProperty("bytes", std::to_string(sent));
  EXPECT_LT(sent, kRelayLinkBytesPerSecond * kConfigurationShare *
                      kReadIntervalSeconds);
}

// Guards against a start of all gateways in which the whole configuration, sent
// to all of them at once, fills the link of the relay, so that polls time out.
TEST_F(configuration_fan_out_test, AllGateways_Start_ContentPacedOnHalfOfLink) {
  constexpr std::size_t kFirstBytes = 20'000;  // less than one content
  const time_point limit = MonotonicNow() + seconds(60);
  while (proxy_.bytes() < kFirstBytes && MonotonicNow() < limit) {
    context_.run_for(std::chrono::milliseconds(1));
  }
  const time_point begin = MonotonicNow();
  ASSERT_TRUE(RunUntilInForce(1));
  const double taken = ToSeconds(MonotonicNow() - begin);
  const auto sent = static_cast<double>(proxy_.bytes());
  RecordProperty("bytes", std::to_string(sent));
  constexpr double kContentShare = 0.5;
  constexpr double kLastContent = 45e3;  // is sent after its wait
  constexpr double kPolls = 20e3;
  EXPECT_LE(sent, kRelayLinkBytesPerSecond * kContentShare * taken +
                      kLastContent + kPolls);
}

}  // namespace
}  // namespace fireflyslip
