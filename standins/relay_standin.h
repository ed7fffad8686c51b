#ifndef FIREFLYSLIP_STANDINS_RELAY_STANDIN_H_
#define FIREFLYSLIP_STANDINS_RELAY_STANDIN_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <set>

#include "standins/async_condition.h"
#include "standins/http_server.h"

namespace fireflyslip::standins {

/// \brief TCP relay that injects connection faults. It also handles the
/// requests to its admin port.
class relay_standin : public http_handler {
 public:
  /// \brief Listens on an address and relays to the target. Throws
  /// `boost::system::system_error` if the address cannot be used.
  relay_standin(boost::asio::io_context& context,
                const boost::asio::ip::tcp::endpoint& listen,
                const boost::asio::ip::tcp::endpoint& target);

  std::uint16_t port() const { return listen_.port(); }

  boost::asio::awaitable<void> Handle(const http_request& request,
                                      http_exchange& exchange) override;

 private:
  enum class forwarding {
    kForward,
    kStalled,  // stops reading, so that the senders' buffers fill up
    kDiscard,  // reads and discards
  };

  struct connection {
    explicit connection(boost::asio::ip::tcp::socket accepted)
        : client(std::move(accepted)), target(client.get_executor()) {}

    boost::asio::ip::tcp::socket client;
    boost::asio::ip::tcp::socket target;
    forwarding mode = forwarding::kForward;
    int open_directions = 2;
  };

  using connection_ptr = std::shared_ptr<connection>;

  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Connect(connection_ptr relayed);
  boost::asio::awaitable<void> ForwardBytes(connection_ptr relayed,
                                            boost::asio::ip::tcp::socket& from,
                                            boost::asio::ip::tcp::socket& to);
  void CloseDirection(const connection_ptr& relayed);
  void SetForwardingOfAll(forwarding mode);

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::endpoint listen_;
  boost::asio::ip::tcp::endpoint target_;
  bool discard_ = false;
  async_condition reopened_;
  std::set<connection_ptr> connections_;
};

}  // namespace fireflyslip::standins

#endif  // FIREFLYSLIP_STANDINS_RELAY_STANDIN_H_
