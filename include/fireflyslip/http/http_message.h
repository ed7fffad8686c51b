#ifndef FIREFLYSLIP_HTTP_HTTP_MESSAGE_H_
#define FIREFLYSLIP_HTTP_HTTP_MESSAGE_H_

#include <compare>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fireflyslip {

/// \brief One HTTP header field.
struct http_field {
  std::string name;
  std::string value;

  auto operator<=>(const http_field&) const = default;
};

using http_fields = std::vector<http_field>;

/// \brief Value of the first field with this name, compared case-insensitively;
/// empty if there is none.
std::string_view FindField(const http_fields& fields, std::string_view name);

/// \brief Request with its complete body.
struct http_request {
  std::string method = "GET";
  std::string target = "/";
  http_fields fields;
  std::string body;
  /// Sent instead of `body` if set; copies of the request share it.
  std::shared_ptr<const std::string> shared_body = nullptr;

  auto operator<=>(const http_request&) const = default;

  /// \brief The target without its query.
  std::string_view path() const;
  /// \brief Value of a query parameter; empty if it is missing.
  std::string_view QueryParameter(std::string_view name) const;
  std::string_view Field(std::string_view name) const {
    return FindField(fields, name);
  }
};

/// \brief Response with its complete body, or only its head when streamed.
struct http_response {
  int status = 200;
  http_fields fields;
  std::string body;

  auto operator<=>(const http_response&) const = default;

  std::string_view Field(std::string_view name) const {
    return FindField(fields, name);
  }
};

/// \brief Response with a JSON body.
http_response JsonResponse(int status, std::string body);

/// \brief Address and port of a server.
struct http_endpoint {
  std::string address;
  unsigned short port = 0;

  auto operator<=>(const http_endpoint&) const = default;
};

/// \brief Parses `ADDRESS:PORT`; the port must not be 0.
std::optional<http_endpoint> ParseHttpEndpoint(std::string_view text);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_HTTP_HTTP_MESSAGE_H_
