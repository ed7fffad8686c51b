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
  std::map<std::string, std::string> headers;  ///< Lower-case names.
  std::string body;

  /// \brief Value of a header, or an empty string. The name must be lower-case.
  std::string Header(const std::string& name) const;

  /// \brief Value of a query parameter, or an empty string.
  std::string Query(const std::string& name) const;

  /// \brief Path without the prefix, or nothing if it does not begin with it.
  std::optional<std::string> PathAfter(std::string_view prefix) const;
};

/// \brief HTTP response, or only the header of a streamed one.
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

/// \brief Creates a request from its method and target; parses the query.
http_request ParseTarget(std::string method, std::string target);

/// \brief Parses an unsigned decimal number that spans the whole text.
std::optional<std::uint64_t> ParseNumber(std::string_view text);

}  // namespace fireflyslip::standins

#endif  // FIREFLYSLIP_STANDINS_HTTP_MESSAGE_H_
