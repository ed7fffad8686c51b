#include "standins/relay_standin.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace fireflyslip::standins {
namespace net = boost::asio;
using net::ip::tcp;
namespace {

constexpr auto kTuple = net::as_tuple(net::use_awaitable);

}  // namespace

relay_standin::relay_standin(net::io_context& context,
                             const tcp::endpoint& listen,
                             const tcp::endpoint& target)
    : acceptor_(context, listen),
      listen_(acceptor_.local_endpoint()),
      target_(target) {
  net::co_spawn(context, Accept(), net::detached);
}

net::awaitable<void> relay_standin::Accept() {
  // The pause avoids a busy loop while file descriptors are exhausted.
  constexpr auto kPauseAfterError = std::chrono::milliseconds(10);
  for (;;) {
    while (!acceptor_.is_open()) {
      co_await reopened_.Wait();
    }
    auto [error, socket] = co_await acceptor_.async_accept(kTuple);
    if (error) {
      co_await SleepUntil(std::chrono::steady_clock::now() + kPauseAfterError);
      continue;
    }
    auto link = std::make_shared<connection>(std::move(socket));
    link->state = cut_ ? fate::kCut : fate::kPass;
    connections_.insert(link);
    net::co_spawn(acceptor_.get_executor(), Connect(std::move(link)),
                  net::detached);
  }
}

net::awaitable<void> relay_standin::Connect(connection_ptr link) {
  const auto [error] = co_await link->target.async_connect(target_, kTuple);
  if (error) {
    if (link->state == fate::kPass) {
      connections_.erase(link);
    }
    co_return;
  }
  boost::system::error_code ignored;
  link->client.set_option(tcp::no_delay(true), ignored);
  link->target.set_option(tcp::no_delay(true), ignored);
  const auto executor = link->client.get_executor();
  net::co_spawn(executor, Pump(link, link->client, link->target),
                net::detached);
  net::co_spawn(executor, Pump(link, link->target, link->client),
                net::detached);
}

net::awaitable<void> relay_standin::Pump(connection_ptr link,
                                         tcp::socket& from,
                                         tcp::socket& to) {
  std::array<char, 16384> bytes{};
  while (link->state != fate::kSilent) {
    const net::mutable_buffer buffer(bytes.data(), bytes.size());
    const auto [error, count] = co_await from.async_read_some(buffer, kTuple);
    if (link->state == fate::kSilent) {
      co_return;
    }
    if (error) {
      EndDirection(link);
      boost::system::error_code ignored;
      if (link->state == fate::kPass) {
        to.shutdown(tcp::socket::shutdown_send, ignored);
      }
      co_return;
    }
    if (link->state == fate::kPass) {
      const net::const_buffer read(bytes.data(), count);
      co_await net::async_write(to, read, kTuple);
    }
  }
}

void relay_standin::EndDirection(const connection_ptr& link) {
  if (--link->open_directions == 0) {
    connections_.erase(link);
  }
}

void relay_standin::MarkAll(fate state) {
  for (const connection_ptr& link : connections_) {
    link->state = state;
  }
}

net::awaitable<void> relay_standin::Handle(const http_request& request,
                                           http_exchange& exchange) {
  if (request.path != "/control" || request.method != "POST") {
    co_await exchange.Send(ErrorResponse(404, "no such control"));
    co_return;
  }
  const nlohmann::json body = nlohmann::json::parse(request.body);
  const std::string mode = body.at("mode").get<std::string>();
  if (mode != "pass" && mode != "silent" && mode != "refuse" && mode != "cut") {
    co_await exchange.Send(ErrorResponse(400, "unknown mode"));
    co_return;
  }
  cut_ = mode == "cut";
  if (cut_) {
    MarkAll(fate::kCut);
  } else if (mode == "silent") {
    MarkAll(fate::kSilent);
  }
  if (mode == "refuse") {
    acceptor_.close();
  } else if (!acceptor_.is_open()) {
    acceptor_ = tcp::acceptor(acceptor_.get_executor(), listen_);
    reopened_.NotifyAll();
  }
  http_response response =
      JsonResponse(200, {{"mode", mode}, {"connections", connections_.size()}});
  co_await exchange.Send(std::move(response));
}

}  // namespace fireflyslip::standins
