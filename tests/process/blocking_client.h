#ifndef FIREFLYSLIP_TESTS_PROCESS_BLOCKING_CLIENT_H_
#define FIREFLYSLIP_TESTS_PROCESS_BLOCKING_CLIENT_H_

#include <cstdint>
#include <map>
#include <string>

namespace fireflyslip::testing {

using http_fields = std::map<std::string, std::string>;

/// \brief A response, which may be truncated.
struct http_answer {
  int status = 0;       ///< 0 if no response head arrived.
  std::string outcome;  ///< Field `X-Outcome`.
  std::string body;
  bool is_complete = false;  ///< The end of the HTTP message was received.
};

/// \brief Sends one request on a new connection to a port of the loopback
/// address and waits for the response. Each operation times out after 60 s.
http_answer SendRequest(std::uint16_t port,
                        const std::string& method,
                        const std::string& target,
                        const std::string& body = "",
                        const http_fields& fields = {});

/// \brief Returns a port of the loopback address that was free at the time of
/// the call.
std::uint16_t FreePort();

}  // namespace fireflyslip::testing

#endif  // FIREFLYSLIP_TESTS_PROCESS_BLOCKING_CLIENT_H_
