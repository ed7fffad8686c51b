#include "fireflyslip/platform/object_client.h"

#include <charconv>
#include <string_view>
#include <utility>

namespace fireflyslip {
namespace {

using boost::asio::awaitable;

constexpr char kObjectsPath[] = "/v1/objects/";
constexpr char kVmsPath[] = "/v1/vms";
/// The platform normally responds within milliseconds; a call without a
/// response for this long indicates an outage.
constexpr seconds kCallTimeout{3};

std::optional<std::uint64_t> ParseEntityTag(std::string_view tag) {
  if (tag.size() < 3 || tag.front() != '"' || tag.back() != '"') {
    return std::nullopt;
  }
  std::uint64_t version = 0;
  const char* end = tag.data() + tag.size() - 1;
  const auto [position, code] = std::from_chars(tag.data() + 1, end, version);
  if (code != std::errc() || position != end) {
    return std::nullopt;
  }
  return version;
}

error Unavailable(std::string detail) {
  return {error_kind::kPlatformUnavailable, std::move(detail)};
}

std::string WatchQuery(std::uint64_t since, duration wait) {
  const auto wait_ms = std::chrono::duration_cast<milliseconds>(wait).count();
  return "since=" + std::to_string(since) +
         "&wait_ms=" + std::to_string(wait_ms);
}

}  // namespace

object_client::object_client(boost::asio::io_context& context,
                             http_endpoint platform)
    : client_(context, SingleUseConnections()),
      platform_(std::move(platform)) {}

awaitable<result<std::optional<platform_object>>> object_client::Read(
    std::string target,
    duration timeout) {
  http_request request;
  request.target = std::move(target);
  const result<http_response> reply =
      co_await client_.Request(platform_, std::move(request), timeout);
  if (!IsOk(reply)) {
    co_return Unavailable(ErrorOf(reply).detail);
  }
  const http_response& response = ValueOf(reply);
  if (response.status == 404 || response.status == 204) {
    co_return std::optional<platform_object>();
  }
  const auto version = ParseEntityTag(response.Field("ETag"));
  if (response.status != 200 || !version) {
    co_return Unavailable("read returned status " +
                          std::to_string(response.status));
  }
  co_return std::optional(platform_object{*version, response.body});
}

awaitable<result<std::optional<platform_object>>> object_client::Get(
    std::string key) {
  return Read(kObjectsPath + key, kCallTimeout);
}

awaitable<result<std::optional<platform_object>>>
object_client::Watch(std::string key, std::uint64_t since, duration wait) {
  return Read(kObjectsPath + key + "?watch=1&" + WatchQuery(since, wait),
              wait + kCallTimeout);
}

awaitable<result<std::optional<platform_object>>> object_client::WatchVms(
    std::uint64_t since,
    duration wait) {
  return Read(std::string(kVmsPath) + "?" + WatchQuery(since, wait),
              wait + kCallTimeout);
}

awaitable<result<std::uint64_t>> object_client::Put(std::string key,
                                                    std::uint64_t expected,
                                                    std::string body) {
  http_request request{"PUT", kObjectsPath + key, {}, std::move(body)};
  if (expected == 0) {
    request.fields.push_back({"If-None-Match", "*"});
  } else {
    request.fields.push_back(
        {"If-Match", "\"" + std::to_string(expected) + "\""});
  }
  const result<http_response> reply =
      co_await client_.Request(platform_, std::move(request), kCallTimeout);
  if (!IsOk(reply)) {
    const error& failure = ErrorOf(reply);
    if (failure.kind == error_kind::kNoUpstream) {
      co_return Unavailable(failure.detail);
    }
    co_return error{error_kind::kOutcomeUnknown, failure.detail};
  }
  const http_response& response = ValueOf(reply);
  if (response.status == 412) {
    co_return error{error_kind::kConflict, key + " has another version"};
  }
  const auto version = ParseEntityTag(response.Field("ETag"));
  if (response.status == 200 && version) {
    co_return *version;
  }
  if (response.status == 503 || response.status == 413) {
    co_return Unavailable("write returned status " +
                          std::to_string(response.status));
  }
  co_return error{error_kind::kOutcomeUnknown,
                  "write returned status " + std::to_string(response.status)};
}

}  // namespace fireflyslip
