#include "websocket/websocket_endpoint.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <map>
#include <memory>
#include <thread>
#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio.hpp>
#include <websocketpp/config/asio_client.hpp>
#include <websocketpp/server.hpp>

namespace fireflyslip {
namespace internal {
namespace {

using plain_server = websocketpp::server<websocketpp::config::asio>;
using plain_client = websocketpp::client<websocketpp::config::asio_client>;
using tls_server = websocketpp::server<websocketpp::config::asio_tls>;
using tls_client = websocketpp::client<websocketpp::config::asio_tls_client>;
using websocketpp::connection_hdl;

constexpr std::size_t kMaxMessageBytes = 8UL << 20;
constexpr std::size_t kMaxSendBufferBytes = 16UL << 20;
constexpr long kHandshakeTimeoutMs = 2000;

/// \brief Operations of a connection, independent of its endpoint type.
struct open_connection {
  std::function<void(std::string&&)> send;
  std::function<void()> close;
};

using tls_context_pointer = std::shared_ptr<boost::asio::ssl::context>;

tls_context_pointer MakeTlsContext(const websocket_tls& files) {
  namespace ssl = boost::asio::ssl;
  auto context = std::make_shared<ssl::context>(ssl::context::tls);
  context->set_options(ssl::context::default_workarounds |
                       ssl::context::no_sslv2 | ssl::context::no_sslv3 |
                       ssl::context::no_tlsv1 | ssl::context::no_tlsv1_1);
  context->use_certificate_chain_file(files.certificate_file);
  context->use_private_key_file(files.key_file, ssl::context::pem);
  context->load_verify_file(files.authority_file);
  context->set_verify_mode(ssl::verify_peer | ssl::verify_fail_if_no_peer_cert);
  return context;
}

}  // namespace

class websocket_endpoint::state {
 public:
  state(callbacks handlers, websocket_tls tls)
      : handlers_(std::move(handlers)),
        tls_(std::move(tls)),
        work_(boost::asio::make_work_guard(context_)) {
    if (UsesTls()) {
      tls_server_ = std::make_unique<tls_server>();
      tls_client_ = std::make_unique<tls_client>();
      ConfigureEndpoint(*tls_server_);
      ConfigureEndpoint(*tls_client_);
      const auto context = MakeTlsContext(tls_);
      tls_server_->set_tls_init_handler(
          [context](connection_hdl) { return tls_context_pointer(context); });
      tls_client_->set_tls_init_handler(
          [context](connection_hdl) { return tls_context_pointer(context); });
    } else {
      plain_server_ = std::make_unique<plain_server>();
      plain_client_ = std::make_unique<plain_client>();
      ConfigureEndpoint(*plain_server_);
      ConfigureEndpoint(*plain_client_);
    }
  }

  unsigned short Listen(const std::string& address, unsigned short port) {
    return UsesTls() ? ListenOn(*tls_server_, address, port)
                     : ListenOn(*plain_server_, address, port);
  }

  void Start() {
    thread_ = std::thread([this] { context_.run(); });
  }

  void Stop() {
    if (!thread_.joinable()) {
      return;
    }
    boost::asio::post(context_, [this] { context_.stop(); });
    thread_.join();
  }

  connection_number Connect(const std::string& address, unsigned short port) {
    const connection_number number = ++last_number_;
    boost::asio::post(context_, [this, number, address, port] {
      const std::string authority = address + ":" + std::to_string(port) + "/";
      if (UsesTls()) {
        ConnectWith(*tls_client_, number, "wss://" + authority);
      } else {
        ConnectWith(*plain_client_, number, "ws://" + authority);
      }
    });
    return number;
  }

  void Send(connection_number number, std::string bytes) {
    boost::asio::post(context_,
                      [this, number, bytes = std::move(bytes)]() mutable {
                        const auto found = connections_.find(number);
                        if (found != connections_.end()) {
                          found->second.send(std::move(bytes));
                        }
                      });
  }

  void Close(connection_number number) {
    boost::asio::post(context_, [this, number] {
      const auto found = connections_.find(number);
      if (found != connections_.end()) {
        found->second.close();
      }
    });
  }

 private:
  bool UsesTls() const { return !tls_.certificate_file.empty(); }

  template <typename Endpoint>
  void ConfigureEndpoint(Endpoint& endpoint) {
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.init_asio(&context_);
    endpoint.set_max_message_size(kMaxMessageBytes);
    endpoint.set_open_handshake_timeout(kHandshakeTimeoutMs);
    endpoint.set_close_handshake_timeout(kHandshakeTimeoutMs);
    endpoint.set_tcp_post_init_handler([&endpoint](connection_hdl handle) {
      websocketpp::lib::error_code code;
      const auto connection = endpoint.get_con_from_hdl(handle, code);
      if (!code) {
        boost::system::error_code ignored;
        connection->get_raw_socket().set_option(
            boost::asio::ip::tcp::no_delay(true), ignored);
      }
    });
  }

