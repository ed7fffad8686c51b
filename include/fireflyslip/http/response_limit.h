#ifndef FIREFLYSLIP_HTTP_RESPONSE_LIMIT_H_
#define FIREFLYSLIP_HTTP_RESPONSE_LIMIT_H_

#include <cstddef>
#include <cstdint>

#include "fireflyslip/core/error.h"
#include "fireflyslip/http/http_message.h"

namespace fireflyslip {

/// \brief Part of a response whose length is limited, because a faulty server
/// may send bytes without end.
enum class response_part {
  kHead,     ///< Status line and header fields.
  kInterim,  ///< Number of responses before the final one (1xx).
  kFraming,  ///< Line with the size of a chunk, or trailer.
  kBody,
  kEvent,  ///< One event of a stream.
  kTotal   ///< All responses that are held in memory at the same time.
};

/// \brief Logs and counts a response that exceeds a limit; returns the error
/// with which it fails, of kind `kResponseTooLarge`.
/// \param limit in bytes, or a number of responses for `kInterim`.
error RejectOversizeResponse(const http_endpoint& server,
                             response_part part,
                             std::size_t limit);

/// \brief Number of responses that exceeded a limit since the start of the
/// process. Thread-safe.
std::uint64_t OversizeResponses();

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_HTTP_RESPONSE_LIMIT_H_
