#include "fireflyslip/contract/call_pattern.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace fireflyslip {
namespace {

int HexValue(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  if (c >= 'a' && c <= 'f') {
    return c - 'a' + 10;
  }
  if (c >= 'A' && c <= 'F') {
    return c - 'A' + 10;
  }
  return -1;
}

std::string DecodePercent(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size() && HexValue(text[i + 1]) >= 0 &&
        HexValue(text[i + 2]) >= 0) {
      decoded.push_back(static_cast<char>(HexValue(text[i + 1]) * 16 +
                                          HexValue(text[i + 2])));
      i += 2;
    } else {
      decoded.push_back(text[i]);
    }
  }
  return decoded;
}

char ToUpper(char c) {
  return c >= 'a' && c <= 'z' ? static_cast<char>(c - 'a' + 'A') : c;
}

}  // namespace

std::string NormalizePath(std::string_view target) {
  const std::string path =
      DecodePercent(target.substr(0, target.find_first_of("?#")));
  std::vector<std::string_view> segments;
  std::string_view rest = path;
  while (!rest.empty()) {
    const std::size_t end = rest.find('/');
    const std::string_view segment = rest.substr(0, end);
    rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
    if (segment == "..") {
      if (!segments.empty()) {
        segments.pop_back();
      }
    } else if (!segment.empty() && segment != ".") {
      segments.push_back(segment);
    }
  }
  std::string normalized;
  for (const std::string_view segment : segments) {
    normalized.push_back('/');
    normalized.append(segment);
  }
  return normalized.empty() ? "/" : normalized;
}

bool call_pattern::Matches(std::string_view call_method,
                           std::string_view target) const {
  if (!std::equal(method.begin(), method.end(), call_method.begin(),
                  call_method.end(),
                  [](char a, char b) { return a == ToUpper(b); })) {
    return false;
  }
  const std::string normalized = NormalizePath(target);
  return path == "/" || normalized == path ||
         normalized.starts_with(path + "/");
}

std::optional<call_pattern> ParseCallPattern(std::string_view text) {
  const std::size_t space = text.find(' ');
  if (space == 0 || space == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view method = text.substr(0, space);
  const std::string_view path = text.substr(space + 1);
  const bool upper = std::all_of(method.begin(), method.end(),
                                 [](char c) { return c >= 'A' && c <= 'Z'; });
  const bool printable = std::all_of(path.begin(), path.end(), [](char c) {
    return c > ' ' && c < '\x7f' && c != '?' && c != '#';
  });
  if (!upper || !printable || !path.starts_with('/')) {
    return std::nullopt;
  }
  return call_pattern{std::string(method), NormalizePath(path)};
}

std::string ToString(const call_pattern& pattern) {
  return pattern.method + " " + pattern.path;
}

}  // namespace fireflyslip
