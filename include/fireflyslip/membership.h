#ifndef FIREFLYSLIP_MEMBERSHIP_H_
#define FIREFLYSLIP_MEMBERSHIP_H_

/// \brief Module membership: tracks which VMs are live, leaving or silent, and
/// detects pauses of this process.

#include "fireflyslip/membership/member_messages.h"
#include "fireflyslip/membership/member_table.h"
#include "fireflyslip/membership/pause_detector.h"

#endif  // FIREFLYSLIP_MEMBERSHIP_H_
