#include "fireflyslip/http/http_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <utility>
#include <vector>

namespace fireflyslip {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::awaitable;
using asio::ip::tcp;

constexpr std::size_t kDefaultBodyLimit = 64UL << 20;  // bytes
constexpr std::size_t kIdleConnectionsPerEndpoint = 8;
constexpr std::size_t kReadSize = 64UL << 10;  // bytes
constexpr seconds kConnectTimeout{2};
/// Servers close idle connections; an older one is not used again.
constexpr std::chrono::seconds kMaxIdleTime{20};

auto Into(beast::error_code& code) {
  return asio::redirect_error(asio::use_awaitable, code);
}

http::request<http::string_body> ToMessage(http_request&& request,
                                           const http_endpoint& endpoint) {
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  message.set(http::field::host,
              endpoint.address + ":" + std::to_string(endpoint.port));
  for (const http_field& field : request.fields) {
    message.set(field.name, field.value);
  }
  message.body() = std::move(request.body);
  message.prepare_payload();
  return message;
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

error Failed(const http_endpoint& endpoint,
             error_kind kind,
             const std::string& reason) {
  return {kind, endpoint.address + ":" + std::to_string(endpoint.port) + ": " +
                    reason};
}

struct idle_connection {
  std::unique_ptr<beast::tcp_stream> stream;
  std::chrono::steady_clock::time_point since;
};

using stream_pointer = std::unique_ptr<beast::tcp_stream>;

/// \brief Reads a body of any length through a fixed buffer.
class buffer_reader : public response_reader {
 public:
  buffer_reader(http_endpoint endpoint, stream_pointer stream)
      : endpoint_(std::move(endpoint)), stream_(std::move(stream)) {
    parser_.body_limit(boost::none);
  }

  awaitable<beast::error_code> ReadHead(duration timeout) {
    beast::error_code code;
    stream_->expires_after(timeout);
    co_await http::async_read_header(*stream_, buffer_, parser_, Into(code));
    if (!code) {
      head_ = ToHead(parser_.get());
    }
    co_return code;
  }

  const http_response& head() const override { return head_; }

  awaitable<result<std::string>> Read(duration timeout) override {
    std::string part(kReadSize, '\0');
    while (!parser_.is_done()) {
      parser_.get().body().data = part.data();
      parser_.get().body().size = part.size();
      stream_->expires_after(timeout);
      beast::error_code code;
      co_await http::async_read_some(*stream_, buffer_, parser_, Into(code));
      if (code == http::error::need_buffer) {
        code = {};
      }
      if (code) {
        co_return Failed(endpoint_, error_kind::kUpstreamFailed,
                         code.message());
      }
      const std::size_t size = part.size() - parser_.get().body().size;
      if (size > 0) {
        part.resize(size);
        co_return part;
      }
    }
    co_return std::string();
  }

  void Cancel() override { stream_->close(); }

 private:
  http_endpoint endpoint_;
  stream_pointer stream_;
  beast::flat_buffer buffer_;
  http::response_parser<http::buffer_body> parser_;
  http_response head_;
};

}  // namespace

class http_client::state : public std::enable_shared_from_this<state> {
 public:
  explicit state(asio::io_context& context) : context_(context) {}

  awaitable<result<http_response>> Request(http_endpoint endpoint,
                                           http_request request,
                                           duration timeout) {
    const auto self = shared_from_this();
    const auto message = ToMessage(std::move(request), endpoint);
    result<stream_pointer> sent = co_await Send(endpoint, message, timeout);
    if (!IsOk(sent)) {
      co_return ErrorOf(sent);
    }
    stream_pointer stream = ValueOf(std::move(sent));
    beast::error_code code;
    http::response_parser<http::string_body> parser;
    parser.body_limit(body_limit_);
    beast::flat_buffer buffer;
    co_await http::async_read(*stream, buffer, parser, Into(code));
    if (code) {
      co_return Failed(endpoint, error_kind::kUpstreamFailed, code.message());
    }
    http_response response = ToHead(parser.get());
    response.body = std::move(parser.get().body());
    if (parser.get().keep_alive()) {
      Keep(endpoint, std::move(stream));
    }
    co_return response;
  }

