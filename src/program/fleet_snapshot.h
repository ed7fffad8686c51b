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

/// \brief A process of the system in the platform's VM list.
struct fleet_member {
  vm_id vm;
  data_centre_id data_centre;
  region_id region;
  process_role role = process_role::kEntry;
  http_endpoint link;
  http_endpoint admin;
  /// Announced by the VM or by the VM list, whichever came first.
  bool leaving = false;
  /// The link to it is open and recent, and it does not leave.
  bool eligible = false;

  auto operator<=>(const fleet_member&) const = default;
};

using fleet_members = std::map<vm_id, fleet_member>;

/// \brief What the control thread publishes to the traffic thread.
struct fleet_snapshot {
  std::uint64_t revision = 0;  ///< 0 until a configuration is known.
  fireflyslip::configuration configuration;
  std::uint64_t members_revision = 0;  ///< 0 until a VM list is known.
  /// Members of the VM list, or the seed peers until a list is known. A member
  /// that the list dropped stays, as leaving, while its link is open.
  fleet_members members;
};

using snapshot_pointer = std::shared_ptr<const fleet_snapshot>;

/// \brief Parses the platform's VM list; entries of an unknown role are
/// skipped, because the platform lists other VMs too. Fails with
/// `kProtocolError` on malformed JSON.
result<fleet_members> ParseVmList(std::string_view json);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_FLEET_SNAPSHOT_H_
