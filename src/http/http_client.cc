#include "fireflyslip/http/http_client.h"

#include <poll.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "fireflyslip/core/hash.h"
#include "fireflyslip/http/response_limit.h"
#include "fireflyslip/http/socket_options.h"

namespace fireflyslip {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::awaitable;
using asio::ip::tcp;
using clock_type = std::chrono::steady_clock;

constexpr std::size_t kReadSize = 8UL << 10;  // bytes
constexpr std::uint32_t kMaxHeadBytes = 8 << 10;
/// Bytes that have been received and not been parsed: a head, or framing of the
/// body, which the parser takes only as a whole.
constexpr std::size_t kMaxBufferedBytes = 16UL << 10;
/// Bounds of the statuses of RFC 9110, section 15; those below 200 are interim.
constexpr unsigned kFirstInterimStatus = 100;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kLastStatus = 599;
constexpr std::size_t kMaxInterimResponses = 16;
constexpr std::size_t kMaxSkippedBodyBytes = 64UL << 10;
/// Requests that are not sent again on a connection; with more of them it is
/// closed.
constexpr std::size_t kMaxExcludedRequests = 64;
/// A longer body is written while the response is read, because a server may
/// respond before it has read the body and may stop reading it.
constexpr std::size_t kConcurrentWriteThreshold = 16UL << 10;  // bytes

auto RedirectError(beast::error_code& code) {
  return asio::redirect_error(asio::use_awaitable, code);
}

struct request_message {
  http::request<http::span_body<const char>> message;
  std::shared_ptr<const std::string> body;
};

std::shared_ptr<request_message> ToMessage(http_request&& request,
                                           const http_endpoint& endpoint) {
  auto sent = std::make_shared<request_message>();
  auto& message = sent->message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  if (request.Field("Host").empty()) {
    message.set(http::field::host,
                endpoint.address + ":" + std::to_string(endpoint.port));
  }
  for (const http_field& field : request.fields) {
    message.insert(field.name, field.value);
  }
  sent->body =
      request.shared_body != nullptr
          ? std::move(request.shared_body)
          : std::make_shared<const std::string>(std::move(request.body));
  message.body() = {sent->body->data(), sent->body->size()};
  if (sent->body->empty()) {
    message.prepare_payload();
  } else {
    // prepare_payload() throws for methods that should have no body.
    message.content_length(sent->body->size());
  }
  return sent;
}

template <typename Message>
http_response ToHead(const Message& message) {
  http_response head;
  head.status = static_cast<int>(message.result_int());
  for (const auto& field : message) {
    head.fields.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  return head;
}

error MakeError(const http_endpoint& endpoint,
                error_kind kind,
                const std::string& reason) {
  return {kind, endpoint.address + ":" + std::to_string(endpoint.port) + ": " +
                    reason};
}

/// \brief Time for which an idle connection is reused, from the field
/// `Keep-Alive: timeout=SECONDS` of the server.
duration ReuseTimeout(const http_response& head, duration fallback) {
  constexpr std::string_view kParameter = "timeout=";
  const std::string_view field = head.Field("Keep-Alive");
  const std::size_t start = field.find(kParameter);
  if (start == std::string_view::npos) {
    return fallback;
  }
  int value = 0;
  const std::string_view digits = field.substr(start + kParameter.size());
  std::from_chars(digits.data(), digits.data() + digits.size(), value);
  // Half of the server's timeout: its timer starts earlier, and the next
  // request needs time to arrive.
  const duration reuse_timeout = seconds(value) / 2;
  return std::min(reuse_timeout, fallback);
}

duration RemainingTime(clock_type::time_point deadline) {
  return std::chrono::duration_cast<duration>(
      std::max(deadline - clock_type::now(), clock_type::duration(0)));
}

using stream_pointer = std::shared_ptr<beast::tcp_stream>;

struct client_connection {
  stream_pointer stream;
  bool reused = false;
  /// Hashes of the ids of requests that are not sent on this connection again.
  std::vector<std::uint64_t> excluded_requests;
};

struct idle_connection {
  client_connection connection;
  clock_type::time_point idle_since;
  clock_type::time_point reusable_until;

  bool Excludes(std::uint64_t request) const {
    return std::ranges::find(connection.excluded_requests, request) !=
           connection.excluded_requests.end();
  }
};

/// \brief Whether both directions of a connection have ended, as they do when
/// it is reset. A server that only ends its response leaves the other one open.
bool HasHungUp(beast::tcp_stream& stream) {
  pollfd connection{stream.socket().native_handle(), 0, 0};
  return ::poll(&connection, 1, 0) > 0 &&
         (connection.revents & (POLLHUP | POLLERR)) != 0;
}

bool IsReusable(beast::tcp_stream& stream) {
  // A non-blocking peek detects both a closed connection and unexpected bytes.
  beast::error_code code;
  stream.socket().non_blocking(true, code);
  char byte = 0;
  stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek,
                          code);
  return code == asio::error::would_block;
}

/// \brief Progress of writing a request, which may go on while its response is
/// read.
class request_write {
 public:
  explicit request_write(asio::io_context& context)
      : end_(context, clock_type::time_point::max()) {}

