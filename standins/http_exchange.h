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

/// \brief The answering side of one HTTP request.
///
/// A handler sends one response, streams one, or ends the exchange by `Drop()`
/// or `Hold()`.
class http_exchange {
 public:
  /// \brief How the connection continues after the exchange.
  enum class ending { kUnanswered, kKeepAlive, kClose, kHold };

  http_exchange(boost::asio::ip::tcp::socket& socket,
                bool keep_alive,
                bool without_body);
  ~http_exchange();
  http_exchange(const http_exchange&) = delete;
  http_exchange& operator=(const http_exchange&) = delete;

  /// \brief Sends a complete response.
  boost::asio::awaitable<void> Send(http_response response);

  /// \brief Sends the head of a response whose body follows in parts.
  ///
  /// Without a length the body is sent in chunked encoding. Returns whether
  /// the connection is still usable, like the other streaming functions.
  boost::asio::awaitable<bool> StartStream(
      http_response head,
      std::optional<std::uint64_t> length = std::nullopt);

  /// \brief Sends a part of the body; a part is not empty.
  boost::asio::awaitable<bool> SendPart(std::string_view part);

  boost::asio::awaitable<bool> EndStream();

  /// \brief Closes the connection without a further byte.
  void Drop() { ending_ = ending::kClose; }

  /// \brief Keeps the connection open and never sends a further byte.
  void Hold() { ending_ = ending::kHold; }

  /// \brief Calls back once if the peer closes during the exchange.
  void OnDisconnect(std::function<void()> callback);

  ending end() const { return ending_; }

 private:
  bool Note(const boost::system::error_code& error);

  boost::asio::ip::tcp::socket& socket_;
  bool keep_alive_;
  bool without_body_;
  bool chunked_ = false;
  ending ending_ = ending::kUnanswered;
  // Set to false when the exchange ends, so that a late completion of the wait
  // for the peer's close does not use the socket.
  std::shared_ptr<bool> watching_;
};

}  // namespace fireflyslip::standins

#endif  // FIREFLYSLIP_STANDINS_HTTP_EXCHANGE_H_
