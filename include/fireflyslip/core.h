#ifndef FIREFLYSLIP_CORE_H_
#define FIREFLYSLIP_CORE_H_

/// \brief Module core: value types and the concept that all decision cores
/// model.

#include "fireflyslip/core/decision_core.h"
#include "fireflyslip/core/digest.h"
#include "fireflyslip/core/error.h"
#include "fireflyslip/core/hash.h"
#include "fireflyslip/core/ids.h"
#include "fireflyslip/core/process_role.h"
#include "fireflyslip/core/random_source.h"
#include "fireflyslip/core/rank.h"
#include "fireflyslip/core/rendezvous.h"
#include "fireflyslip/core/result.h"
#include "fireflyslip/core/time.h"

#endif  // FIREFLYSLIP_CORE_H_
