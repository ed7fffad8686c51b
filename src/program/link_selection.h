#ifndef FIREFLYSLIP_PROGRAM_LINK_SELECTION_H_
#define FIREFLYSLIP_PROGRAM_LINK_SELECTION_H_

#include <set>

#include "fireflyslip/contract.h"
#include "program/fleet_snapshot.h"

namespace fireflyslip {

/// \brief The peers to which a process opens links.
///
/// Entries dial agents, and of two processes of one role only one dials. All
/// processes that know the same members and configuration agree about it.
/// `self` needs `vm`, `data_centre` and `role` only; it counts as a member also
/// if the list does not name it yet. Leaving members are not dialled.
std::set<vm_id> SelectLinks(const fleet_member& self,
                            const fleet_members& members,
                            const configuration& declared);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_LINK_SELECTION_H_
