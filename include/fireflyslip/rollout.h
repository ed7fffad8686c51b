#ifndef FIREFLYSLIP_ROLLOUT_H_
#define FIREFLYSLIP_ROLLOUT_H_

/// \brief Module rollout: rolling update of the replicas of a data centre to a
/// new model version.

#include "fireflyslip/rollout/rollout_controller.h"

#endif  // FIREFLYSLIP_ROLLOUT_H_
