#include "standins/http_message.h"

#include <charconv>
#include <utility>

namespace fireflyslip::standins {
namespace {

std::string DecodePercent(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned value = 0;
    if (text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(&text[i + 1], &text[i + 1] + 2, value, 16).ptr ==
            &text[i + 1] + 2) {
      decoded.push_back(static_cast<char>(value));
      i += 2;
    } else {
      decoded.push_back(text[i]);
    }
  }
  return decoded;
}

std::string ValueOrEmpty(const std::map<std::string, std::string>& values,
                         const std::string& name) {
  const auto found = values.find(name);
  return found == values.end() ? std::string() : found->second;
}

}  // namespace

std::string http_request::Header(const std::string& name) const {
  return ValueOrEmpty(headers, name);
}

std::string http_request::Query(const std::string& name) const {
  return ValueOrEmpty(query, name);
}

std::optional<std::string> http_request::PathAfter(
    std::string_view prefix) const {
  if (!path.starts_with(prefix)) {
    return std::nullopt;
  }
  return path.substr(prefix.size());
}

http_response JsonResponse(int status, const nlohmann::json& body) {
  http_response response;
  response.status = status;
  response.body = body.dump();
  return response;
}

http_response ErrorResponse(int status, std::string_view detail) {
  return JsonResponse(status, {{"error", detail}});
}

http_request ParseTarget(std::string method, std::string target) {
  http_request request;
  request.method = std::move(method);
  request.target = std::move(target);
  const std::string_view view = request.target;
  const std::size_t mark = view.find('?');
  request.path = DecodePercent(view.substr(0, mark));
  std::string_view rest =
      mark == std::string_view::npos ? "" : view.substr(mark + 1);
  while (!rest.empty()) {
    const std::size_t end = rest.find('&');
    const std::string_view pair = rest.substr(0, end);
    const std::size_t equals = pair.find('=');
    request.query[DecodePercent(pair.substr(0, equals))] =
        equals == std::string_view::npos
            ? std::string()
            : DecodePercent(pair.substr(equals + 1));
    rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
  }
  return request;
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

}  // namespace fireflyslip::standins
