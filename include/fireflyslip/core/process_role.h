#ifndef FIREFLYSLIP_CORE_PROCESS_ROLE_H_
#define FIREFLYSLIP_CORE_PROCESS_ROLE_H_

#include <optional>
#include <string_view>

namespace fireflyslip {

/// \brief Role of a process; each VM runs one process.
enum class process_role { kEntry, kAgent };

/// \brief Stable name: `entry` or `agent`.
constexpr std::string_view ToString(process_role role) {
  return role == process_role::kEntry ? "entry" : "agent";
}

/// \brief Parses the stable name of a role.
constexpr std::optional<process_role> ParseProcessRole(std::string_view name) {
  if (name == "entry") {
    return process_role::kEntry;
  }
  if (name == "agent") {
    return process_role::kAgent;
  }
  return std::nullopt;
}

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CORE_PROCESS_ROLE_H_
