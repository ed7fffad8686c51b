#ifndef FIREFLYSLIP_EVENTS_H_
#define FIREFLYSLIP_EVENTS_H_

/// \brief Module events: event records of a process, timestamped with a hybrid
/// logical clock so that the records of all processes merge into one timeline.

#include "fireflyslip/events/event_kind.h"
#include "fireflyslip/events/event_log.h"
#include "fireflyslip/events/event_record.h"
#include "fireflyslip/events/hybrid_clock.h"
#include "fireflyslip/events/timeline.h"

#endif  // FIREFLYSLIP_EVENTS_H_
