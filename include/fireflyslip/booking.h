#ifndef FIREFLYSLIP_BOOKING_H_
#define FIREFLYSLIP_BOOKING_H_

/// \brief Module booking: at-most-once execution of non-idempotent calls, based
/// on claims that are written to a journal object before the call runs.

#include "fireflyslip/booking/claim_journal.h"
#include "fireflyslip/booking/journal_codec.h"
#include "fireflyslip/booking/journal_owner.h"

#endif  // FIREFLYSLIP_BOOKING_H_
