#include "fireflyslip/http/http_server.h"

#include <algorithm>
#include <array>
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
#include <exception>
#include <set>
#include <utility>

#include "fireflyslip/http/memory_budget.h"
#include "fireflyslip/http/problem.h"
#include "fireflyslip/http/socket_options.h"
#include "fireflyslip/runtime/log.h"

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
constexpr std::size_t kReadSize = 4096;  // bytes
/// Time for which a client may go on sending after it was rejected.
constexpr seconds kDiscardTimeout{1};
constexpr milliseconds kAcceptRetryDelay{50};
/// Time that a client has for its first request on a connection that was
/// accepted shortly before the server was drained.
constexpr milliseconds kFirstRequestTimeout{500};
/// Bounds the time for which an unreachable client occupies a request. Probes
/// are less frequent than those to upstreams, whose failure delays requests.
constexpr tcp_keepalive_options kClientKeepalive{
    std::chrono::seconds(5), std::chrono::seconds(2), 3, milliseconds(6000)};

auto RedirectError(beast::error_code& code) {
  return asio::redirect_error(asio::use_awaitable, code);
}

/// \brief Connection that can be closed from outside its coroutine.
class client_connection {
 public:
  explicit client_connection(plain_stream& lowest_layer)
      : lowest_layer_(lowest_layer) {}

  void Close() {
    beast::error_code ignored;
    lowest_layer_.socket().shutdown(tcp::socket::shutdown_both, ignored);
    lowest_layer_.close();
  }

  /// \brief Ends the wait for a request, unless one has arrived meanwhile.
  void CloseIfUnused() {
    if (!busy_ && !HasData()) {
      lowest_layer_.cancel();
    }
  }

  /// \brief Whether received bytes have not been read.
  bool HasData() const {
    beast::error_code code;
    return lowest_layer_.socket().available(code) > 0;
  }

  /// \brief Whether a request is being received or served.
  bool busy() const { return busy_; }
  /// \brief Whether no byte of a request has been received so far.
  bool is_new() const { return new_; }
  void set_busy(bool busy) {
    busy_ = busy;
    new_ = false;
  }

 private:
  plain_stream& lowest_layer_;
  bool busy_ = false;
  bool new_ = true;
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
class stream_response_writer : public response_writer {
 public:
  stream_response_writer(Stream& stream,
                         client_connection& connection,
                         bool keep_alive,
                         const bool* close_requested = nullptr)
      : stream_(stream),
        connection_(connection),
        keep_alive_(keep_alive),
        close_requested_(close_requested) {}
  ~stream_response_writer() override { *alive_ = false; }

  awaitable<bool> Send(http_response response) override {
    begun_ = true;
    http::response<http::string_body> message{
        static_cast<http::status>(response.status), 11};
    SetHeader(message, response.fields);
    message.body() = std::move(response.body);
    message.prepare_payload();
    RestartWriteTimeout();
    beast::error_code code;
    co_await http::async_write(stream_, message, RedirectError(code));
    done_ = true;
    co_return RecordResult(code);
  }

  awaitable<bool> Begin(http_response head) override {
    begun_ = true;
    http::response<http::empty_body> message{
        static_cast<http::status>(head.status), 11};
    SetHeader(message, head.fields);
    message.chunked(true);
    http::response_serializer<http::empty_body> serializer{message};
    RestartWriteTimeout();
    beast::error_code code;
    co_await http::async_write_header(stream_, serializer, RedirectError(code));
    co_return RecordResult(code);
  }

  awaitable<bool> Write(std::string part) override {
    if (failed_ || part.empty()) {
      co_return !failed_;
    }
    RestartWriteTimeout();
    beast::error_code code;
    co_await asio::async_write(stream_, http::make_chunk(asio::buffer(part)),
                               RedirectError(code));
    co_return RecordResult(code);
  }

