#ifndef FIREFLYSLIP_PROGRAM_FLEET_SNAPSHOT_H_
#define FIREFLYSLIP_PROGRAM_FLEET_SNAPSHOT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "fireflyslip/contract.h"
#include "fireflyslip/core.h"
#include "fireflyslip/http/http_message.h"

namespace fireflyslip {

/// \brief A process of this system that is listed in the VM list of the
/// platform.
struct fleet_member {
  vm_id vm;
  data_centre_id data_centre;
  region_id region;
  process_role role = process_role::kEntry;
  http_endpoint link;
  http_endpoint admin;
  /// The VM announced that it leaves, or the VM list states it.
  bool leaving = false;
  /// The member is live, which means that its link is open and not silent, and
  /// it does not leave.
  bool eligible = false;

  auto operator<=>(const fleet_member&) const = default;
};

using fleet_members = std::map<vm_id, fleet_member>;

/// \brief Configuration and members that the control thread publishes to the
/// traffic thread.
struct fleet_snapshot {
  std::uint64_t revision = 0;  ///< 0 until a configuration is known.
  fireflyslip::configuration configuration;
  std::uint64_t members_revision = 0;  ///< 0 until a VM list is known.
  /// Members of the VM list, or the seed peers until a list is known. A member
  /// that was removed from the list is kept as leaving while its link is open.
  fleet_members members;
};

using snapshot_pointer = std::shared_ptr<const fleet_snapshot>;

/// \brief Parses the VM list of the platform. Invalid entries and entries with
/// an unknown role are skipped, because the platform also lists other VMs.
/// Fails with `kProtocolError` if the list is not a JSON array.
result<fleet_members> ParseVmList(std::string_view json);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_FLEET_SNAPSHOT_H_
