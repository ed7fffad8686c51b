#ifndef FIREFLYSLIP_NODE_CBOR_H_
#define FIREFLYSLIP_NODE_CBOR_H_

#include <nlohmann/json.hpp>
#include <string_view>

namespace fireflyslip {

/// \brief Parses CBOR from another process. Malformed, deeply nested or
/// truncated input yields a discarded value.
nlohmann::json ParseCbor(std::string_view bytes);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_NODE_CBOR_H_
