#ifndef FIREFLYSLIP_WEBSOCKET_WEBSOCKET_ENDPOINT_H_
#define FIREFLYSLIP_WEBSOCKET_WEBSOCKET_ENDPOINT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace fireflyslip {
namespace internal {

/// \brief TLS files of a WebSocket endpoint; empty names switch TLS off.
struct websocket_tls {
  std::string certificate_file;
  std::string key_file;
  /// Certificates that a peer's certificate must descend from.
  std::string authority_file;
};

/// \brief WebSocket server and client that share one thread.
///
/// websocketpp needs C++17, so this header has only plain types that C++17 and
/// C++20 units lay out alike. All functions may be called on any thread;
/// callbacks run on the endpoint's own thread.
class websocket_endpoint {
 public:
  using connection_number = std::uint64_t;

  struct callbacks {
    std::function<void(connection_number, bool outgoing)> on_open;
    std::function<void(connection_number, std::string bytes)> on_message;
    /// Called once for each connection, also when it could not be opened.
    std::function<void(connection_number)> on_close;
  };

  explicit websocket_endpoint(callbacks handlers, websocket_tls tls = {});
  ~websocket_endpoint();
  websocket_endpoint(const websocket_endpoint&) = delete;
  websocket_endpoint& operator=(const websocket_endpoint&) = delete;

  /// \brief Listens on an address; returns the port, or 0 on failure. Called
  /// before `Start()`.
  unsigned short Listen(const std::string& address, unsigned short port);

  void Start();
  /// \brief Closes all connections and ends the thread.
  void Stop();

  connection_number Connect(const std::string& address, unsigned short port);

  /// \brief Sends one binary message. A connection whose send buffer is above
  /// its bound is closed, because its peer does not read.
  void Send(connection_number connection, std::string bytes);

  void Close(connection_number connection);

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace internal
}  // namespace fireflyslip

#endif  // FIREFLYSLIP_WEBSOCKET_WEBSOCKET_ENDPOINT_H_