  awaitable<result<std::shared_ptr<response_reader>>>
  Open(http_endpoint endpoint, http_request request, duration timeout) {
    const auto self = shared_from_this();
    const auto message = ToMessage(std::move(request), endpoint);
    result<stream_pointer> sent = co_await Send(endpoint, message, timeout);
    if (!IsOk(sent)) {
      co_return ErrorOf(sent);
    }
    stream_pointer stream = ValueOf(std::move(sent));
    auto reader = std::make_shared<buffer_reader>(endpoint, std::move(stream));
    const beast::error_code code = co_await reader->ReadHead(timeout);
    if (code) {
      co_return Failed(endpoint, error_kind::kUpstreamFailed, code.message());
    }
    co_return std::static_pointer_cast<response_reader>(reader);
  }

  void set_body_limit(std::size_t bytes) { body_limit_ = bytes; }

 private:
  /// \brief Connects and sends a request, which outlives the call; `timeout`
  /// also bounds the read that follows on the returned stream.
  awaitable<result<stream_pointer>> Send(
      const http_endpoint& endpoint,
      const http::request<http::string_body>& message,
      duration timeout) {
    result<stream_pointer> connected = co_await Connect(endpoint);
    if (!IsOk(connected)) {
      co_return ErrorOf(connected);
    }
    stream_pointer stream = ValueOf(std::move(connected));
    stream->expires_after(timeout);
    beast::error_code code;
    co_await http::async_write(*stream, message, Into(code));
    if (code) {
      co_return Failed(endpoint, error_kind::kUpstreamFailed, code.message());
    }
    co_return stream;
  }

  awaitable<result<stream_pointer>> Connect(http_endpoint endpoint) {
    if (stream_pointer reused = Reuse(endpoint)) {
      co_return reused;
    }
    beast::error_code code;
    const auto address = asio::ip::make_address(endpoint.address, code);
    if (code) {
      co_return Failed(endpoint, error_kind::kNoUpstream, code.message());
    }
    auto stream = std::make_unique<beast::tcp_stream>(context_);
    stream->expires_after(kConnectTimeout);
    co_await stream->async_connect(tcp::endpoint(address, endpoint.port),
                                   Into(code));
    if (code) {
      co_return Failed(endpoint, error_kind::kNoUpstream, code.message());
    }
    stream->socket().set_option(tcp::no_delay(true), code);
    co_return stream;
  }

  stream_pointer Reuse(const http_endpoint& endpoint) {
    std::vector<idle_connection>& idle = idle_[endpoint];
    while (!idle.empty()) {
      idle_connection last = std::move(idle.back());
      idle.pop_back();
      const auto age = std::chrono::steady_clock::now() - last.since;
      if (age < kMaxIdleTime && IsOpen(*last.stream)) {
        return std::move(last.stream);
      }
    }
    return nullptr;
  }

  /// \brief Whether the server has neither closed the idle connection nor sent
  /// unexpected bytes; a non-blocking peek finds both.
  static bool IsOpen(beast::tcp_stream& stream) {
    beast::error_code code;
    stream.socket().non_blocking(true, code);
    char byte = 0;
    stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek,
                            code);
    return code == asio::error::would_block;
  }

  void Keep(const http_endpoint& endpoint, stream_pointer stream) {
    std::vector<idle_connection>& idle = idle_[endpoint];
    if (idle.size() < kIdleConnectionsPerEndpoint) {
      stream->expires_never();
      idle.push_back({std::move(stream), std::chrono::steady_clock::now()});
    }
  }

  asio::io_context& context_;
  std::map<http_endpoint, std::vector<idle_connection>> idle_;
  std::size_t body_limit_ = kDefaultBodyLimit;
};

http_client::http_client(asio::io_context& context)
    : state_(std::make_shared<state>(context)) {}

http_client::~http_client() = default;

awaitable<result<http_response>> http_client::Request(http_endpoint endpoint,
                                                      http_request request,
                                                      duration timeout) {
  return state_->Request(std::move(endpoint), std::move(request), timeout);
}

awaitable<result<std::shared_ptr<response_reader>>> http_client::Open(
    http_endpoint endpoint,
    http_request request,
    duration timeout) {
  return state_->Open(std::move(endpoint), std::move(request), timeout);
}

void http_client::set_body_limit(std::size_t bytes) {
  state_->set_body_limit(bytes);
}

}  // namespace fireflyslip
