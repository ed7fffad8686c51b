#include "fireflyslip/link/link_hub.h"

#include <map>
#include <mutex>
#include <optional>
#include <utility>

#include "websocket/websocket_endpoint.h"

namespace fireflyslip {
namespace {

using internal::websocket_endpoint;
using connection_number = websocket_endpoint::connection_number;

}  // namespace

class link_hub::state {
 public:
  state(hello_message self, callbacks handlers, const tls_files& tls)
      : self_(std::move(self)),
        handlers_(std::move(handlers)),
        endpoint_(
            {
                [this](connection_number number, bool outgoing) {
                  if (outgoing) {
                    SendHello(number);
                  }
                },
                [this](connection_number number, std::string bytes) {
                  HandleMessage(number, bytes);
                },
                [this](connection_number number) { HandleClosed(number); },
            },
            {tls.certificate_file, tls.key_file, tls.authority_file}) {}

  result<unsigned short> Listen(const std::string& address,
                                unsigned short port) {
    const unsigned short bound = endpoint_.Listen(address, port);
    if (bound == 0) {
      return error{
          error_kind::kInternalError,
          "cannot listen for links on " + address + ":" + std::to_string(port)};
    }
    return bound;
  }

  void Start() { endpoint_.Start(); }
  void Stop() { endpoint_.Stop(); }

  void Connect(const vm_id& peer,
               const std::string& address,
               unsigned short port) {
    const std::lock_guard lock(mutex_);
    pending_outgoing_[endpoint_.Connect(address, port)] = peer;
  }

  void Send(const vm_id& peer, link_message message) {
    std::optional<connection_number> number = FindConnection(peer);
    if (number) {
      endpoint_.Send(*number,
                     EncodeEnvelope(handlers_.stamp(std::move(message))));
    }
  }

  void Close(const vm_id& peer) {
    if (const std::optional<connection_number> number = FindConnection(peer)) {
      endpoint_.Close(*number);
    }
  }

 private:
  std::optional<connection_number> FindConnection(const vm_id& peer) {
    const std::lock_guard lock(mutex_);
    const auto found = by_peer_.find(peer);
    if (found == by_peer_.end()) {
      return std::nullopt;
    }
    return found->second;
  }

  /// \brief Sends the hello of this process. The accepting side sends it only
  /// after it has received a valid hello, so that the shared key is never
  /// disclosed to an unauthenticated client.
  void SendHello(connection_number number) {
    endpoint_.Send(number, EncodeEnvelope(handlers_.stamp(self_)));
  }

  void HandleMessage(connection_number number, const std::string& bytes) {
    result<link_envelope> decoded = DecodeEnvelope(bytes);
    if (!IsOk(decoded)) {
      endpoint_.Close(number);
      return;
    }
    link_envelope envelope = ValueOf(std::move(decoded));
    const auto* hello = std::get_if<hello_message>(&envelope.message);
    std::optional<vm_id> peer = FindPeer(number);
    if (!peer && hello != nullptr && hello->key == self_.key) {
      HandleHello(number, *hello);
    } else if (!peer || hello != nullptr) {
      endpoint_.Close(number);
    } else {
      handlers_.on_message(*peer, std::move(envelope));
    }
  }

  std::optional<vm_id> FindPeer(connection_number number) {
    const std::lock_guard lock(mutex_);
    const auto found = by_number_.find(number);
    if (found == by_number_.end()) {
      return std::nullopt;
    }
    return found->second;
  }

  void HandleHello(connection_number number, const hello_message& hello) {
    std::optional<connection_number> replaced;
    bool outgoing = false;
    {
      const std::lock_guard lock(mutex_);
      if (const auto found = pending_outgoing_.find(number);
          found != pending_outgoing_.end()) {
        if (found->second != hello.vm) {
          // The address now belongs to another VM.
          endpoint_.Close(number);
          return;
        }
        outgoing = true;
        pending_outgoing_.erase(found);
      }
      const auto found = by_peer_.find(hello.vm);
      if (found != by_peer_.end()) {
        replaced = found->second;
        by_number_.erase(found->second);
      }
      by_peer_[hello.vm] = number;
      by_number_[number] = hello.vm;
    }
    if (!outgoing) {
      SendHello(number);
    }
    if (replaced) {
      endpoint_.Close(*replaced);
      handlers_.on_lost(hello.vm);
    }
    handlers_.on_connected(hello);
  }

  void HandleClosed(connection_number number) {
    std::optional<vm_id> lost;
    std::optional<vm_id> failed;
    {
      const std::lock_guard lock(mutex_);
      if (const auto found = by_number_.find(number);
          found != by_number_.end()) {
        lost = found->second;
        by_peer_.erase(found->second);
        by_number_.erase(found);
      }
      if (const auto found = pending_outgoing_.find(number);
          found != pending_outgoing_.end()) {
        failed = found->second;
        pending_outgoing_.erase(found);
      }
    }
    if (lost) {
      handlers_.on_lost(*lost);
    }
    if (failed) {
      handlers_.on_connect_failed(*failed);
    }
  }

  const hello_message self_;
  const callbacks handlers_;
  std::mutex mutex_;
  std::map<vm_id, connection_number> by_peer_;
  std::map<connection_number, vm_id> by_number_;
  std::map<connection_number, vm_id> pending_outgoing_;
  // Declared last, because its callbacks use the other members.
  websocket_endpoint endpoint_;
};

link_hub::link_hub(hello_message self, callbacks handlers, tls_files tls)
    : state_(
          std::make_unique<state>(std::move(self), std::move(handlers), tls)) {}

link_hub::~link_hub() {
  Stop();
}

result<unsigned short> link_hub::Listen(const std::string& address,
                                        unsigned short port) {
  return state_->Listen(address, port);
}

void link_hub::Start() {
  state_->Start();
}

void link_hub::Stop() {
  state_->Stop();
}

void link_hub::Connect(const vm_id& peer,
                       const std::string& address,
                       unsigned short port) {
  state_->Connect(peer, address, port);
}

void link_hub::Send(const vm_id& peer, link_message message) {
  state_->Send(peer, std::move(message));
}

void link_hub::Close(const vm_id& peer) {
  state_->Close(peer);
}

}  // namespace fireflyslip
