#include "fireflyslip/http/http_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl.hpp>
#include <set>
#include <utility>

#include "fireflyslip/http/problem.h"
#include "fireflyslip/http/socket_options.h"

namespace fireflyslip {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::awaitable;
using asio::ip::tcp;
using plain_stream = beast::tcp_stream;
using tls_stream = beast::ssl_stream<beast::tcp_stream>;

constexpr seconds kWriteTimeout{30};
constexpr milliseconds kAcceptRetryDelay{50};
/// A client that is out of reach holds a request for this time at most. The
/// probes are fewer than those towards upstreams, which others wait for.
constexpr tcp_keepalive_options kClientLiveness{
    std::chrono::seconds(5), std::chrono::seconds(2), 3, milliseconds(6000)};

auto Into(beast::error_code& code) {
  return asio::redirect_error(asio::use_awaitable, code);
}

/// \brief Connection that can be closed from outside of its coroutine.
class connection {
 public:
  explicit connection(plain_stream& lowest) : lowest_(lowest) {}

  void Close() {
    beast::error_code ignored;
    lowest_.socket().shutdown(tcp::socket::shutdown_both, ignored);
    lowest_.close();
  }

  void CloseIfIdle() {
    if (!busy_) {
      lowest_.cancel();
    }
  }

  bool busy() const { return busy_; }
  void set_busy(bool busy) { busy_ = busy; }

 private:
  plain_stream& lowest_;
  bool busy_ = false;
};

http_request ToRequest(http::request<http::string_body>&& message) {
  http_request request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message) {
    request.fields.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  request.body = std::move(message.body());
  return request;
}

/// \brief Writes responses to a Beast stream.
template <typename Stream>
class stream_writer : public response_writer {
 public:
  stream_writer(Stream& stream,
                connection& link,
                bool keep_alive,
                const bool* ending = nullptr)
      : stream_(stream),
        link_(link),
        keep_alive_(keep_alive),
        ending_(ending) {}
  ~stream_writer() override { *alive_ = false; }

  awaitable<bool> Send(http_response response) override {
    http::response<http::string_body> message{
        static_cast<http::status>(response.status), 11};
    Prepare(message, response.fields);
    message.body() = std::move(response.body);
    message.prepare_payload();
    ExpireAfter();
    beast::error_code code;
    co_await http::async_write(stream_, message, Into(code));
    done_ = true;
    co_return Check(code);
  }

  awaitable<bool> Begin(http_response head) override {
    http::response<http::empty_body> message{
        static_cast<http::status>(head.status), 11};
    Prepare(message, head.fields);
    message.chunked(true);
    http::response_serializer<http::empty_body> serializer{message};
    ExpireAfter();
    beast::error_code code;
    co_await http::async_write_header(stream_, serializer, Into(code));
    co_return Check(code);
  }

  awaitable<bool> Write(std::string part) override {
    if (failed_ || part.empty()) {
      co_return !failed_;
    }
    ExpireAfter();
    beast::error_code code;
    co_await asio::async_write(stream_, http::make_chunk(asio::buffer(part)),
                               Into(code));
    co_return Check(code);
  }

  awaitable<bool> End() override {
    ExpireAfter();
    beast::error_code code;
    co_await asio::async_write(stream_, http::make_chunk_last(), Into(code));
    done_ = true;
    co_return Check(code);
  }

  void Abort() override {
    failed_ = true;
    link_.Close();
  }

  void NotifyClosed(std::function<void()> on_closed) override {
    if constexpr (std::is_same_v<Stream, plain_stream>) {
      tcp::socket& socket = stream_.socket();
      socket.async_wait(
          tcp::socket::wait_read,
          [this, alive = alive_,
           on_closed = std::move(on_closed)](const beast::error_code& code) {
            if (*alive && !done_ && (code || IsClosed())) {
              failed_ = true;
              on_closed();
            }
          });
    }
  }

  /// \brief Whether another request can be read from the connection.
  bool reusable() const { return done_ && !failed_ && keep_alive_; }

