#ifndef FIREFLYSLIP_STANDINS_HTTP_MESSAGE_H_
#define FIREFLYSLIP_STANDINS_HTTP_MESSAGE_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace fireflyslip::standins {

/// \brief A complete HTTP request.
struct http_request {
  std::string method;
  std::string target;  ///< Path and query as received.
  std::string path;    ///< Percent-decoded path.
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::string body;

  /// \brief Value of a header, or an empty string. The name is in lower case.
  std::string Header(const std::string& name) const;

  /// \brief Value of a query parameter, or an empty string.
  std::string Query(const std::string& name) const;

  /// \brief The rest of the path after a prefix, if the path starts with it.
  std::optional<std::string> PathAfter(std::string_view prefix) const;
};

/// \brief An HTTP response; of a stream, only its head.
struct http_response {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::map<std::string, std::string> headers;
};

/// \brief Response with a JSON body.
http_response JsonResponse(int status, const nlohmann::json& body);

/// \brief Response with the JSON body `{"error": DETAIL}`.
http_response ErrorResponse(int status, std::string_view detail);

/// \brief Parses a request's method, target and query.
http_request ParseTarget(std::string method, std::string target);

/// \brief Parses a decimal number without sign or surrounding text.
std::optional<std::uint64_t> ParseNumber(std::string_view text);

}  // namespace fireflyslip::standins

#endif  // FIREFLYSLIP_STANDINS_HTTP_MESSAGE_H_
