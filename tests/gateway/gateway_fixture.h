#ifndef FIREFLYSLIP_TESTS_GATEWAY_GATEWAY_FIXTURE_H_
#define FIREFLYSLIP_TESTS_GATEWAY_GATEWAY_FIXTURE_H_

#include <gtest/gtest.h>

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fireflyslip/http.h"
#include "gateway/gateway.h"

namespace fireflyslip::testing_support {

using boost::asio::awaitable;

/// \brief Gateway with upstreams on the loopback interface, all on one thread.
class gateway_fixture : public testing::Test {
 protected:
  using handler =
      std::function<awaitable<void>(http_request, response_writer&)>;

  /// \brief Upstream that records the received requests.
  struct upstream {
    std::unique_ptr<http_server> server;
    std::vector<http_request> received;
    bool client_closed = false;  // before the response was complete
  };

  /// Bytes of a response without end that a gateway may take; includes what the
  /// sockets buffer.
  static constexpr std::size_t kMaxBytesWithoutEnd = 24UL << 20;
  /// The senders stop then, so that a failing test ends.
  static constexpr std::size_t kMaxSent = 200UL << 20;

  gateway_fixture() {
    settings_.client_endpoint = http_endpoint{"127.0.0.1", 0};
    settings_.data_centre = data_centre_id("akl");
    gateway_ = std::make_unique<gateway>(context_, settings_, counters_, 1);
    const auto port = gateway_->Listen();
    EXPECT_TRUE(IsOk(port));
    gateway_endpoint_ = {"127.0.0.1", ValueOf(port)};
  }

  static route MakeRoute(const std::string& prefix,
                         request_idempotency repeat) {
    route entry;
    entry.name = prefix;
    entry.host = "a.example";
    entry.path_prefix = prefix;
    entry.idempotency_class = repeat;
    entry.streaming = repeat == request_idempotency::kResumableStream;
    entry.max_attempts = repeat == request_idempotency::kNonIdempotent ? 1 : 2;
    entry.timeout = seconds(20);
    entry.target_latency = seconds(2);
    entry.services = {{service_name("s"), 1}};
    return entry;
  }

  /// \brief Route of a stream that must not run twice.
  static route MakeUnsafeStreamRoute(const std::string& prefix) {
    route entry = MakeRoute(prefix, request_idempotency::kNonIdempotent);
    entry.streaming = true;
    return entry;
  }

  void Configure(const client_limits& limits = {}) {
    auto catalog = std::make_shared<deployment>();
    catalog->version = 1;
    catalog->routes =
        route_table({MakeRoute("/book/", request_idempotency::kNonIdempotent),
                     MakeRoute("/look/", request_idempotency::kIdempotent),
                     MakeRoute("/chat/", request_idempotency::kResumableStream),
                     MakeUnsafeStreamRoute("/say/")});
    catalog->limits = limits;
    catalog->keys_required = true;
    catalog->keys["key"] = {workspace_id("w"), std::nullopt};
    gateway_->SetDeployment(catalog);
    gateway_->ConfirmKeys(MonotonicNow());
  }

  upstream& AddUpstream(handler answer) {
    auto& added = *upstreams_.emplace_back(std::make_unique<upstream>());
    added.server = std::make_unique<http_server>(
        context_, http_limits{},
        [&added, answer = std::move(answer)](
            http_request request, response_writer& writer) -> awaitable<void> {
          added.received.push_back(request);
          writer.NotifyClosed([&added] { added.client_closed = true; });
          return answer(std::move(request), writer);
        });
    const auto port = added.server->Listen({"127.0.0.1", 0});
    EXPECT_TRUE(IsOk(port));
    upstream_entry entry;
    entry.id = upstream_id("i-" + std::to_string(upstreams_.size()));
    entry.service = service_name("s");
    entry.address = "127.0.0.1:" + std::to_string(ValueOf(port));
    // The first upstream is in the local data centre, so it is chosen first.
    entry.data_centre = data_centre_id(upstreams_.size() == 1 ? "akl" : "far");
    entry.slots = 8;
    entries_[entry.id] = entry;
    gateway_->SetUpstreams(std::make_shared<const upstream_map>(entries_));
    return added;
  }

