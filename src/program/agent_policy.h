#ifndef FIREFLYSLIP_PROGRAM_AGENT_POLICY_H_
#define FIREFLYSLIP_PROGRAM_AGENT_POLICY_H_

#include <cstddef>

#include "fireflyslip/contract.h"
#include "fireflyslip/scheduling.h"

namespace fireflyslip {

/// \brief Derives the scheduling policy of one upstream from the contracts of
/// all workspaces.
///
/// The floor of a rank is the mean of the workspaces' floors, weighted by their
/// contract weights, because the floor of a workspace is a share of the service
/// that the workspace receives. If the floors sum to more than 1, they are
/// scaled to sum to 1. The target of a rank is the shortest target of any
/// workspace.
scheduling_policy MakeSchedulingPolicy(const configuration& contracts,
                                       std::size_t slots);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_AGENT_POLICY_H_
