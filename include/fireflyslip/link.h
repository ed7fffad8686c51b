#ifndef FIREFLYSLIP_LINK_H_
#define FIREFLYSLIP_LINK_H_

/// \brief Module link: messages between processes, their CBOR encoding and the
/// WebSocket connections (links) that transport them.

#include "fireflyslip/link/codec.h"
#include "fireflyslip/link/link_hub.h"
#include "fireflyslip/link/messages.h"

#endif  // FIREFLYSLIP_LINK_H_
