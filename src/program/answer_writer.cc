#include "program/answer_writer.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace fireflyslip {
namespace {

using boost::asio::awaitable;
using json = nlohmann::json;

constexpr char kRequestIdHeader[] = "X-Request-Id";
constexpr char kEndOfStream[] = "[DONE]";

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string StringAt(const json& value, const json::json_pointer& path) {
  return value.contains(path) && value[path].is_string()
             ? value[path].get<std::string>()
             : std::string();
}

// The responses are built outside of the coroutines, because g++ 12 cannot
// compile initializer lists within them.

http_response MakeStreamHead(const request_context& context) {
  return {200,
          {{"Content-Type", "text/event-stream"},
           {"Cache-Control", "no-cache"},
           {kRequestIdHeader, ToString(context.id)}},
          {}};
}

http_response MakeEmptyStream() {
  return {
      200, {{"Content-Type", "text/event-stream"}}, FormatEvent(kEndOfStream)};
}

http_response MakeResponse(const request_context& context,
                           int http_status,
                           std::string content_type,
                           std::string body) {
  return {http_status,
          {{"Content-Type", std::move(content_type)},
           {kOutcomeHeader, std::string(ToString(outcome::kCompleted))},
           {kRequestIdHeader, ToString(context.id)}},
          std::move(body)};
}

}  // namespace

answer_writer::answer_writer(request_context& context, response_writer& writer)
    : context_(context), writer_(writer) {}

awaitable<bool> answer_writer::WritePart(const std::string& data) {
  if (context_.streaming) {
    if (!context_.response_started) {
      context_.response_started = true;
      const bool begun = co_await writer_.Begin(MakeStreamHead(context_));
      if (!begun) {
        co_return false;
      }
    }
    co_return co_await writer_.Write(FormatEvent(data));
  }
  if (context_.model.empty()) {
    body_ += data;
    co_return true;
  }
  AppendToCompletion(data);
  co_return true;
}

void answer_writer::Restart() {
  body_.clear();
  version_.clear();
  completion_id_.clear();
}

void answer_writer::AppendToCompletion(const std::string& data) {
  const json part = json::parse(data, nullptr, false);
  body_ += StringAt(part, json::json_pointer("/choices/0/delta/content"));
  version_ = StringAt(part, json::json_pointer("/system_fingerprint"));
  completion_id_ = StringAt(part, json::json_pointer("/id"));
}

std::string answer_writer::MakeCompletion() const {
  const json completion = {
      {"id", completion_id_},
      {"object", "chat.completion"},
      {"model", context_.model.value()},
      {"system_fingerprint", version_},
      {"choices",
       {{{"index", 0},
         {"message", {{"role", "assistant"}, {"content", body_}}},
         {"finish_reason", "stop"}}}},
      {"usage", {{"completion_tokens", context_.parts}}},
  };
  return Dump(completion);
}

awaitable<bool> answer_writer::Finish(int http_status,
                                      const std::string& content_type) {
  if (!context_.streaming) {
    http_response response =
        context_.model.empty()
            ? MakeResponse(context_, http_status, content_type,
                           std::move(body_))
            : MakeResponse(context_, http_status, "application/json",
                           MakeCompletion());
    co_return co_await writer_.Send(std::move(response));
  }
  if (!context_.response_started) {
    co_return co_await writer_.Send(MakeEmptyStream());
  }
  const bool written = co_await writer_.Write(FormatEvent(kEndOfStream));
  co_return written&& co_await writer_.End();
}

awaitable<void> answer_writer::Fail(const error& problem) {
  http_response response =
      ProblemResponse(problem, context_.retry_after, context_.known_outcome);
  if (context_.response_started) {
    co_await writer_.Write("event: error\n" + FormatEvent(response.body));
    writer_.Abort();
    co_return;
  }
  http_field request_id{kRequestIdHeader, ToString(context_.id)};
  response.fields.push_back(std::move(request_id));
  co_await writer_.Send(std::move(response));
}

}  // namespace fireflyslip
