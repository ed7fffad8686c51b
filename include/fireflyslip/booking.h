#ifndef FIREFLYSLIP_BOOKING_H_
#define FIREFLYSLIP_BOOKING_H_

/// \brief Module booking: at most one execution of each non-idempotent call, by
/// claims in a journal object that are written before the call runs.

#include "fireflyslip/booking/claim_journal.h"
#include "fireflyslip/booking/journal_codec.h"
#include "fireflyslip/booking/journal_owner.h"

#endif  // FIREFLYSLIP_BOOKING_H_
