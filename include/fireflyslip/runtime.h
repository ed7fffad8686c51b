#ifndef FIREFLYSLIP_RUNTIME_H_
#define FIREFLYSLIP_RUNTIME_H_

/// \brief Module runtime: threads, timers, logs and metrics of a daemon.

#include "fireflyslip/runtime/async_queue.h"
#include "fireflyslip/runtime/core_driver.h"
#include "fireflyslip/runtime/io_thread.h"
#include "fireflyslip/runtime/log.h"
#include "fireflyslip/runtime/metrics.h"
#include "fireflyslip/runtime/process_clock.h"
#include "fireflyslip/runtime/timer_service.h"

#endif  // FIREFLYSLIP_RUNTIME_H_
