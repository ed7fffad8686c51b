#ifndef FIREFLYSLIP_ROUTING_NEIGHBOUR_SELECTION_H_
#define FIREFLYSLIP_ROUTING_NEIGHBOUR_SELECTION_H_

#include <cstddef>
#include <vector>

#include "fireflyslip/core/ids.h"

namespace fireflyslip {

/// \brief Selects the agents to which an entry links.
///
/// Computes a deterministic subset of the agents: processes with the same
/// entries and agents compute the same subsets. Each entry prefers agents in
/// rendezvous order; an agent gets at most its even share of the links, rounded
/// up, as long as other agents are below theirs.
/// \param entries all entries, including `entry`.
/// \param size number of agents per entry; with fewer agents, all are selected.
std::vector<vm_id> SelectNeighbours(const vm_id& entry,
                                    std::vector<vm_id> entries,
                                    const std::vector<vm_id>& agents,
                                    std::size_t size);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_ROUTING_NEIGHBOUR_SELECTION_H_