  static http_request MakeRequest(const std::string& target,
                                  const std::string& key = "key") {
    http_request request;
    request.method = "POST";
    request.target = target;
    request.fields = {{"Host", "a.example"},
                      {"Attempt-Id", "id1"},
                      {"Deadline-Ms", "15000"},
                      {"Authorization", "Bearer " + key}};
    request.body = "body";
    return request;
  }

  static http_response MakeResponse(int status, const std::string& body) {
    http_response answer;
    answer.status = status;
    answer.fields = {{"Attempt-Id", "id1"}, {"Response-Seal", "seal"}};
    answer.body = body;
    return answer;
  }

  static http_response MakeStreamHead() {
    http_response head = MakeResponse(200, "");
    head.fields.push_back({"Content-Type", "text/event-stream"});
    return head;
  }

  static handler RespondWith(http_response answer) {
    return [answer](http_request, response_writer& writer) -> awaitable<void> {
      http_response copy = answer;
      co_await writer.Send(std::move(copy));
    };
  }

  /// \brief Sends a chunked stream, then ends it or closes the connection.
  static handler Stream(std::string events,
                        bool complete,
                        http_response head = MakeStreamHead()) {
    return [events, complete, head](
               http_request, response_writer& writer) -> awaitable<void> {
      http_response copy_of_head = head;
      co_await writer.Begin(std::move(copy_of_head));
      std::string copy = events;
      co_await writer.Write(std::move(copy));
      if (complete) {
        co_await writer.End();
      } else {
        writer.Abort();
      }
    };
  }

  /// Sends the first bytes of a response, then the others again and again until
  /// the client closes the connection.
  handler SendWithoutEnd(std::string first,
                         std::string repeated,
                         milliseconds pause) {
    return [=, this](http_request, response_writer& writer) -> awaitable<void> {
      http_response head = MakeStreamHead();
      co_await writer.Begin(std::move(head));
      std::string part = first + repeated;
      for (bool open = true; open && sent_without_end_ < kMaxSent;) {
        sent_without_end_ += part.size();
        open = co_await writer.Write(std::move(part));
        part = repeated;
        boost::asio::steady_timer timer(context_, pause);
        co_await timer.async_wait(boost::asio::use_awaitable);
      }
      writer.Abort();
    };
  }

  /// \brief What a scripted upstream does with one request.
  struct scripted_answer {
    std::string bytes;
    bool close = false;  ///< Close the connection after the bytes.
  };

  /// \brief Adds an upstream that writes the given bytes for each request, in
  /// the order in which the requests arrive over all connections. `wrote` is
  /// incremented for each of them.
  void AddScriptedUpstream(std::vector<scripted_answer> script,
                           std::size_t& wrote) {
    Listen();
    boost::asio::co_spawn(context_, AcceptScripted(std::move(script), wrote),
                          boost::asio::detached);
    AddRawEntry("i-scripted");
  }

  /// \brief Writes the answers; a connection is served until it is closed.
  awaitable<void> AcceptScripted(std::vector<scripted_answer> script,
                                 std::size_t& wrote) {
    const auto shared_script =
        std::make_shared<std::vector<scripted_answer>>(std::move(script));
    for (;;) {
      auto socket =
          co_await acceptor_->async_accept(boost::asio::use_awaitable);
      boost::asio::co_spawn(
          context_, ServeScripted(std::move(socket), shared_script, wrote),
          boost::asio::detached);
    }
  }

