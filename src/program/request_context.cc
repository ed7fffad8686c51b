#include "program/request_context.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace fireflyslip {
namespace {

using json = nlohmann::json;

constexpr std::string_view kCompletionsPath = "/v1/chat/completions";
constexpr std::string_view kServicesPrefix = "/services/";
constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::uint64_t kDefaultMaxTokens = 256;
constexpr std::uint64_t kMaxTokensLimit = 1'000'000;
constexpr std::size_t kBytesPerToken = 4;
constexpr std::size_t kMaxKeyBytes = 256;
// Requests with the same system prompt start with the same bytes. A longer
// prefix would distinguish requests that share most of a cached prompt.
constexpr std::size_t kPrefixBytes = 512;
constexpr milliseconds kMaxDeadline = std::chrono::hours(1);

error InvalidRequest(std::string detail) {
  return {error_kind::kInvalidRequest, std::move(detail)};
}

status IdentifyWorkspace(request_context& context) {
  std::string_view key = context.request.Field("Authorization");
  if (!key.starts_with(kBearerPrefix)) {
    return error{error_kind::kUnauthorized,
                 "the Authorization header has no bearer key"};
  }
  key.remove_prefix(kBearerPrefix.size());
  const configuration& current = context.snapshot->configuration;
  const workspace_id* workspace = current.FindWorkspace(digest::Of(key));
  if (workspace == nullptr) {
    return error{error_kind::kUnauthorized, "the bearer key is unknown"};
  }
  context.workspace = *workspace;
  context.weight = current.Find(*workspace)->weight;
  return std::monostate();
}

status IdentifyRank(request_context& context) {
  const std::string_view name = context.request.Field("X-Rank");
  if (!name.empty()) {
    const std::optional<request_rank> rank = ParseRank(name);
    if (!rank) {
      return InvalidRequest("X-Rank is not urgent, standard or background");
    }
    context.rank = *rank;
  }
  const contract& terms =
      *context.snapshot->configuration.Find(context.workspace);
  milliseconds allowed = terms.ObjectivesOf(context.rank).deadline;
  const std::string_view text = context.request.Field("X-Deadline-Ms");
  if (!text.empty()) {
    std::int64_t value = 0;
    const char* end = text.data() + text.size();
    const auto [position, code] = std::from_chars(text.data(), end, value);
    if (code != std::errc() || position != end || value <= 0) {
      return InvalidRequest("X-Deadline-Ms is not a positive number");
    }
    allowed = std::min(milliseconds(value), kMaxDeadline);
  }
  context.deadline = context.arrival + allowed;
  return std::monostate();
}

status IdentifyModelRequest(request_context& context) {
  if (context.request.method != "POST") {
    return InvalidRequest("chat completions need POST");
  }
  const json body = json::parse(context.request.body, nullptr, false);
  if (!body.is_object()) {
    return InvalidRequest("the body is not a JSON object");
  }
  const auto model = body.find("model");
  if (model == body.end() || !model->is_string()) {
    return InvalidRequest("$.model is missing or not a string");
  }
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    return InvalidRequest("$.messages is missing or not an array with entries");
  }
  const auto stream = body.find("stream");
  if (stream != body.end() && !stream->is_boolean()) {
    return InvalidRequest("$.stream is not a boolean");
  }
  const auto max_tokens = body.find("max_tokens");
  if (max_tokens != body.end() &&
      (!max_tokens->is_number_unsigned() || *max_tokens == 0 ||
       *max_tokens > kMaxTokensLimit)) {
    return InvalidRequest("$.max_tokens is not a number from 1 to 1000000");
  }
  context.model = model_name(model->get<std::string>());
  if (context.snapshot->configuration.Find(context.model) == nullptr) {
    return error{error_kind::kNotFound, "model is not declared"};
  }
  const std::string first =
      messages->front().dump(-1, ' ', false, json::error_handler_t::replace);
  context.prefix_hash = std::max<std::uint64_t>(
      RendezvousScore("prefix",
                      std::string_view(first).substr(0, kPrefixBytes)),
      1);
  context.streaming = stream != body.end() && stream->get<bool>();
  context.estimated_tokens =
      (max_tokens != body.end() ? max_tokens->get<std::uint64_t>()
                                : kDefaultMaxTokens) +
      context.request.body.size() / kBytesPerToken;
  return std::monostate();
}

status IdentifyServiceCall(request_context& context) {
  std::string_view rest = context.request.target;
  rest.remove_prefix(kServicesPrefix.size());
  const std::size_t end = rest.find_first_of("/?");
  context.service = service_name(std::string(rest.substr(0, end)));
  context.service_path =
      end == std::string_view::npos ? "/" : std::string(rest.substr(end));
  if (context.service_path.front() == '?') {
    context.service_path.insert(0, 1, '/');
  }
  const configuration& current = context.snapshot->configuration;
  if (current.Find(context.service) == nullptr) {
    return error{error_kind::kNotFound, "service is not declared"};
  }
  context.estimated_tokens = 1;
  context.non_idempotent = current.IsNonIdempotent(
      context.service, context.request.method, context.service_path);
  context.key =
      idempotency_key(std::string(context.request.Field("Idempotency-Key")));
  if (context.non_idempotent && context.key.empty()) {
    return error{error_kind::kIdempotencyKeyRequired,
                 "the call is declared as non-idempotent"};
  }
  if (context.key.value().size() > kMaxKeyBytes) {
    return InvalidRequest("Idempotency-Key is longer than 256 bytes");
  }
  return std::monostate();
}

status IdentifyTarget(request_context& context) {
  if (context.request.path() == kCompletionsPath) {
    return IdentifyModelRequest(context);
  }
  if (context.request.path().starts_with(kServicesPrefix)) {
    return IdentifyServiceCall(context);
  }
  return error{error_kind::kNotFound, "no such path"};
}

std::string Fingerprint(const request_context& context) {
  const std::string target = context.model.empty()
                                 ? context.service.value() + '\n' +
                                       context.request.method + '\n' +
                                       context.service_path
                                 : context.model.value();
  return digest::Of(target + '\n' + context.request.body).ToHex();
}

}  // namespace

status IdentifyRequest(request_context& context) {
  if (context.snapshot->revision == 0) {
    return error{error_kind::kPlatformUnavailable,
                 "no configuration is known yet"};
  }
  if (status identified = IdentifyWorkspace(context); !IsOk(identified)) {
    return identified;
  }
  if (status identified = IdentifyRank(context); !IsOk(identified)) {
    return identified;
  }
  status identified = IdentifyTarget(context);
  if (IsOk(identified)) {
    context.fingerprint = Fingerprint(context);
  }
  return identified;
}

}  // namespace fireflyslip