  void End(const beast::error_code& code) {
    result_ = code;
    end_.cancel();
  }

  /// \brief Result of the write; empty until its end.
  const std::optional<beast::error_code>& result() const { return result_; }
  bool succeeded() const { return result_ && !*result_; }

  /// \brief Waits for the end of the write.
  awaitable<void> AwaitEnd(duration timeout) {
    if (!result_) {
      beast::error_code ignored;
      end_.expires_after(timeout);
      co_await end_.async_wait(RedirectError(ignored));
    }
  }

 private:
  asio::steady_timer end_;
  std::optional<beast::error_code> result_;
};

}  // namespace

class http_client::state : public std::enable_shared_from_this<state> {
 public:
  state(asio::io_context& context, http_client_options options)
      : context_(context), options_(options) {}

  awaitable<result<http_response>> Request(http_endpoint endpoint,
                                           http_request request,
                                           duration timeout,
                                           duration read_timeout,
                                           std::size_t max_body_bytes) {
    const auto self = shared_from_this();
    const auto deadline = clock_type::now() + timeout;
    result<std::shared_ptr<response_reader>> opened =
        co_await Open(endpoint, std::move(request), timeout,
                      options_.max_idle_time, nullptr, {});
    if (!IsOk(opened)) {
      co_return ErrorOf(opened);
    }
    const std::shared_ptr<response_reader> reader = ValueOf(opened);
    http_response response = reader->head();
    while (!reader->complete()) {
      const duration part_timeout =
          read_timeout > duration(0) ? read_timeout : RemainingTime(deadline);
      result<std::string> part = co_await reader->Read(part_timeout);
      if (!IsOk(part)) {
        co_return ErrorOf(part);
      }
      if (response.body.size() + ValueOf(part).size() > max_body_bytes) {
        co_return RejectOversizeResponse(endpoint, response_part::kBody,
                                         max_body_bytes);
      }
      response.body += ValueOf(part);
    }
    // A server may send a refusal a second time, and the next caller could not
    // distinguish it from the response to its own request.
    constexpr int kMinErrorStatus = 400;
    if (response.status < kMinErrorStatus) {
      reader->ReleaseConnection();
    }
    co_return response;
  }

  awaitable<result<std::shared_ptr<response_reader>>> Open(
      http_endpoint endpoint,
      http_request request,
      duration timeout,
      duration max_idle,
      std::shared_ptr<call_canceller> canceller,
      std::string request_id);

  void AddIdle(const http_endpoint& endpoint,
               client_connection connection,
               duration idle_timeout) {
    std::vector<idle_connection>& idle = idle_[endpoint];
    if (idle.size() < options_.max_idle_connections &&
        idle_timeout.count() > 0 &&
        connection.excluded_requests.size() <= kMaxExcludedRequests) {
      connection.stream->expires_never();
      connection.reused = true;
      const auto now = clock_type::now();
      idle.push_back({std::move(connection), now, now + idle_timeout});
    }
  }

  void CloseIdleConnections(const http_endpoint& endpoint) {
    idle_.erase(endpoint);
  }

  void PruneIdleConnections() {
    const auto now = clock_type::now();
    for (auto it = idle_.begin(); it != idle_.end();) {
      std::erase_if(it->second, [now](const idle_connection& idle) {
        return now > idle.reusable_until ||
               !IsReusable(*idle.connection.stream);
      });
      it = it->second.empty() ? idle_.erase(it) : std::next(it);
    }
  }

  const http_client_options& options() const { return options_; }
  void set_body_limit(std::size_t bytes) { options_.max_body_bytes = bytes; }

