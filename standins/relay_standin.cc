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

constexpr auto kAwaitableTuple = net::as_tuple(net::use_awaitable);

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
  // Avoids a busy loop while file descriptors are exhausted.
  constexpr auto kPauseAfterError = std::chrono::milliseconds(10);
  for (;;) {
    while (!acceptor_.is_open()) {
      co_await reopened_.Wait();
    }
    auto [error, socket] = co_await acceptor_.async_accept(kAwaitableTuple);
    if (error) {
      co_await SleepUntil(std::chrono::steady_clock::now() + kPauseAfterError);
      continue;
    }
    auto relayed = std::make_shared<connection>(std::move(socket));
    relayed->mode = discard_ ? forwarding::kDiscard : forwarding::kForward;
    connections_.insert(relayed);
    net::co_spawn(acceptor_.get_executor(), Connect(std::move(relayed)),
                  net::detached);
  }
}

net::awaitable<void> relay_standin::Connect(connection_ptr relayed) {
  const auto [error] =
      co_await relayed->target.async_connect(target_, kAwaitableTuple);
  if (error) {
    if (relayed->mode == forwarding::kForward) {
      connections_.erase(relayed);
    }
    co_return;
  }
  boost::system::error_code ignored;
  relayed->client.set_option(tcp::no_delay(true), ignored);
  relayed->target.set_option(tcp::no_delay(true), ignored);
  const auto executor = relayed->client.get_executor();
  net::co_spawn(executor,
                ForwardBytes(relayed, relayed->client, relayed->target),
                net::detached);
  net::co_spawn(executor,
                ForwardBytes(relayed, relayed->target, relayed->client),
                net::detached);
}

net::awaitable<void> relay_standin::ForwardBytes(connection_ptr relayed,
                                                 tcp::socket& from,
                                                 tcp::socket& to) {
  std::array<char, 16384> bytes{};
  while (relayed->mode != forwarding::kStalled) {
    const net::mutable_buffer buffer(bytes.data(), bytes.size());
    const auto [error, count] =
        co_await from.async_read_some(buffer, kAwaitableTuple);
    if (relayed->mode == forwarding::kStalled) {
      co_return;
    }
    if (error) {
      CloseDirection(relayed);
      boost::system::error_code ignored;
      if (relayed->mode == forwarding::kForward) {
        to.shutdown(tcp::socket::shutdown_send, ignored);
      }
      co_return;
    }
    if (relayed->mode == forwarding::kForward) {
      const net::const_buffer read(bytes.data(), count);
      co_await net::async_write(to, read, kAwaitableTuple);
    }
  }
}

void relay_standin::CloseDirection(const connection_ptr& relayed) {
  if (--relayed->open_directions == 0) {
    connections_.erase(relayed);
  }
}

void relay_standin::SetForwardingOfAll(forwarding mode) {
  for (const connection_ptr& relayed : connections_) {
    relayed->mode = mode;
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
  discard_ = mode == "cut";
  if (discard_) {
    SetForwardingOfAll(forwarding::kDiscard);
  } else if (mode == "silent") {
    SetForwardingOfAll(forwarding::kStalled);
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
