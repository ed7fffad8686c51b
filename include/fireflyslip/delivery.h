#ifndef FIREFLYSLIP_DELIVERY_H_
#define FIREFLYSLIP_DELIVERY_H_

/// \brief Module delivery: brings the whole answer of one complete model
/// version to the caller that asked, over links that lose and repeat messages.

#include "fireflyslip/delivery/answer_assembler.h"
#include "fireflyslip/delivery/attempt_ledger.h"

#endif  // FIREFLYSLIP_DELIVERY_H_
