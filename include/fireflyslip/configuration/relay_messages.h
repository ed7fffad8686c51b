#ifndef FIREFLYSLIP_CONFIGURATION_RELAY_MESSAGES_H_
#define FIREFLYSLIP_CONFIGURATION_RELAY_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "fireflyslip/core/decision_core.h"
#include "fireflyslip/core/digest.h"
#include "fireflyslip/core/ids.h"
#include "fireflyslip/core/process_role.h"
#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Object version of the configuration; 0 means none.
using revision_number = std::uint64_t;

/// \brief Live process that is a candidate for the selection of watchers.
struct relay_member {
  vm_id vm;
  data_centre_id data_centre;
  process_role role = process_role::kEntry;

  auto operator<=>(const relay_member&) const = default;
};

/// \brief Events of `configuration_relay`.
namespace relay_event {

/// \brief The process has started and has no configuration yet.
struct started {
  auto operator<=>(const started&) const = default;
};

/// \brief A read or watch returned the object.
struct platform_answered {
  revision_number revision = 0;
  std::string body;

  auto operator<=>(const platform_answered&) const = default;
};

/// \brief A read or watch failed or timed out.
struct platform_failed {
  auto operator<=>(const platform_failed&) const = default;
};

/// \brief A watch ended without a newer version, or a read found no object.
struct watch_returned {
  auto operator<=>(const watch_returned&) const = default;
};

struct peer_connected {
  vm_id vm;
  data_centre_id data_centre;
  revision_number revision = 0;  ///< Known to the peer.

  auto operator<=>(const peer_connected&) const = default;
};

struct peer_heartbeat {
  vm_id vm;
  revision_number revision = 0;  ///< Known to the peer.

  auto operator<=>(const peer_heartbeat&) const = default;
};

/// \brief A peer sent a configuration.
struct peer_configuration {
  vm_id vm;
  revision_number revision = 0;
  std::string body;
  digest body_digest;  ///< Computed by the sender.

  auto operator<=>(const peer_configuration&) const = default;
};

/// \brief A peer requests a configuration newer than its own.
struct peer_request {
  vm_id vm;
  revision_number revision = 0;  ///< Known to the peer.

  auto operator<=>(const peer_request&) const = default;
};

struct peer_lost {
  vm_id vm;

  auto operator<=>(const peer_lost&) const = default;
};

/// \brief The live members of all data centres.
struct members_changed {
  std::vector<relay_member> members;

  auto operator<=>(const members_changed&) const = default;
};

}  // namespace relay_event

/// \brief Actions of `configuration_relay`.
namespace relay_action {

/// \brief Read the object now.
struct read_platform {
  auto operator<=>(const read_platform&) const = default;
};

/// \brief Wait for a version above `since` for at most `wait`.
struct watch_platform {
  revision_number since = 0;
  duration wait{};  ///< Zero requests an immediate response.

  auto operator<=>(const watch_platform&) const = default;
};

struct send_configuration {
  vm_id vm;
  revision_number revision = 0;
  std::string body;
  digest body_digest;

  auto operator<=>(const send_configuration&) const = default;
};

struct request_configuration {
  vm_id vm;
  revision_number known_revision = 0;

  auto operator<=>(const request_configuration&) const = default;
};

/// \brief Put this configuration into use. The owner sends a heartbeat to its
/// peers immediately, so that they learn of it before the next periodic one.
struct publish {
  revision_number revision = 0;
  std::string body;

  auto operator<=>(const publish&) const = default;
};

/// \brief A received configuration was rejected; for event records only.
struct report_rejected {
  std::optional<vm_id> vm;  ///< The sender; absent for the platform.
  revision_number revision = 0;
  std::string reason;

  auto operator<=>(const report_rejected&) const = default;
};

}  // namespace relay_action

using configuration_relay_event = std::variant<tick,
                                               relay_event::started,
                                               relay_event::platform_answered,
                                               relay_event::platform_failed,
                                               relay_event::watch_returned,
                                               relay_event::peer_connected,
                                               relay_event::peer_heartbeat,
                                               relay_event::peer_configuration,
                                               relay_event::peer_request,
                                               relay_event::peer_lost,
                                               relay_event::members_changed>;

using configuration_relay_action =
    std::variant<relay_action::read_platform,
                 relay_action::watch_platform,
                 relay_action::send_configuration,
                 relay_action::request_configuration,
                 relay_action::publish,
                 relay_action::report_rejected>;

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CONFIGURATION_RELAY_MESSAGES_H_