  template <typename Server>
  unsigned short ListenOn(Server& server,
                          const std::string& address,
                          unsigned short port) {
    server.set_reuse_addr(true);
    server.set_open_handler([this, &server](connection_hdl handle) {
      HandleOpen(server, handle, ++last_number_, false);
    });
    boost::system::error_code code;
    const auto parsed = boost::asio::ip::make_address(address, code);
    websocketpp::lib::error_code failure;
    if (!code) {
      server.listen(boost::asio::ip::tcp::endpoint(parsed, port), failure);
    }
    if (!code && !failure) {
      server.start_accept(failure);
    }
    if (code || failure) {
      return 0;
    }
    return server.get_local_endpoint(code).port();
  }

  template <typename Client>
  void ConnectWith(Client& client,
                   connection_number number,
                   const std::string& uri) {
    websocketpp::lib::error_code code;
    const auto connection = client.get_connection(uri, code);
    if (code) {
      handlers_.on_close(number);
      return;
    }
    connection->set_open_handler(
        [this, &client, number](connection_hdl handle) {
          HandleOpen(client, handle, number, true);
        });
    connection->set_fail_handler(
        [this, number](connection_hdl) { handlers_.on_close(number); });
    client.connect(connection);
  }

  template <typename Endpoint>
  void HandleOpen(Endpoint& endpoint,
                  connection_hdl handle,
                  connection_number number,
                  bool outgoing) {
    websocketpp::lib::error_code code;
    const auto connection = endpoint.get_con_from_hdl(handle, code);
    if (code) {
      handlers_.on_close(number);
      return;
    }
    connection->set_message_handler(
        [this, number](connection_hdl, typename Endpoint::message_ptr message) {
          handlers_.on_message(number, std::move(message->get_raw_payload()));
        });
    connection->set_close_handler(
        [this, number](connection_hdl) { HandleClose(number); });
    open_connection entry;
    entry.send = [this, connection, number](std::string&& bytes) {
      if (connection->get_buffered_amount() > kMaxSendBufferBytes) {
        Abort(connection, number);
        return;
      }
      connection->send(bytes, websocketpp::frame::opcode::binary);
    };
    entry.close = [this, connection, number] { Abort(connection, number); };
    connections_[number] = std::move(entry);
    handlers_.on_open(number, outgoing);
  }

  /// \brief Closes the socket without the close handshake, to which an
  /// unresponsive peer never replies.
  template <typename Connection>
  void Abort(const Connection& connection, connection_number number) {
    boost::system::error_code ignored;
    connection->get_raw_socket().close(ignored);
    HandleClose(number);
  }

  void HandleClose(connection_number number) {
    const auto found = connections_.find(number);
    if (found == connections_.end()) {
      return;
    }
    // The entry may own the function that is currently executing, so its
    // destruction is deferred.
    boost::asio::post(context_, [entry = std::move(found->second)] {});
    connections_.erase(found);
    handlers_.on_close(number);
  }

  callbacks handlers_;
  websocket_tls tls_;
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::unique_ptr<plain_server> plain_server_;
  std::unique_ptr<plain_client> plain_client_;
  std::unique_ptr<tls_server> tls_server_;
  std::unique_ptr<tls_client> tls_client_;
  std::map<connection_number, open_connection> connections_;
  std::atomic<connection_number> last_number_{0};
  std::thread thread_;
};

websocket_endpoint::websocket_endpoint(callbacks handlers, websocket_tls tls)
    : state_(std::make_unique<state>(std::move(handlers), std::move(tls))) {}

websocket_endpoint::~websocket_endpoint() {
  Stop();
}

unsigned short websocket_endpoint::Listen(const std::string& address,
                                          unsigned short port) {
  return state_->Listen(address, port);
}

void websocket_endpoint::Start() {
  state_->Start();
}

void websocket_endpoint::Stop() {
  state_->Stop();
}

websocket_endpoint::connection_number websocket_endpoint::Connect(
    const std::string& address,
    unsigned short port) {
  return state_->Connect(address, port);
}

void websocket_endpoint::Send(connection_number connection, std::string bytes) {
  state_->Send(connection, std::move(bytes));
}

void websocket_endpoint::Close(connection_number connection) {
  state_->Close(connection);
}

}  // namespace internal
}  // namespace fireflyslip
