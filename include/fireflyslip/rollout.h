#ifndef FIREFLYSLIP_ROLLOUT_H_
#define FIREFLYSLIP_ROLLOUT_H_

/// \brief Rollout of a model version over the replicas of a data centre.

#include "fireflyslip/rollout/rollout_controller.h"

#endif  // FIREFLYSLIP_ROLLOUT_H_
