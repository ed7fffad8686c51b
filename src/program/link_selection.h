#ifndef FIREFLYSLIP_PROGRAM_LINK_SELECTION_H_
#define FIREFLYSLIP_PROGRAM_LINK_SELECTION_H_

#include <set>

#include "fireflyslip/contract.h"
#include "program/fleet_snapshot.h"

namespace fireflyslip {

/// \brief Selects the peers to which a process opens links.
///
/// Entries open links to agents. Of two processes of the same role, only one
/// opens the link; all processes with the same members and configuration agree
/// which. Only `vm`, `data_centre` and `role` of `self` are used, and `self`
/// need not be in `members`. No links are opened to leaving members.
std::set<vm_id> SelectLinks(const fleet_member& self,
                            const fleet_members& members,
                            const configuration& declared);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_LINK_SELECTION_H_
