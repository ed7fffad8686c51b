#ifndef FIREFLYSLIP_MEMBERSHIP_H_
#define FIREFLYSLIP_MEMBERSHIP_H_

/// \brief Module membership: which VMs live, leave or are silent, and whether
/// this process was paused.

#include "fireflyslip/membership/member_messages.h"
#include "fireflyslip/membership/member_table.h"
#include "fireflyslip/membership/pause_detector.h"

#endif  // FIREFLYSLIP_MEMBERSHIP_H_
