#ifndef FIREFLYSLIP_LINK_LINK_HUB_H_
#define FIREFLYSLIP_LINK_LINK_HUB_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "fireflyslip/core/ids.h"
#include "fireflyslip/core/result.h"
#include "fireflyslip/link/codec.h"
#include "fireflyslip/link/messages.h"

namespace fireflyslip {

/// \brief Manages the links of a process to its peers, at most one per VM.
///
/// A new link to a VM replaces an existing one, which may be half-open.
/// Callbacks run on the link thread; all functions are thread-safe.
class link_hub {
 public:
  struct callbacks {
    std::function<void(const hello_message& peer)> on_connected;
    std::function<void(const vm_id& peer, link_envelope envelope)> on_message;
    std::function<void(const vm_id& peer)> on_lost;
    /// An attempt of this process to open a link failed.
    std::function<void(const vm_id& peer)> on_connect_failed;
    /// Timestamps an outgoing message with the hybrid logical clock.
    std::function<link_envelope(link_message message)> stamp;
  };

  struct tls_files {
    std::string certificate_file;
    std::string key_file;
    std::string authority_file;
  };

  /// \brief `self` is sent to each peer; peers whose key differs from
  /// `self.key` are rejected. Empty `tls` file names disable TLS.
  link_hub(hello_message self, callbacks handlers, tls_files tls = {});
  ~link_hub();
  link_hub(const link_hub&) = delete;
  link_hub& operator=(const link_hub&) = delete;

  /// \brief Listens and returns the port; port 0 selects a free one. Must be
  /// called before `Start()`.
  result<unsigned short> Listen(const std::string& address,
                                unsigned short port);
  void Start();
  void Stop();

  /// \brief Opens a link to a VM.
  void Connect(const vm_id& peer,
               const std::string& address,
               unsigned short port);

  /// \brief Sends a message; drops it if there is no link to the VM.
  void Send(const vm_id& peer, link_message message);

  /// \brief Closes the link to a VM; `on_lost` is called afterwards.
  void Close(const vm_id& peer);

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_LINK_LINK_HUB_H_