  static awaitable<void> ServeScripted(
      boost::asio::ip::tcp::socket socket,
      std::shared_ptr<std::vector<scripted_answer>> script,
      std::size_t& wrote) {
    boost::system::error_code code;
    std::string request;
    while (wrote < script->size()) {
      std::array<char, 4096> buffer{};
      const std::size_t size = co_await socket.async_read_some(
          boost::asio::buffer(buffer),
          boost::asio::redirect_error(boost::asio::use_awaitable, code));
      if (code) {
        co_return;
      }
      request.append(buffer.data(), size);
      if (!request.ends_with("\r\n\r\nbody")) {  // of MakeRequest()
        continue;
      }
      request.clear();
      const scripted_answer answer = script->at(wrote++);
      co_await boost::asio::async_write(
          socket, boost::asio::buffer(answer.bytes),
          boost::asio::redirect_error(boost::asio::use_awaitable, code));
      if (answer.close) {
        co_return;
      }
    }
    // The connection stays open until the client closes it.
    char byte = 0;
    co_await socket.async_read_some(
        boost::asio::buffer(&byte, 1),
        boost::asio::redirect_error(boost::asio::use_awaitable, code));
  }

  /// \brief Upstream that sends each refusal twice: the copy comes in front of
  /// the response to the next request on the connection.
  struct repeating_upstream {
    /// Returns the response to a request, given by its head.
    std::function<std::string(const std::string& head)> respond;
    /// Ids of the requests that ran, which are those with status 200.
    std::vector<std::string> run = {};
    std::size_t refused = 0;
  };

  /// \brief Adds an upstream under several ids at one address.
  void AddRepeatingUpstream(repeating_upstream& server,
                            const std::vector<std::string>& ids) {
    Listen();
    boost::asio::co_spawn(context_, AcceptRepeating(server),
                          boost::asio::detached);
    for (const std::string& id : ids) {
      AddRawEntry(id);
    }
  }

  awaitable<void> AcceptRepeating(repeating_upstream& server) {
    for (;;) {
      auto socket =
          co_await acceptor_->async_accept(boost::asio::use_awaitable);
      boost::asio::co_spawn(context_, ServeRepeating(std::move(socket), server),
                            boost::asio::detached);
    }
  }

  static awaitable<void> ServeRepeating(boost::asio::ip::tcp::socket socket,
                                        repeating_upstream& server) {
    const std::string end_of_request = "\r\n\r\nbody";  // of MakeRequest()
    std::string received;
    std::string copy;
    boost::system::error_code code;
    while (!code) {
      std::array<char, 4096> buffer{};
      const std::size_t size = co_await socket.async_read_some(
          boost::asio::buffer(buffer),
          boost::asio::redirect_error(boost::asio::use_awaitable, code));
      received.append(buffer.data(), size);
      if (!received.ends_with(end_of_request)) {
        continue;
      }
      const std::string response = server.respond(received);
      const bool runs = response.starts_with("HTTP/1.1 200");
      if (runs) {
        server.run.push_back(FieldOf(received, "Attempt-Id"));
      } else {
        ++server.refused;
      }
      received.clear();
      const std::string bytes = std::exchange(copy, "") + response;
      copy = runs ? "" : response;
      co_await boost::asio::async_write(
          socket, boost::asio::buffer(bytes),
          boost::asio::redirect_error(boost::asio::use_awaitable, code));
    }
  }

  /// \brief Value of a field in the head of a request.
  static std::string FieldOf(const std::string& head, const std::string& name) {
    const std::size_t found = head.find("\r\n" + name + ": ");
    if (found == std::string::npos) {
      return "";
    }
    const std::size_t begin = found + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
  }

