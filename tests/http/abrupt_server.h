#ifndef TESTS_HTTP_ABRUPT_SERVER_H_
#define TESTS_HTTP_ABRUPT_SERVER_H_

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "fireflyslip/core/time.h"
#include "fireflyslip/http/http_message.h"

namespace fireflyslip {

/// \brief Bytes that an `abrupt_server` writes, and how it ends the connection.
struct abrupt_answer {
  enum class ending {
    kReadOn,          ///< Reads until the client closes the connection.
    kFinish,          ///< Ends its own direction in order, then reads on.
    kReset,           ///< Resets the connection.
    kFinishAndReset,  ///< Ends its own direction in order, then resets.
  };

  static constexpr std::size_t kWholeUpload = static_cast<std::size_t>(-1);

  std::string bytes;
  ending end = ending::kReadOn;
  /// Bytes of the body of the request that are read before the answer is
  /// written; the whole body if it is shorter.
  std::size_t read_first = 0;
  /// Time between the answer and its end, in which the client can read it.
  milliseconds pause{0};
};

/// \brief Server that answers the only request of each connection with scripted
/// bytes, by default before it has read the body of the request.
///
/// Must stay alive until its `io_context` has stopped.
class abrupt_server {
 public:
  using tcp = boost::asio::ip::tcp;
  /// Returns the answer to a request, given by its head.
  using responder = std::function<abrupt_answer(const std::string& head)>;

  /// A body of this length does not fit into the buffers of a connection.
  static constexpr std::size_t kLongUpload = 8UL << 20;  // bytes

  abrupt_server(boost::asio::io_context& context, responder respond)
      : context_(context),
        respond_(std::move(respond)),
        acceptor_(context,
                  tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
    constexpr int kReceiveBuffer = 64 << 10;  // bytes
    acceptor_.set_option(
        boost::asio::socket_base::receive_buffer_size(kReceiveBuffer));
    boost::asio::co_spawn(context_, Accept(), boost::asio::detached);
  }

  http_endpoint endpoint() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }
  /// \brief Requests whose head was received.
  std::size_t requests() const { return requests_; }
  /// \brief Bytes received of the body of the last request.
  std::size_t upload_bytes() const { return upload_bytes_; }

 private:
  static auto Redirect(boost::system::error_code& code) {
    return boost::asio::redirect_error(boost::asio::use_awaitable, code);
  }

  boost::asio::awaitable<void> Accept() {
    for (;;) {
      tcp::socket socket =
          co_await acceptor_.async_accept(boost::asio::use_awaitable);
      boost::asio::co_spawn(context_, Serve(std::move(socket)),
                            boost::asio::detached);
    }
  }

  boost::asio::awaitable<void> Serve(tcp::socket socket) {
    using ending = abrupt_answer::ending;
    boost::system::error_code code;
    std::string received;
    const std::size_t head_size = co_await boost::asio::async_read_until(
        socket, boost::asio::dynamic_buffer(received), "\r\n\r\n",
        Redirect(code));
    if (code) {
      co_return;
    }
    ++requests_;
    upload_bytes_ = received.size() - head_size;
    const std::string head = received.substr(0, head_size);
    const abrupt_answer answer = respond_(head);
    const std::size_t read_first =
        std::min(answer.read_first, UploadLength(head));
    std::string buffer(64UL << 10, '\0');
    while (!code && upload_bytes_ < read_first) {
      upload_bytes_ += co_await socket.async_read_some(
          boost::asio::buffer(buffer), Redirect(code));
    }
    co_await boost::asio::async_write(socket, boost::asio::buffer(answer.bytes),
                                      Redirect(code));
    if (answer.pause > milliseconds(0)) {
      boost::asio::steady_timer timer(context_, answer.pause);
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
    if (answer.end == ending::kFinish ||
        answer.end == ending::kFinishAndReset) {
      socket.shutdown(tcp::socket::shutdown_send, code);
    }
    if (answer.end == ending::kReset || answer.end == ending::kFinishAndReset) {
      socket.set_option(boost::asio::socket_base::linger(true, 0), code);
      // The destructor would turn the option off.
      socket.close(code);
      co_return;
    }
    while (!code) {
      upload_bytes_ += co_await socket.async_read_some(
          boost::asio::buffer(buffer), Redirect(code));
    }
  }

  static std::size_t UploadLength(const std::string& head) {
    const std::string name = "\r\nContent-Length: ";
    const std::size_t found = head.find(name);
    return found == std::string::npos
               ? 0
               : std::stoul(head.substr(found + name.size()));
  }

  boost::asio::io_context& context_;
  responder respond_;
  tcp::acceptor acceptor_;
  std::size_t requests_ = 0;
  std::size_t upload_bytes_ = 0;
};

/// \brief How the end of the body of a response is marked.
enum class body_framing { kLength, kChunks, kNone };

inline constexpr body_framing kAllFramings[] = {
    body_framing::kLength, body_framing::kChunks, body_framing::kNone};

/// \brief Appends the body to the start of a head, and the fields that frame
/// it. If it is broken off, its last byte is missing, and so is the last chunk.
inline std::string WithBody(const std::string& head,
                            body_framing framing,
                            const std::string& body,
                            bool broken_off) {
  const std::string part = broken_off ? body.substr(0, body.size() - 1) : body;
  switch (framing) {
    case body_framing::kLength:
      return head + "Content-Length: " + std::to_string(body.size()) +
             "\r\n\r\n" + part;
    case body_framing::kChunks: {
      std::string bytes = head + "Transfer-Encoding: chunked\r\n\r\n";
      for (const char byte : part) {
        bytes += std::string("1\r\n") + byte + "\r\n";
      }
      return bytes + (broken_off ? "" : "0\r\n\r\n");
    }
    case body_framing::kNone:
      return head + "\r\n" + part;
  }
  return head;
}

/// \brief Names of fields that hold a blank or a control byte, in each place.
inline std::vector<std::string> OddFieldNames(const std::string& name) {
  constexpr unsigned char kBlank = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  std::vector<std::string> names;
  for (unsigned char byte = 0; byte <= kDelete; ++byte) {
    if (byte > kBlank && byte < kDelete) {
      continue;
    }
    for (const std::size_t place :
         {std::size_t{0}, name.size() / 2, name.size()}) {
      std::string odd = name;
      odd.insert(place, 1, static_cast<char>(byte));
      names.push_back(std::move(odd));
    }
  }
  return names;
}

/// \brief Answers of no sound server, each with a body that could be believed.
inline std::vector<abrupt_answer> SpoiltAnswers(const std::string& body) {
  using ending = abrupt_answer::ending;
  const std::string first = "HTTP/1.1 200 OK\r\nETag: \"2\"\r\n";
  const std::string length =
      "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return {{first + "X-Other: 1\r\n\tX-Odd: 1\r\n" + length + body},
          {first + "X-Other: 1\r\n " + length + body, ending::kFinish},
          {first + "X-Od\x01" + "d: 1\r\n" + length + body},
          {"HTTP/1.1 000 X\r\nETag: \"2\"\r\n" + length + body}};
}

/// \brief Answer without a length that is reset before the upload ends.
inline abrupt_answer ResetAnswer(const std::string& body) {
  return {"HTTP/1.1 200 OK\r\nETag: \"2\"\r\n\r\n" + body,
          abrupt_answer::ending::kReset, 0, milliseconds(30)};
}

}  // namespace fireflyslip

#endif  // TESTS_HTTP_ABRUPT_SERVER_H_