 private:
  template <typename Message>
  void Prepare(Message& message, const http_fields& fields) {
    for (const http_field& field : fields) {
      message.insert(field.name, field.value);
    }
    keep_alive_ = keep_alive_ && (ending_ == nullptr || !*ending_);
    message.keep_alive(keep_alive_);
  }

  // Whether the client has closed; bytes of a further request are no close.
  bool IsClosed() {
    beast::error_code code;
    char byte = 0;
    stream_.socket().non_blocking(true, code);
    const std::size_t size = stream_.socket().receive(
        asio::buffer(&byte, 1), tcp::socket::message_peek, code);
    return code ? code != asio::error::would_block : size == 0;
  }

  void ExpireAfter() {
    beast::get_lowest_layer(stream_).expires_after(kWriteTimeout);
  }

  bool Check(const beast::error_code& code) {
    failed_ = failed_ || code;
    return !failed_;
  }

  Stream& stream_;
  connection& link_;
  bool keep_alive_;
  const bool* ending_;  // may be null
  bool done_ = false;
  bool failed_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

std::optional<error> ToReadError(const beast::error_code& code) {
  if (code == http::error::header_limit) {
    return error{error_kind::kHeaderTooLarge, "header above the limit"};
  }
  if (code == http::error::body_limit) {
    return error{error_kind::kPayloadTooLarge, "body above the limit"};
  }
  if (code == beast::error::timeout || code == http::error::end_of_stream ||
      code == asio::error::operation_aborted ||
      code == http::error::partial_message ||
      code.category() != make_error_code(http::error::bad_method).category()) {
    return std::nullopt;
  }
  return error{error_kind::kProtocolError, code.message()};
}

}  // namespace

class http_server::state : public std::enable_shared_from_this<state> {
 public:
  state(asio::io_context& context,
        http_limits limits,
        handler handle,
        asio::ssl::context* tls)
      : context_(context),
        acceptor_(context),
        limits_(limits),
        handle_(std::move(handle)),
        tls_(tls) {}

  result<unsigned short> Listen(const http_endpoint& endpoint) {
    beast::error_code code;
    const auto address = asio::ip::make_address(endpoint.address, code);
    const tcp::endpoint local(address, endpoint.port);
    if (!code) {
      acceptor_.open(local.protocol(), code);
    }
    if (!code) {
      acceptor_.set_option(asio::socket_base::reuse_address(true), code);
    }
    if (!code) {
      acceptor_.bind(local, code);
    }
    if (!code) {
      acceptor_.listen(asio::socket_base::max_listen_connections, code);
    }
    if (code) {
      return error{error_kind::kInternalError,
                   "cannot listen on " + endpoint.address + ":" +
                       std::to_string(endpoint.port) + ": " + code.message()};
    }
    const unsigned short port = acceptor_.local_endpoint().port();
    asio::co_spawn(context_, Accept(shared_from_this()), asio::detached);
    return port;
  }

  void Drain() {
    draining_ = true;
    beast::error_code ignored;
    acceptor_.close(ignored);
    for (connection* link : connections_) {
      link->CloseIfIdle();
    }
  }

  void DisableKeepAlive() { ending_ = true; }

  void set_limits(const http_limits& limits) { limits_ = limits; }

  void Stop() {
    Drain();
    // Close() changes no container; the coroutines remove their entries later.
    for (connection* link : connections_) {
      link->Close();
    }
  }

  std::size_t requests_in_progress() const { return requests_in_progress_; }

 private:
  static awaitable<void> Accept(std::shared_ptr<state> self) {
    while (!self->draining_) {
      beast::error_code code;
      tcp::socket socket = co_await self->acceptor_.async_accept(Into(code));
      if (code == asio::error::operation_aborted || self->draining_) {
        co_return;
      }
      if (code) {
        // Out of file descriptors, for example; accept again after a pause.
        asio::steady_timer pause(self->context_, kAcceptRetryDelay);
        co_await pause.async_wait(Into(code));
        continue;
      }
      SetSocketOptions(socket, kClientLiveness);
      asio::co_spawn(self->context_, Serve(self, std::move(socket)),
                     asio::detached);
    }
  }

