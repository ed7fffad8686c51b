#ifndef FIREFLYSLIP_HTTP_H_
#define FIREFLYSLIP_HTTP_H_

/// \brief Module http: HTTP/1.1 server and client over Boost.Beast.

#include "fireflyslip/http/event_stream_parser.h"
#include "fireflyslip/http/http_client.h"
#include "fireflyslip/http/http_message.h"
#include "fireflyslip/http/http_server.h"
#include "fireflyslip/http/memory_budget.h"
#include "fireflyslip/http/problem.h"
#include "fireflyslip/http/response_limit.h"
#include "fireflyslip/http/socket_options.h"

#endif  // FIREFLYSLIP_HTTP_H_
