#ifndef FIREFLYSLIP_ORDERS_H_
#define FIREFLYSLIP_ORDERS_H_

/// \brief Module orders: sequencing and fencing of the orders of an agent to
/// its engine. Safe if agents are paused or replaced, and if the engine ignores
/// fencing tokens.

#include "fireflyslip/orders/order_sequencer.h"

#endif  // FIREFLYSLIP_ORDERS_H_
