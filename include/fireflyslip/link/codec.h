#ifndef FIREFLYSLIP_LINK_CODEC_H_
#define FIREFLYSLIP_LINK_CODEC_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "fireflyslip/core/result.h"
#include "fireflyslip/link/messages.h"

namespace fireflyslip {

/// \brief A message with the sender's hybrid logical clock timestamp.
struct link_envelope {
  std::uint64_t physical_ms = 0;
  std::uint64_t counter = 0;
  link_message message;

  auto operator<=>(const link_envelope&) const = default;
};

/// \brief Encodes an envelope as a CBOR map whose field `t` holds the type.
std::string EncodeEnvelope(const link_envelope& envelope);

/// \brief Decodes an envelope. Fails with `kProtocolError` on malformed CBOR,
/// an unknown type, or a missing or mistyped field; unknown fields are ignored
/// so that different versions of the system interoperate.
result<link_envelope> DecodeEnvelope(std::string_view bytes);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_LINK_CODEC_H_
