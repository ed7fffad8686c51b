#ifndef FIREFLYSLIP_MEMBERSHIP_MEMBER_MESSAGES_H_
#define FIREFLYSLIP_MEMBERSHIP_MEMBER_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "fireflyslip/core/decision_core.h"
#include "fireflyslip/core/ids.h"
#include "fireflyslip/core/process_role.h"

namespace fireflyslip {

/// \brief State of a VM as observed by this process.
enum class member_state {
  kJoining,  ///< Listed, but never linked to this process.
  kLive,     ///< Linked, with recent messages.
  kLeaving,  ///< Announced by the VM or the list; gets no new work.
  kSilent,   ///< The link is lost or silent.
  kGone,     ///< No longer listed and not linked.
};

/// \brief Stable name of a state, in snake case.
std::string_view ToString(member_state state);

/// \brief Entry of the platform's VM list.
struct vm_list_entry {
  vm_id vm;
  data_centre_id data_centre;
  process_role role = process_role::kEntry;
  std::string link;   ///< `ADDRESS:PORT` for links.
  std::string admin;  ///< `ADDRESS:PORT` of the admin server.
  bool leaving = false;

  auto operator<=>(const vm_list_entry&) const = default;
};

/// \brief A member with its state.
struct member {
  vm_id vm;
  data_centre_id data_centre;
  process_role role = process_role::kEntry;
  std::string link;
  std::string admin;
  incarnation_number incarnation = 0;  ///< 0 before the first message.
  member_state state = member_state::kJoining;

  auto operator<=>(const member&) const = default;
};

/// \brief Events of `member_table`.
namespace member_event {

/// \brief A link to the VM is open and its `hello` has arrived.
struct connected {
  vm_id vm;
  data_centre_id data_centre;
  process_role role = process_role::kEntry;
  incarnation_number incarnation = 0;

  auto operator<=>(const connected&) const = default;
};

/// \brief A message of any type arrived from the VM.
struct heartbeat {
  vm_id vm;
  incarnation_number incarnation = 0;

  auto operator<=>(const heartbeat&) const = default;
};

struct link_lost {
  vm_id vm;
  incarnation_number incarnation = 0;

  auto operator<=>(const link_lost&) const = default;
};

/// \brief The VM announced a graceful shutdown.
struct leaving_notice {
  vm_id vm;
  incarnation_number incarnation = 0;

  auto operator<=>(const leaving_notice&) const = default;
};

/// \brief The complete VM list, from the platform or a peer.
struct vm_list {
  std::uint64_t revision = 0;
  std::vector<vm_list_entry> entries;

  auto operator<=>(const vm_list&) const = default;
};

}  // namespace member_event

/// \brief Actions of `member_table`.
namespace member_action {

struct member_changed {
  member value;

  auto operator<=>(const member_changed&) const = default;
};

/// \brief Close the link, whose silence timeout has expired.
struct close_link {
  vm_id vm;

  auto operator<=>(const close_link&) const = default;
};

}  // namespace member_action

using member_table_event = std::variant<tick,
                                        member_event::connected,
                                        member_event::heartbeat,
                                        member_event::link_lost,
                                        member_event::leaving_notice,
                                        member_event::vm_list>;

using member_table_action =
    std::variant<member_action::member_changed, member_action::close_link>;

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_MEMBERSHIP_MEMBER_MESSAGES_H_
