#include "websocket/websocket_endpoint.h"