 private:
  awaitable<result<client_connection>> Connect(
      http_endpoint endpoint,
      duration timeout,
      duration max_idle,
      std::shared_ptr<call_canceller> canceller,
      std::uint64_t request) {
    if (auto reused = Reuse(endpoint, max_idle, request)) {
      co_return *std::move(reused);
    }
    beast::error_code code;
    const auto address = asio::ip::make_address(endpoint.address, code);
    if (code) {
      co_return MakeError(endpoint, error_kind::kNoUpstream, code.message());
    }
    auto stream = std::make_shared<beast::tcp_stream>(context_);
    if (canceller) {
      canceller->set_close([stream] { stream->close(); });
    }
    stream->expires_after(std::min(options_.connect_timeout, timeout));
    co_await stream->async_connect(tcp::endpoint(address, endpoint.port),
                                   RedirectError(code));
    if (code) {
      co_return MakeError(endpoint, error_kind::kNoUpstream, code.message());
    }
    SetSocketOptions(stream->socket());
    if (options_.reset_on_close) {
      stream->socket().set_option(asio::socket_base::linger(true, 0), code);
    }
    client_connection connection;
    connection.stream = std::move(stream);
    co_return connection;
  }

  std::optional<client_connection> Reuse(const http_endpoint& endpoint,
                                         duration max_idle,
                                         std::uint64_t request) {
    const auto found = idle_.find(endpoint);
    if (found == idle_.end()) {
      return std::nullopt;
    }
    const auto now = clock_type::now();
    std::vector<idle_connection>& idle = found->second;
    for (std::size_t i = idle.size(); i > 0; --i) {
      const auto last = idle.begin() + static_cast<std::ptrdiff_t>(i - 1);
      if (now - last->idle_since > max_idle) {
        break;  // the remaining ones are idle for longer
      }
      if (last->Excludes(request)) {
        continue;
      }
      idle_connection candidate = std::move(*last);
      idle.erase(last);
      if (now <= candidate.reusable_until &&
          IsReusable(*candidate.connection.stream)) {
        return std::move(candidate.connection);
      }
    }
    return std::nullopt;
  }

  asio::io_context& context_;
  http_client_options options_;
  std::map<http_endpoint, std::vector<idle_connection>> idle_;
};

namespace {

/// \brief Reads a body of any length through a fixed buffer. A body without a
/// length is incomplete until the server closes the connection in order.
template <typename Pool>
class body_reader : public response_reader {
 public:
  body_reader(std::weak_ptr<Pool> pool,
              http_endpoint endpoint,
              client_connection connection,
              std::uint64_t request,
              std::shared_ptr<call_canceller> canceller,
              std::shared_ptr<request_write> write)
      : pool_(std::move(pool)),
        endpoint_(std::move(endpoint)),
        stream_(connection.stream),
        connection_reused_(connection.reused),
        connection_(std::move(connection)),
        request_(request),
        canceller_(std::move(canceller)),
        write_(std::move(write)) {
    ResetParser();
  }
  ~body_reader() override {
    if (canceller_) {
      canceller_->set_close(nullptr);
    }
  }

  awaitable<status> ReadHead(duration timeout) {
    stream_->expires_after(timeout);
    for (std::size_t interim = 0; interim <= kMaxInterimResponses; ++interim) {
      beast::error_code code = co_await ReceiveHead();
      if (!code) {
        buffer_.consume(parser_->put(buffer_.data(), code));
      }
      if (code) {
        co_return ReadError(code);
      }
      const unsigned status_code = parser_->get().result_int();
      if (status_code < kFirstInterimStatus || status_code > kLastStatus) {
        co_return MakeError(endpoint_, error_kind::kUpstreamFailed,
                            "status " + std::to_string(status_code));
      }
      if (status_code >= kFirstFinalStatus) {
        head_ = ToHead(parser_->get());
        co_return std::monostate{};
      }
      ResetParser();  // interim response (1xx)
    }
    co_return RejectOversizeResponse(endpoint_, response_part::kInterim,
                                     kMaxInterimResponses);
  }

  const http_response& head() const override { return head_; }
  bool connection_reused() const override { return connection_reused_; }
  bool complete() const override { return parser_->is_done() && !cut_off_; }

