#ifndef FIREFLYSLIP_ROUTING_NEIGHBOUR_SELECTION_H_
#define FIREFLYSLIP_ROUTING_NEIGHBOUR_SELECTION_H_

#include <cstddef>
#include <vector>

#include "fireflyslip/core/ids.h"

namespace fireflyslip {

/// \brief Selects the agents to which an entry links.
///
/// All processes that know the same entries and agents compute the same
/// subsets. Each entry prefers agents in rendezvous order; an agent takes at
/// most its even part of the links, rounded up, while others have room.
/// \param entries all entries, with `entry` among them.
/// \param size number of agents per entry; all of them if there are fewer.
std::vector<vm_id> SelectNeighbours(const vm_id& entry,
                                    std::vector<vm_id> entries,
                                    const std::vector<vm_id>& agents,
                                    std::size_t size);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_ROUTING_NEIGHBOUR_SELECTION_H_
