#ifndef FIREFLYSLIP_ORDERS_H_
#define FIREFLYSLIP_ORDERS_H_

/// \brief Module orders: orders of an agent to its engine, also when agents are
/// paused or replaced and when the engine ignores fencing tokens.

#include "fireflyslip/orders/order_sequencer.h"

#endif  // FIREFLYSLIP_ORDERS_H_
