#ifndef FIREFLYSLIP_STANDINS_HTTP_EXCHANGE_H_
#define FIREFLYSLIP_STANDINS_HTTP_EXCHANGE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "standins/http_message.h"

namespace fireflyslip::standins {

/// \brief Server side of one HTTP request and its response.
///
/// A handler sends a complete response, streams one, or calls `Abort()` or
/// `Hang()`.
class http_exchange {
 public:
  /// \brief What the server does with the connection after the exchange.
  enum class connection_action { kNoResponse, kKeepAlive, kClose, kHang };

  http_exchange(boost::asio::ip::tcp::socket& socket,
                bool keep_alive,
                bool omit_body);
  ~http_exchange();
  http_exchange(const http_exchange&) = delete;
  http_exchange& operator=(const http_exchange&) = delete;

  /// \brief Sends a complete response.
  boost::asio::awaitable<void> Send(http_response response);

  /// \brief Sends the header of a response whose body follows in parts.
  ///
  /// Without a length the body uses chunked transfer encoding. Like the other
  /// streaming functions, returns whether the connection is still usable.
  boost::asio::awaitable<bool> StartStream(
      http_response head,
      std::optional<std::uint64_t> length = std::nullopt);

  /// \brief Sends a part of the body, which must not be empty.
  boost::asio::awaitable<bool> SendPart(std::string_view part);

  boost::asio::awaitable<bool> EndStream();

  /// \brief Closes the connection without sending more data.
  void Abort() { action_ = connection_action::kClose; }

  /// \brief Keeps the connection open without sending more data.
  void Hang() { action_ = connection_action::kHang; }

  /// \brief Invokes the callback once if the peer closes the connection during
  /// the exchange.
  void OnDisconnect(std::function<void()> callback);

  connection_action action() const { return action_; }

 private:
  bool CloseOnError(const boost::system::error_code& error);

  boost::asio::ip::tcp::socket& socket_;
  bool keep_alive_;
  bool omit_body_;
  bool chunked_ = false;
  connection_action action_ = connection_action::kNoResponse;
  // Cleared on destruction, so that a late completion handler of the disconnect
  // wait does not access this object.
  std::shared_ptr<bool> disconnect_wait_active_;
};

}  // namespace fireflyslip::standins

#endif  // FIREFLYSLIP_STANDINS_HTTP_EXCHANGE_H_
