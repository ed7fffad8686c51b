#ifndef FIREFLYSLIP_CONTRACT_H_
#define FIREFLYSLIP_CONTRACT_H_

/// \brief Module contract: the configuration of the fleet, the settings of a
/// process, and their parsers, which report every error with its JSON path.

#include "fireflyslip/contract/call_pattern.h"
#include "fireflyslip/contract/configuration.h"
#include "fireflyslip/contract/configuration_parser.h"
#include "fireflyslip/contract/contract.h"
#include "fireflyslip/contract/declarations.h"
#include "fireflyslip/contract/finding.h"
#include "fireflyslip/contract/process_settings.h"

#endif  // FIREFLYSLIP_CONTRACT_H_