  static awaitable<void> Serve(std::shared_ptr<state> self,
                               tcp::socket socket) {
    if (self->tls_ == nullptr) {
      plain_stream stream(std::move(socket));
      connection link(stream);
      co_await self->ServeConnection(stream, link);
      co_return;
    }
    tls_stream stream(plain_stream(std::move(socket)), *self->tls_);
    connection link(beast::get_lowest_layer(stream));
    beast::get_lowest_layer(stream).expires_after(self->limits_.read_timeout);
    beast::error_code code;
    co_await stream.async_handshake(asio::ssl::stream_base::server, Into(code));
    if (!code) {
      co_await self->ServeConnection(stream, link);
    }
  }

  template <typename Stream>
  awaitable<void> ServeConnection(Stream& stream, connection& link) {
    const auto self = shared_from_this();
    if (connections_.size() >= limits_.max_connections) {
      stream_writer<Stream> writer(stream, link, false);
      const error problem{error_kind::kOverloaded, "too many open connections"};
      co_await writer.Send(ProblemResponse(problem));
      co_return;
    }
    connections_.insert(&link);
    beast::flat_buffer buffer;
    while (!draining_ && co_await ServeRequest(stream, link, buffer)) {
    }
    connections_.erase(&link);
  }

  /// \brief Serves one request; returns whether the connection can be reused.
  template <typename Stream>
  awaitable<bool> ServeRequest(Stream& stream,
                               connection& link,
                               beast::flat_buffer& buffer) {
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(limits_.max_header_bytes));
    parser.body_limit(limits_.max_body_bytes);
    beast::error_code code;
    if (buffer.size() == 0) {
      co_await WaitForData(stream, buffer, code);
    }
    if (!code) {
      beast::get_lowest_layer(stream).expires_after(limits_.read_timeout);
      co_await http::async_read_header(stream, buffer, parser, Into(code));
      if (!code &&
          beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        const http::response<http::empty_body> interim{http::status::continue_,
                                                       parser.get().version()};
        co_await http::async_write(stream, interim, Into(code));
      }
      if (!code && !parser.is_done()) {
        co_await http::async_read(stream, buffer, parser, Into(code));
      }
    }
    if (code) {
      if (const auto problem = ToReadError(code)) {
        stream_writer<Stream> writer(stream, link, false);
        co_await writer.Send(ProblemResponse(*problem));
      }
      co_return false;
    }
    const bool keep_alive = parser.get().keep_alive();
    stream_writer<Stream> writer(stream, link, keep_alive, &ending_);
    link.set_busy(true);
    ++requests_in_progress_;
    beast::get_lowest_layer(stream).expires_never();
    co_await handle_(ToRequest(parser.release()), writer);
    --requests_in_progress_;
    link.set_busy(false);
    co_return writer.reusable() && !draining_;
  }

  template <typename Stream>
  awaitable<void> WaitForData(Stream& stream,
                              beast::flat_buffer& buffer,
                              beast::error_code& code) {
    constexpr std::size_t kReadSize = 4096;  // bytes
    beast::get_lowest_layer(stream).expires_after(limits_.idle_timeout);
    const std::size_t size =
        co_await stream.async_read_some(buffer.prepare(kReadSize), Into(code));
    buffer.commit(size);
  }

  asio::io_context& context_;
  tcp::acceptor acceptor_;
  http_limits limits_;
  handler handle_;
  asio::ssl::context* tls_;
  std::set<connection*> connections_;
  std::size_t requests_in_progress_ = 0;
  bool draining_ = false;
  bool ending_ = false;
};

http_server::http_server(asio::io_context& context,
                         http_limits limits,
                         handler handle,
                         asio::ssl::context* tls)
    : state_(std::make_shared<state>(context, limits, std::move(handle), tls)) {
}

http_server::~http_server() {
  state_->Stop();
}

result<unsigned short> http_server::Listen(const http_endpoint& endpoint) {
  return state_->Listen(endpoint);
}

void http_server::Drain() {
  state_->Drain();
}

void http_server::DisableKeepAlive() {
  state_->DisableKeepAlive();
}

void http_server::set_limits(const http_limits& limits) {
  state_->set_limits(limits);
}

std::size_t http_server::requests_in_progress() const {
  return state_->requests_in_progress();
}

}  // namespace fireflyslip
