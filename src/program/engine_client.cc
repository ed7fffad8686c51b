#include "program/engine_client.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "fireflyslip/distribution.h"
#include "fireflyslip/runtime.h"

namespace fireflyslip {
namespace {

using boost::asio::awaitable;
using json = nlohmann::json;

constexpr char kStatePath[] = "/state";
constexpr char kOrdersPath[] = "/orders";
constexpr char kStagingPath[] = "/staging/chunks";
constexpr int kConflict = 409;
constexpr int kUnprocessable = 422;
/// A poll fails if the engine does not answer within this time.
constexpr seconds kStateTimeout{2};
/// Timeout for copying one chunk between the agent and the engine on its VM.
constexpr seconds kStagingTimeout{20};
/// Time that the client may need to connect before the timeout of the request
/// starts. It is subtracted from the time until the expiry of an order.
constexpr seconds kConnectAllowance{2};
constexpr std::size_t kMaxReasonBytes = 200;

error InvalidResponse(const char* call, int http_status) {
  return {error_kind::kUpstreamFailed,
          std::string(call) + " returned an invalid response with status " +
              std::to_string(http_status)};
}

std::string StringField(const json& object, const char* name) {
  const auto found = object.find(name);
  return found != object.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
}

std::optional<std::vector<digest>> ParseDigests(const std::string& body) {
  const json list = json::parse(body, nullptr, false);
  if (!list.is_array()) {
    return std::nullopt;
  }
  std::vector<digest> digests;
  for (const json& item : list) {
    const auto name = item.is_string()
                          ? digest::FromHex(item.get<std::string>())
                          : std::nullopt;
    if (name) {
      digests.push_back(*name);
    }
  }
  return digests;
}

std::string OrderBody(const orders::send_order& order,
                      const std::string& manifest) {
  const json body = {{"kind", "load"},
                     {"model", order.content.model.value()},
                     {"version", order.content.version.value()},
                     {"fence", order.fence},
                     {"manifest", manifest}};
  return body.dump();
}

}  // namespace

engine_client::engine_client(boost::asio::io_context& context,
                             http_endpoint engine)
    : client_(context),
      order_client_(context, SingleUseConnections()),
      engine_(std::move(engine)) {
  client_.set_body_limit(manifest_limits{}.max_chunk_size);
}

awaitable<result<orders::versioned_model>> engine_client::ReadState() {
  http_request request;
  request.target = kStatePath;
  const result<http_response> answered =
      co_await client_.Request(engine_, std::move(request), kStateTimeout);
  if (!IsOk(answered)) {
    co_return ErrorOf(answered);
  }
  const http_response& response = ValueOf(answered);
  const json state = json::parse(response.body, nullptr, false);
  if (response.status != 200 || !state.is_object()) {
    co_return InvalidResponse("GET /state", response.status);
  }
  orders::versioned_model content;
  content.model = model_name(StringField(state, "model"));
  content.version = model_version(StringField(state, "version"));
  co_return content;
}

awaitable<result<std::vector<digest>>> engine_client::ListChunks() {
  http_request request;
  request.target = kStagingPath;
  const result<http_response> answered =
      co_await client_.Request(engine_, std::move(request), kStagingTimeout);
  if (!IsOk(answered)) {
    co_return ErrorOf(answered);
  }
  const http_response& response = ValueOf(answered);
  std::optional<std::vector<digest>> digests = ParseDigests(response.body);
  if (response.status != 200 || !digests) {
    co_return InvalidResponse("GET /staging/chunks", response.status);
  }
  co_return std::move(*digests);
}

awaitable<result<std::string>> engine_client::ReadChunk(const digest& name) {
  http_request request;
  request.target = std::string(kStagingPath) + "/" + name.ToHex();
  result<http_response> answered =
      co_await client_.Request(engine_, std::move(request), kStagingTimeout);
  if (!IsOk(answered)) {
    co_return ErrorOf(answered);
  }
  http_response response = ValueOf(std::move(answered));
  if (response.status == 404) {
    error missing;
    missing.kind = error_kind::kNotFound;
    missing.detail = "the chunk is not staged";
    co_return missing;
  }
  if (response.status != 200) {
    co_return InvalidResponse("GET /staging/chunks", response.status);
  }
  co_return std::move(response.body);
}

awaitable<status> engine_client::StageChunk(const digest& name,
                                            const chunk_bytes& bytes) {
  http_request request;
  request.method = "PUT";
  request.target = std::string(kStagingPath) + "/" + name.ToHex();
  request.body = *bytes;
  const result<http_response> answered =
      co_await client_.Request(engine_, std::move(request), kStagingTimeout);
  if (!IsOk(answered)) {
    co_return ErrorOf(answered);
  }
  if (ValueOf(answered).status != 200) {
    co_return InvalidResponse("PUT /staging/chunks", ValueOf(answered).status);
  }
  co_return std::monostate();
}

awaitable<orders::order_answered> engine_client::Load(
    const orders::send_order& order,
    const std::string& manifest) {
  orders::order_answered answer;
  answer.order = order.order;
  const duration timeout = order.expiry - MonotonicNow() - kConnectAllowance;
  if (timeout <= duration::zero()) {
    answer.reason = "the order expired before it was sent";
    co_return answer;
  }
  http_request request;
  request.method = "POST";
  request.target = kOrdersPath;
  request.body = OrderBody(order, manifest);
  const result<http_response> answered =
      co_await order_client_.Request(engine_, std::move(request), timeout);
  if (!IsOk(answered)) {
    answer.reason = ErrorOf(answered).detail;
    co_return answer;
  }
  const http_response& response = ValueOf(answered);
  switch (response.status) {
    case 200:
      answer.result = orders::order_result::kOk;
      break;
    case kConflict:
      answer.result = orders::order_result::kStaleFence;
      break;
    case kUnprocessable:
      answer.result = orders::order_result::kCannotLoad;
      break;
    default:
      break;
  }
  if (answer.result != orders::order_result::kOk) {
    answer.reason = "status " + std::to_string(response.status) + ": " +
                    response.body.substr(0, kMaxReasonBytes);
  }
  co_return answer;
}

}  // namespace fireflyslip
