#include "program/upstream_call.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "fireflyslip/runtime/process_clock.h"

namespace fireflyslip {
namespace {

using boost::asio::awaitable;
using json = nlohmann::json;

constexpr char kCompletionsPath[] = "/v1/chat/completions";
constexpr char kEndOfStream[] = "[DONE]";
constexpr std::size_t kMaxEventBytes = 1UL << 20;
constexpr int kServiceUnavailable = 503;
constexpr int kConflict = 409;

std::string MakeStreamingBody(const std::string& body) {
  json request = json::parse(body, nullptr, false);
  if (request.is_object()) {
    request["stream"] = true;
  }
  return request.dump(-1, ' ', false, json::error_handler_t::replace);
}

model_version ParseVersion(const std::string& data) {
  const json part = json::parse(data, nullptr, false);
  const auto found =
      part.is_object() ? part.find("system_fingerprint") : part.end();
  if (!part.is_object() || found == part.end() || !found->is_string()) {
    return {};
  }
  return model_version(found->get<std::string>());
}

/// \brief Returns the time until the deadline, but at least 1 ms, because a run
/// may start at its deadline.
duration RemainingTime(time_point deadline) {
  return std::max<duration>(deadline - MonotonicNow(), milliseconds(1));
}

error DeadlineError() {
  return {error_kind::kOutcomeUnknown, "the deadline passed during the run"};
}

}  // namespace

upstream_call::upstream_call(http_client& client, http_endpoint upstream)
    : client_(client), upstream_(std::move(upstream)) {}

awaitable<result<upstream_result>> upstream_call::Run(
    const attempt_message& attempt,
    time_point deadline,
    const part_function& on_part) {
  if (attempt.model.empty()) {
    co_return co_await RunService(attempt, deadline);
  }
  co_return co_await RunModel(attempt, deadline, on_part);
}

void upstream_call::Cancel() {
  cancelled_ = true;
  if (reader_ != nullptr) {
    reader_->Cancel();
  }
}

awaitable<result<upstream_result>> upstream_call::RunModel(
    const attempt_message& attempt,
    time_point deadline,
    const part_function& on_part) {
  http_request request{"POST",
                       kCompletionsPath,
                       {{"Content-Type", "application/json"},
                        {"X-Request-Id", ToString(attempt.attempt.request)},
                        {"X-Priority", std::string(ToString(attempt.rank))}},
                       MakeStreamingBody(attempt.body)};
  if (attempt.resume_offset > 0) {
    request.fields.push_back(
        {"X-Resume-Offset", std::to_string(attempt.resume_offset)});
    request.fields.push_back(
        {"X-Resume-Version", attempt.resume_version.value()});
  }
  const duration open_timeout = RemainingTime(deadline);
  auto opened =
      co_await client_.Open(upstream_, std::move(request), open_timeout);
  if (!IsOk(opened)) {
    co_return ClassifyModelFailure(ErrorOf(opened), deadline);
  }
  reader_ = ValueOf(opened);
  const int http_status = reader_->head().status;
  if (http_status == kServiceUnavailable) {
    co_return error{error_kind::kOverloaded, "the engine refused the request"};
  }
  if (http_status == kConflict) {
    co_return error{error_kind::kVersionChanged,
                    "the engine serves another version"};
  }
  if (http_status != 200) {
    co_return error{
        error_kind::kUpstreamFailed,
        "the engine answered with status " + std::to_string(http_status)};
  }
  event_stream_parser parser;
  model_version version = attempt.resume_version;
  while (!cancelled_) {
    const duration timeout = RemainingTime(deadline);
    const result<std::string> bytes = co_await reader_->Read(timeout);
    if (!IsOk(bytes)) {
      co_return ClassifyModelFailure(ErrorOf(bytes), deadline);
    }
    if (ValueOf(bytes).empty()) {
      connection_lost_ = !cancelled_;
      co_return error{
          error_kind::kUpstreamFailed,
          "the engine closed the stream before the end of the answer"};
    }
    std::vector<std::string> events = parser.Feed(ValueOf(bytes));
    if (parser.partial_event_bytes() > kMaxEventBytes) {
      co_return RejectOversizeResponse(upstream_, response_part::kEvent,
                                       kMaxEventBytes);
    }
    for (std::string& data : events) {
      if (data == kEndOfStream) {
        co_return upstream_result{200, "text/event-stream", {}};
      }
      const model_version part_version = ParseVersion(data);
      if (part_version.empty() ||
          (!version.empty() && part_version != version)) {
        co_return error{error_kind::kVersionChanged,
                        "the engine changed versions during the answer"};
      }
      version = part_version;
      on_part(version, std::move(data));
    }
  }
  co_return error{error_kind::kUpstreamFailed, "cancelled"};
}

error upstream_call::ClassifyModelFailure(const error& failure,
                                          time_point deadline) {
  if (failure.kind == error_kind::kNoUpstream || cancelled_) {
    return failure;
  }
  if (MonotonicNow() >= deadline) {
    return DeadlineError();
  }
  connection_lost_ = true;
  return failure;
}

awaitable<result<upstream_result>> upstream_call::RunService(
    const attempt_message& attempt,
    time_point deadline) {
  http_request request{attempt.method, attempt.path, {}, attempt.body};
  if (!attempt.content_type.empty()) {
    request.fields.push_back({"Content-Type", attempt.content_type});
  }
  if (!attempt.key.empty()) {
    request.fields.push_back({"Idempotency-Key", attempt.key.value()});
  }
  const duration timeout = RemainingTime(deadline);
  auto answered =
      co_await client_.Request(upstream_, std::move(request), timeout);
  if (!IsOk(answered)) {
    if (ErrorOf(answered).kind != error_kind::kNoUpstream &&
        MonotonicNow() >= deadline) {
      co_return DeadlineError();
    }
    co_return ErrorOf(answered);
  }
  http_response response = ValueOf(std::move(answered));
  co_return upstream_result{response.status,
                            std::string(response.Field("Content-Type")),
                            std::move(response.body)};
}

}  // namespace fireflyslip
