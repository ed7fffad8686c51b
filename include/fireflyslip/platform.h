#ifndef FIREFLYSLIP_PLATFORM_H_
#define FIREFLYSLIP_PLATFORM_H_

/// \brief Module platform: client of the platform's object API and VM list.

#include "fireflyslip/platform/object_client.h"

#endif  // FIREFLYSLIP_PLATFORM_H_
