#include "fireflyslip/http/http_message.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <charconv>
#include <utility>

namespace fireflyslip {

std::string_view FindField(const http_fields& fields, std::string_view name) {
  for (const http_field& field : fields) {
    if (boost::beast::iequals({field.name.data(), field.name.size()},
                              {name.data(), name.size()})) {
      return field.value;
    }
  }
  return {};
}

std::string_view http_request::path() const {
  return std::string_view(target).substr(0, target.find('?'));
}

std::string_view http_request::QueryParameter(std::string_view name) const {
  const std::size_t start = target.find('?');
  if (start == std::string::npos) {
    return {};
  }
  std::string_view query = std::string_view(target).substr(start + 1);
  while (!query.empty()) {
    const std::string_view pair = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) == name) {
      return equals == std::string_view::npos ? std::string_view()
                                              : pair.substr(equals + 1);
    }
  }
  return {};
}

std::optional<http_endpoint> ParseHttpEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  http_endpoint endpoint{std::string(text.substr(0, colon)), 0};
  const char* end = text.data() + text.size();
  const auto [position, code] =
      std::from_chars(text.data() + colon + 1, end, endpoint.port);
  if (code != std::errc() || position != end || endpoint.port == 0) {
    return std::nullopt;
  }
  return endpoint;
}

http_response JsonResponse(int status, std::string body) {
  return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

}  // namespace fireflyslip