  awaitable<result<std::string>> Read(duration timeout) override {
    std::string part(kReadSize, '\0');
    while (!parser_->is_done()) {
      parser_->get().body().data = part.data();
      parser_->get().body().size = part.size();
      stream_->expires_after(timeout);
      beast::error_code code;
      co_await http::async_read_some(*stream_, buffer_, *parser_,
                                     RedirectError(code));
      if (code == http::error::need_buffer) {
        code = {};
      }
      if (!code && parser_->is_done() && parser_->need_eof()) {
        code = co_await CheckEndOfConnection(timeout);
        cut_off_ = code.failed();
      }
      if (code) {
        co_return ReadError(code);
      }
      const std::size_t size = part.size() - parser_->get().body().size;
      if (size > 0) {
        part.resize(size);
        co_return part;
      }
    }
    co_return std::string();
  }

  awaitable<status> SkipResponse(duration timeout) override {
    const auto deadline = clock_type::now() + timeout;
    std::size_t size = 0;
    while (!complete()) {
      const result<std::string> part = co_await Read(RemainingTime(deadline));
      if (!IsOk(part)) {
        co_return ErrorOf(part);
      }
      size += ValueOf(part).size();
      if (size > kMaxSkippedBodyBytes) {
        co_return RejectOversizeResponse(endpoint_, response_part::kBody,
                                         kMaxSkippedBodyBytes);
      }
    }
    if (!parser_->keep_alive()) {
      co_return MakeError(endpoint_, error_kind::kUpstreamFailed,
                          "connection ends with a repeated response");
    }
    ResetParser();
    co_return co_await ReadHead(RemainingTime(deadline));
  }

  void Cancel() override { stream_->close(); }

  void ReleaseConnection() override {
    const std::shared_ptr<Pool> pool = pool_.lock();
    if (pool && stream_ && parser_->is_done() && parser_->keep_alive() &&
        buffer_.size() == 0 && write_->succeeded()) {
      if (canceller_) {
        canceller_->set_close(nullptr);
      }
      stream_ = nullptr;
      pool->AddIdle(endpoint_, std::move(connection_),
                    ReuseTimeout(head_, pool->options().max_idle_time));
    }
  }

  void ReleaseForOtherRequests() override {
    connection_.excluded_requests.push_back(request_);
    ReleaseConnection();
  }

 private:
  void ResetParser() {
    parser_.emplace();
    parser_->body_limit(boost::none);
    parser_->header_limit(kMaxHeadBytes);
  }

  /// \brief Receives a head into the buffer. The parser joins folded lines, so
  /// they are rejected here (RFC 9112, section 5.2): a field whose name begins
  /// with a blank would become a part of the field before it.
  awaitable<beast::error_code> ReceiveHead() {
    beast::error_code code;
    while (!code) {
      const std::string_view received(
          static_cast<const char*>(buffer_.data().data()), buffer_.size());
      const std::size_t end = received.find("\r\n\r\n");
      if (end != std::string_view::npos) {
        const std::string_view head = received.substr(0, end);
        const bool is_folded = head.find("\r\n ") != std::string_view::npos ||
                               head.find("\r\n\t") != std::string_view::npos;
        co_return is_folded ? http::error::bad_obs_fold : beast::error_code();
      }
      if (received.size() >= kMaxHeadBytes) {
        co_return http::error::header_limit;
      }
      const auto space =
          buffer_.prepare(beast::read_size(buffer_, kMaxHeadBytes));
      const std::size_t size =
          co_await stream_->async_read_some(space, RedirectError(code));
      buffer_.commit(size);
    }
    co_return code;
  }

  /// \brief Whether the end of the connection is the one that the server gave
  /// to its response. A socket reports a reset once: if the write gets that
  /// error, the read that follows sees the end of the connection instead.
  awaitable<beast::error_code> CheckEndOfConnection(duration timeout) {
    if (!write_->result() && HasHungUp(*stream_)) {
      co_await write_->AwaitEnd(timeout);
      if (!write_->result()) {
        co_return beast::error::timeout;
      }
    }
    const beast::error_code written =
        write_->result().value_or(beast::error_code());
    // After the server has ended its response in order, a reset fails the write
    // with this error instead.
    const bool ended_in_order = written == asio::error::broken_pipe;
    co_return ended_in_order ? beast::error_code() : written;
  }

