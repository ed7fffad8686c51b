#ifndef FIREFLYSLIP_ADMISSION_H_
#define FIREFLYSLIP_ADMISSION_H_

/// \brief Module admission: enforces the rate limits of contracts at each
/// gateway and lends unused shares of them between the gateways.

#include "fireflyslip/admission/admission_controller.h"
#include "fireflyslip/admission/share_ledger.h"
#include "fireflyslip/admission/token_bucket.h"

#endif  // FIREFLYSLIP_ADMISSION_H_