  void Listen() {
    using boost::asio::ip::tcp;
    acceptor_.emplace(
        context_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  }

  /// Lists the upstream behind `acceptor_` as the local one.
  void AddRawEntry(const std::string& id) {
    AddRawEntry(id, acceptor_->local_endpoint().port(), "akl");
  }

  void AddRawEntry(const std::string& id,
                   std::uint16_t port,
                   const std::string& data_centre) {
    upstream_entry entry;
    entry.id = upstream_id(id);
    entry.service = service_name("s");
    entry.address = "127.0.0.1:" + std::to_string(port);
    entry.data_centre = data_centre_id(data_centre);
    entry.slots = 8;
    entries_[entry.id] = entry;
    // The next upstream counts as a remote one.
    upstreams_.emplace_back(std::make_unique<upstream>());
    gateway_->SetUpstreams(std::make_shared<const upstream_map>(entries_));
  }

  /// Adds an upstream that answers each connection with a status line and
  /// header bytes until the client closes it.
  void AddUpstreamWithEndlessHead() {
    Listen();
    boost::asio::co_spawn(context_, SendEndlessHead(), boost::asio::detached);
    AddRawEntry("i-endless");
  }

  awaitable<void> SendEndlessHead() {
    auto socket = co_await acceptor_->async_accept(boost::asio::use_awaitable);
    std::string part = "HTTP/1.1 200 OK\r\n";
    boost::system::error_code code;
    while (!code && sent_without_end_ < kMaxSent) {
      co_await boost::asio::async_write(
          socket, boost::asio::buffer(part),
          boost::asio::redirect_error(boost::asio::use_awaitable, code));
      sent_without_end_ += part.size();
      part = "X-Field: " + std::string(1000, 'x') + "\r\n";
    }
  }

  /// Fills the retry budget.
  void AllowRetries() {
    for (int i = 0; i < 20; ++i) {
      gateway_->RetryBudget(service_name("s")).CountRequest(MonotonicNow());
    }
  }

  static handler CloseConnection() {
    return [](http_request, response_writer& writer) -> awaitable<void> {
      writer.Abort();
      co_return;
    };
  }

  result<http_response> Call(const http_request& request) {
    std::optional<result<http_response>> answer;
    boost::asio::co_spawn(context_, Send(request, answer),
                          boost::asio::detached);
    context_.restart();
    while (!answer) {
      context_.run_one();
    }
    return *answer;
  }

  awaitable<void> Send(http_request request,
                       std::optional<result<http_response>>& answer) {
    answer.emplace(
        co_await client_.Request(gateway_endpoint_, request, seconds(30)));
  }

  /// \brief Response as far as it arrived.
  struct partial_response {
    int status = 0;
    std::string body;
    bool complete = false;
  };

  partial_response CallPartially(const http_request& request) {
    std::optional<partial_response> received;
    boost::asio::co_spawn(context_, Receive(request, received),
                          boost::asio::detached);
    context_.restart();
    while (!received) {
      context_.run_one();
    }
    return *received;
  }

  awaitable<void> Receive(http_request request,
                          std::optional<partial_response>& result) {
    partial_response received;
    const auto opened =
        co_await client_.Open(gateway_endpoint_, request, seconds(30));
    if (IsOk(opened)) {
      const std::shared_ptr<response_reader> reader = ValueOf(opened);
      received.status = reader->head().status;
      while (!reader->complete()) {
        const auto part = co_await reader->Read(seconds(30));
        if (!IsOk(part)) {
          break;
        }
        received.body += ValueOf(part);
      }
      received.complete = reader->complete();
    }
    result = received;
  }

  int CallStatus(const http_request& request) {
    const auto answer = Call(request);
    return IsOk(answer) ? ValueOf(answer).status : 0;
  }

  boost::asio::io_context context_{1};
  node_settings settings_;
  metrics counters_;
  std::unique_ptr<gateway> gateway_;
  http_client client_{context_};
  http_endpoint gateway_endpoint_;
  std::optional<boost::asio::ip::tcp::acceptor> acceptor_;
  std::size_t sent_without_end_ = 0;
  std::vector<std::unique_ptr<upstream>> upstreams_;
  upstream_map entries_;
};

}  // namespace fireflyslip::testing_support

#endif  // FIREFLYSLIP_TESTS_GATEWAY_GATEWAY_FIXTURE_H_
