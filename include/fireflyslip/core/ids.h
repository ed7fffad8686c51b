#ifndef FIREFLYSLIP_CORE_IDS_H_
#define FIREFLYSLIP_CORE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace fireflyslip {

/// \brief Strongly typed string identifier; `Tag` distinguishes the kinds.
template <typename Tag>
class text_id {
 public:
  text_id() = default;
  explicit text_id(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  auto operator<=>(const text_id&) const = default;

 private:
  std::string value_;
};

/// \brief A VM of the system or the VM of an upstream.
using vm_id = text_id<struct vm_tag>;
using data_centre_id = text_id<struct data_centre_tag>;
using region_id = text_id<struct region_tag>;
/// \brief A customer; the unit to which a contract applies.
using workspace_id = text_id<struct workspace_tag>;
/// \brief A back end, identified by the name of its declared VM.
using upstream_id = text_id<struct upstream_tag>;
using model_name = text_id<struct model_tag>;
using model_version = text_id<struct model_version_tag>;
using service_name = text_id<struct service_tag>;
using idempotency_key = text_id<struct idempotency_key_tag>;

/// \brief Incarnation of the process on a VM; increases with each start.
using incarnation_number = std::uint64_t;

/// \brief Request identifier, unique across restarts of the entry that
/// assigned it.
struct request_id {
  vm_id vm;
  incarnation_number incarnation = 0;
  std::uint64_t sequence = 0;

  auto operator<=>(const request_id&) const = default;
};

/// \brief Formats a request id as `VM.INCARNATION.SEQUENCE`.
std::string ToString(const request_id& id);

/// \brief Parses the output of `ToString(request_id)`.
std::optional<request_id> ParseRequestId(std::string_view text);

/// \brief One attempt to execute a request on an upstream.
struct attempt_id {
  request_id request;
  std::uint32_t number = 0;

  auto operator<=>(const attempt_id&) const = default;
};

}  // namespace fireflyslip

template <typename Tag>
struct std::hash<fireflyslip::text_id<Tag>> {
  std::size_t operator()(const fireflyslip::text_id<Tag>& id) const noexcept {
    return std::hash<std::string>{}(id.value());
  }
};

#endif  // FIREFLYSLIP_CORE_IDS_H_
