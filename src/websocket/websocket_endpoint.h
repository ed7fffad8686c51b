#ifndef FIREFLYSLIP_WEBSOCKET_WEBSOCKET_ENDPOINT_H_
#define FIREFLYSLIP_WEBSOCKET_WEBSOCKET_ENDPOINT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace fireflyslip {
namespace internal {

/// \brief TLS files of a WebSocket endpoint; empty file names disable TLS.
struct websocket_tls {
  std::string certificate_file;
  std::string key_file;
  /// Certificate authorities that are trusted to sign peer certificates.
  std::string authority_file;
};

/// \brief WebSocket server and client that share one thread.
///
/// websocketpp requires C++17, so this header uses only types whose layout is
/// the same in C++17 and C++20 translation units. All functions are
/// thread-safe; callbacks run on the thread of the endpoint.
class websocket_endpoint {
 public:
  using connection_number = std::uint64_t;

  struct callbacks {
    std::function<void(connection_number, bool outgoing)> on_open;
    std::function<void(connection_number, std::string bytes)> on_message;
    /// Called once per connection, also if it could not be opened.
    std::function<void(connection_number)> on_close;
  };

  explicit websocket_endpoint(callbacks handlers, websocket_tls tls = {});
  ~websocket_endpoint();
  websocket_endpoint(const websocket_endpoint&) = delete;
  websocket_endpoint& operator=(const websocket_endpoint&) = delete;

  /// \brief Listens on an address; returns the port, or 0 on failure. Must be
  /// called before `Start()`.
  unsigned short Listen(const std::string& address, unsigned short port);

  void Start();
  /// \brief Closes all connections and joins the thread.
  void Stop();

  connection_number Connect(const std::string& address, unsigned short port);

  /// \brief Sends one binary message. A connection whose send buffer exceeds
  /// its limit is closed, because its peer is not reading.
  void Send(connection_number connection, std::string bytes);

  void Close(connection_number connection);

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace internal
}  // namespace fireflyslip

#endif  // FIREFLYSLIP_WEBSOCKET_WEBSOCKET_ENDPOINT_H_