  awaitable<bool> End() override {
    RestartWriteTimeout();
    beast::error_code code;
    co_await asio::async_write(stream_, http::make_chunk_last(),
                               RedirectError(code));
    done_ = true;
    co_return RecordResult(code);
  }

  void Abort() override {
    failed_ = true;
    connection_.Close();
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

  /// \brief Whether any part of a response may have been sent.
  bool begun() const { return begun_; }
  void CloseAfterResponse() { keep_alive_ = false; }

  /// \brief Whether the connection can serve another request.
  bool reusable() const { return done_ && !failed_ && keep_alive_; }

 private:
  template <typename Message>
  void SetHeader(Message& message, const http_fields& fields) {
    for (const http_field& field : fields) {
      message.insert(field.name, field.value);
    }
    keep_alive_ =
        keep_alive_ && (close_requested_ == nullptr || !*close_requested_);
    message.keep_alive(keep_alive_);
  }

  // Whether the client has closed the connection; bytes of a pipelined request
  // do not count as a close.
  bool IsClosed() {
    beast::error_code code;
    char byte = 0;
    stream_.socket().non_blocking(true, code);
    const std::size_t size = stream_.socket().receive(
        asio::buffer(&byte, 1), tcp::socket::message_peek, code);
    return code ? code != asio::error::would_block : size == 0;
  }

  void RestartWriteTimeout() {
    beast::get_lowest_layer(stream_).expires_after(kWriteTimeout);
  }

  bool RecordResult(const beast::error_code& code) {
    failed_ = failed_ || code;
    return !failed_;
  }

  Stream& stream_;
  client_connection& connection_;
  bool keep_alive_;
  const bool* close_requested_;  // may be null
  bool begun_ = false;
  bool done_ = false;
  bool failed_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

std::optional<error> ToReadError(const beast::error_code& code) {
  if (code == http::error::header_limit) {
    return error{error_kind::kHeaderTooLarge,
                 "request header exceeds the limit"};
  }
  if (code == http::error::buffer_overflow) {
    return error{error_kind::kProtocolError,
                 "the framing of the request body exceeds the limit"};
  }
  if (code == http::error::body_limit) {
    return error{error_kind::kPayloadTooLarge,
                 "request body exceeds the limit"};
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
        unused_timer_(context),
        limits_(limits),
        body_memory_(
            std::make_shared<memory_budget>(limits.max_total_body_bytes)),
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
    close_requested_ = true;
    AcceptBacklog();
    beast::error_code ignored;
    acceptor_.close(ignored);
    for (client_connection* connection : connections_) {
      if (!connection->is_new()) {
        connection->CloseIfUnused();
      }
    }
    unused_timer_.expires_after(kFirstRequestTimeout);
    unused_timer_.async_wait(
        [self = shared_from_this()](const beast::error_code& code) {
          if (!code) {
            for (client_connection* connection : self->connections_) {
              connection->CloseIfUnused();
            }
          }
        });
  }

  void DisableKeepAlive() { close_requested_ = true; }

  void set_limits(const http_limits& limits) {
    limits_ = limits;
    body_memory_->set_max_bytes(limits.max_total_body_bytes);
  }

  void Stop() {
    draining_ = true;
    stopped_ = true;
    beast::error_code ignored;
    acceptor_.close(ignored);
    unused_timer_.cancel();
    // Close() does not modify the set; the coroutines erase their entries
    // later.
    for (client_connection* connection : connections_) {
      connection->Close();
    }
  }

  std::size_t requests_in_progress() const {
    const auto in_progress = std::count_if(
        connections_.begin(), connections_.end(),
        [this](const client_connection* connection) {
          return connection->busy() || (draining_ && connection->is_new());
        });
    return static_cast<std::size_t>(in_progress) + starting_;
  }

 private:
  using connection_set = std::set<client_connection*>;

  /// \brief Lists a connection until its coroutine ends, also by an exception.
  class registration {
   public:
    registration(connection_set& connections, client_connection& connection)
        : connections_(connections), connection_(connection) {
      connections_.insert(&connection_);
    }
    registration(const registration&) = delete;
    registration& operator=(const registration&) = delete;
    ~registration() { connections_.erase(&connection_); }

   private:
    connection_set& connections_;
    client_connection& connection_;
  };

  static awaitable<void> Accept(std::shared_ptr<state> self) {
    while (!self->draining_) {
      beast::error_code code;
      tcp::socket socket =
          co_await self->acceptor_.async_accept(RedirectError(code));
      if (code && self->draining_) {
        co_return;
      }
      if (code) {
        // For example out of file descriptors; retried after a delay.
        asio::steady_timer retry_timer(self->context_, kAcceptRetryDelay);
        co_await retry_timer.async_wait(RedirectError(code));
        continue;
      }
      self->Start(std::move(socket));
    }
  }

  /// Accepts the connections that the operating system has completed; closing
  /// the listening socket would reset them.
  void AcceptBacklog() {
    beast::error_code code;
    acceptor_.non_blocking(true, code);
    while (!code) {
      tcp::socket socket(context_);
      acceptor_.accept(socket, code);
      if (!code) {
        Start(std::move(socket));
      }
    }
  }

  void Start(tcp::socket socket) {
    SetSocketOptions(socket, kClientKeepalive);
    ++starting_;
    asio::co_spawn(context_, Serve(shared_from_this(), std::move(socket)),
                   asio::detached);
  }

  static awaitable<void> Serve(std::shared_ptr<state> self,
                               tcp::socket socket) {
    if (self->tls_ == nullptr) {
      --self->starting_;
      plain_stream stream(std::move(socket));
      client_connection connection(stream);
      co_await self->ServeConnection(stream, connection);
      co_return;
    }
    tls_stream stream(plain_stream(std::move(socket)), *self->tls_);
    client_connection connection(beast::get_lowest_layer(stream));
    beast::get_lowest_layer(stream).expires_after(self->limits_.read_timeout);
    beast::error_code code;
    co_await stream.async_handshake(asio::ssl::stream_base::server,
                                    RedirectError(code));
    --self->starting_;
    if (!code) {
      co_await self->ServeConnection(stream, connection);
    }
  }

  template <typename Stream>
  awaitable<void> ServeConnection(Stream& stream,
                                  client_connection& connection) {
    const auto self = shared_from_this();
    if (connections_.size() >= limits_.max_connections) {
      stream_response_writer<Stream> writer(stream, connection, false);
      const error problem{error_kind::kOverloaded, "too many open connections"};
      co_await writer.Send(ProblemResponse(problem));
      co_return;
    }
    const registration registered(connections_, connection);
    beast::flat_buffer buffer;
    bool reusable = !stopped_;
    while (reusable) {
      reusable = co_await ServeRequest(stream, connection, buffer);
      // A drained server serves only the requests that have already arrived.
      reusable = reusable && !stopped_ &&
                 (!draining_ || buffer.size() > 0 || connection.HasData());
    }
  }

  /// \brief Serves one request; returns whether the connection can be reused.
  template <typename Stream>
  awaitable<bool> ServeRequest(Stream& stream,
                               client_connection& connection,
                               beast::flat_buffer& buffer) {
    // Unparsed bytes: a header, or framing of the body.
    buffer.max_size(std::max(limits_.max_header_bytes, buffer.size()) +
                    kReadSize);
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(limits_.max_header_bytes));
    parser.body_limit(limits_.max_body_bytes);
    memory_reservation body_memory(body_memory_);
    bool fits = true;
    beast::error_code code;
    if (buffer.size() == 0) {
      co_await WaitForData(stream, buffer, code);
    }
    if (!code) {
      connection.set_busy(true);
      beast::get_lowest_layer(stream).expires_after(limits_.read_timeout);
      co_await http::async_read_header(stream, buffer, parser,
                                       RedirectError(code));
      // A stated length is reserved at once: if all bodies grew at the same
      // time, none of them would be completed.
      std::size_t size = code ? 0 : parser.content_length().value_or(0);
      fits = body_memory.Resize(size);
      if (!code && fits &&
          beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        const http::response<http::empty_body> interim{http::status::continue_,
                                                       parser.get().version()};
        co_await http::async_write(stream, interim, RedirectError(code));
      }
      while (!code && fits && !parser.is_done()) {
        co_await http::async_read_some(stream, buffer, parser,
                                       RedirectError(code));
        size = std::max(size, parser.get().body().size());
        fits = body_memory.Resize(size);
      }
    }
    if (code || !fits) {
      const std::optional<error> problem = code ? ToReadError(code) : TooMuch();
      if (problem) {
        stream_response_writer<Stream> writer(stream, connection, false);
        co_await writer.Send(ProblemResponse(*problem));
        co_await DiscardInput(stream);
      }
      co_return false;
    }
    if (stopped_) {
      co_return false;  // the handler may no longer exist
    }
    const bool keep_alive = parser.get().keep_alive();
    stream_response_writer<Stream> writer(stream, connection, keep_alive,
                                          &close_requested_);
    beast::get_lowest_layer(stream).expires_never();
    std::optional<error> failure;
    try {
      co_await handle_(ToRequest(parser.release()), writer);
    } catch (const std::exception& thrown) {
      failure = error{error_kind::kInternalError, thrown.what()};
    }
    if (failure) {
      co_await EndAfterFailure(*failure, writer);
    }
    connection.set_busy(false);
    co_return writer.reusable();
  }

  /// \brief Ends a response whose handler has thrown an exception.
  template <typename Stream>
  awaitable<void> EndAfterFailure(const error& failure,
                                  stream_response_writer<Stream>& writer) {
    LogLine("event=request_handler_failed reason=\"" + failure.detail + "\"");
    writer.CloseAfterResponse();
    if (writer.begun()) {
      writer.Abort();
      co_return;
    }
    const error problem{error_kind::kInternalError,
                        "the request could not be handled"};
    co_await writer.Send(ProblemResponse(problem));
  }

  static error TooMuch() {
    return {error_kind::kOverloaded,
            "the bodies of all requests exceed the limit"};
  }

  /// \brief Reads what the client still sends. A connection that is closed with
  /// unread bytes is reset, and the client may not see the response.
  template <typename Stream>
  awaitable<void> DiscardInput(Stream& stream) {
    plain_stream& lowest_layer = beast::get_lowest_layer(stream);
    lowest_layer.expires_after(kDiscardTimeout);
    beast::error_code code;
    lowest_layer.socket().shutdown(tcp::socket::shutdown_send, code);
    std::array<char, kReadSize> discarded{};
    for (std::size_t size = 0; !code && size < limits_.max_body_bytes;) {
      size += co_await stream.async_read_some(asio::buffer(discarded),
                                              RedirectError(code));
    }
  }

  template <typename Stream>
  awaitable<void> WaitForData(Stream& stream,
                              beast::flat_buffer& buffer,
                              beast::error_code& code) {
    beast::get_lowest_layer(stream).expires_after(limits_.idle_timeout);
    const std::size_t size = co_await stream.async_read_some(
        buffer.prepare(kReadSize), RedirectError(code));
    buffer.commit(size);
  }

  asio::io_context& context_;
  tcp::acceptor acceptor_;
  asio::steady_timer unused_timer_;  // closes connections without a request
  http_limits limits_;
  std::shared_ptr<memory_budget> body_memory_;
  handler handle_;
  asio::ssl::context* tls_;
  connection_set connections_;
  std::size_t starting_ = 0;  // accepted, but not in connections_ yet
  bool draining_ = false;
  bool stopped_ = false;
  bool close_requested_ = false;
};

http_limits BodilessRequestLimits() {
  http_limits limits;
  limits.max_body_bytes = 0;
  return limits;
}

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