  error ReadError(const beast::error_code& code) const {
    if (code == http::error::header_limit) {
      return RejectOversizeResponse(endpoint_, response_part::kHead,
                                    kMaxHeadBytes);
    }
    if (code == http::error::buffer_overflow) {
      return RejectOversizeResponse(endpoint_, response_part::kFraming,
                                    kMaxBufferedBytes);
    }
    return MakeError(endpoint_, error_kind::kUpstreamFailed, code.message());
  }

  std::weak_ptr<Pool> pool_;
  http_endpoint endpoint_;
  stream_pointer stream_;  // of `connection_`, until it is released
  const bool connection_reused_;
  client_connection connection_;
  const std::uint64_t request_;
  std::shared_ptr<call_canceller> canceller_;
  std::shared_ptr<request_write> write_;
  bool cut_off_ = false;  // the connection ended before the response
  beast::flat_buffer buffer_{kMaxBufferedBytes};
  std::optional<http::response_parser<http::buffer_body>> parser_;
  http_response head_;
};

awaitable<beast::error_code> WriteMessage(
    stream_pointer stream,
    std::shared_ptr<request_message> message,
    std::shared_ptr<request_write> write) {
  beast::error_code code;
  co_await http::async_write(*stream, message->message, RedirectError(code));
  write->End(code);
  co_return code;
}

}  // namespace

awaitable<result<std::shared_ptr<response_reader>>> http_client::state::Open(
    http_endpoint endpoint,
    http_request request,
    duration timeout,
    duration max_idle,
    std::shared_ptr<call_canceller> canceller,
    std::string request_id) {
  const auto self = shared_from_this();
  const auto deadline = clock_type::now() + timeout;
  const auto message = ToMessage(std::move(request), endpoint);
  const std::uint64_t id_hash = StableHash(request_id);
  result<client_connection> connected =
      co_await Connect(endpoint, timeout, max_idle, canceller, id_hash);
  if (!IsOk(connected)) {
    co_return ErrorOf(connected);
  }
  const client_connection connection = ValueOf(connected);
  const stream_pointer stream = connection.stream;
  if (canceller) {
    if (canceller->cancelled()) {
      co_return MakeError(endpoint, error_kind::kNoUpstream, "cancelled");
    }
    canceller->set_close([stream] { stream->close(); });
  }
  const duration remaining = RemainingTime(deadline);
  if (remaining == duration(0)) {
    co_return MakeError(endpoint, error_kind::kNoUpstream,
                        "timed out before the request was sent");
  }
  stream->expires_after(remaining);
  const auto write = std::make_shared<request_write>(context_);
  beast::error_code code;
  if (message->body->size() > kConcurrentWriteThreshold) {
    asio::co_spawn(context_, WriteMessage(stream, message, write),
                   [](const std::exception_ptr&, const beast::error_code&) {});
  } else {
    code = co_await WriteMessage(stream, message, write);
  }
  auto reader = std::make_shared<body_reader<state>>(self, endpoint, connection,
                                                     id_hash, canceller, write);
  if (code) {
    co_return MakeError(endpoint, error_kind::kUpstreamFailed, code.message());
  }
  const status received = co_await reader->ReadHead(remaining);
  if (!IsOk(received)) {
    co_return ErrorOf(received);
  }
  co_return std::static_pointer_cast<response_reader>(reader);
}

http_client::http_client(asio::io_context& context, http_client_options options)
    : state_(std::make_shared<state>(context, options)) {}

http_client::~http_client() = default;

awaitable<result<http_response>> http_client::Request(
    http_endpoint endpoint,
    http_request request,
    duration timeout,
    duration read_timeout,
    std::optional<std::size_t> max_body_bytes) {
  return state_->Request(
      std::move(endpoint), std::move(request), timeout, read_timeout,
      max_body_bytes.value_or(state_->options().max_body_bytes));
}

awaitable<result<std::shared_ptr<response_reader>>> http_client::Open(
    http_endpoint endpoint,
    http_request request,
    duration timeout,
    duration max_idle,
    std::shared_ptr<call_canceller> canceller,
    std::string request_id) {
  return state_->Open(std::move(endpoint), std::move(request), timeout,
                      max_idle, std::move(canceller), std::move(request_id));
}

void http_client::CloseIdleConnections(const http_endpoint& endpoint) {
  state_->CloseIdleConnections(endpoint);
}

void http_client::PruneIdleConnections() {
  state_->PruneIdleConnections();
}

void http_client::set_body_limit(std::size_t bytes) {
  state_->set_body_limit(bytes);
}

}  // namespace fireflyslip
