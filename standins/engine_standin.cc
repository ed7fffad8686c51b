#include "standins/engine_standin.h"

#include <unistd.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>

#include "fireflyslip/core/digest.h"
#include "fireflyslip/core/rank.h"

namespace fireflyslip::standins {
namespace net = boost::asio;
using clock = std::chrono::steady_clock;
using nlohmann::json;
namespace {

constexpr std::string_view kCrashMarker = "CRASH-ENGINE";
constexpr std::uint64_t kDefaultMaxTokens = 16;
constexpr int kClientClosedRequest = 499;

std::string PromptOf(const json& body) {
  std::string prompt;
  for (const json& message : body.at("messages")) {
    const json& content = message.at("content");
    prompt += content.is_string() ? content.get<std::string>() : content.dump();
    prompt += '\n';
  }
  return prompt;
}

std::uint64_t CountWords(const std::string& text) {
  std::uint64_t words = 0;
  bool in_word = false;
  for (const char letter : text) {
    const bool is_space = letter == ' ' || letter == '\n';
    words += !is_space && !in_word ? 1 : 0;
    in_word = !is_space;
  }
  return words;
}

// Lower values run first, as the index of a rank; `standard` is the default.
std::int64_t ParsePriority(const std::string& text) {
  if (const auto rank = ParseRank(text)) {
    return static_cast<std::int64_t>(IndexOf(*rank));
  }
  std::int64_t value =
      static_cast<std::int64_t>(IndexOf(request_rank::kStandard));
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

std::string StreamPart(const std::string& id,
                       const std::string& model,
                       const std::string& version,
                       const json& delta,
                       const json& finish_reason) {
  const json part = {
      {"id", id},
      {"object", "chat.completion.chunk"},
      {"created", 0},
      {"model", model},
      {"system_fingerprint", version},
      {"choices",
       {{{"index", 0}, {"delta", delta}, {"finish_reason", finish_reason}}}}};
  return "data: " + part.dump() + "\n\n";
}

}  // namespace

engine_standin::engine_standin(engine_options options)
    : options_(std::move(options)),
      model_(options_.model),
      version_(options_.version) {}

std::string engine_standin::Token(const std::string& prompt,
                                  std::uint64_t index) {
  constexpr std::size_t kHashDigits = 6;
  return (index == 0 ? "w" : " w") + std::to_string(index) + "-" +
         digest::Of(prompt).ToHex().substr(0, kHashDigits);
}

net::awaitable<void> engine_standin::Handle(const http_request& request,
                                            http_exchange& exchange) {
  const std::string route = request.method + ' ' + request.path;
  http_response response;
  if (route == "POST /v1/chat/completions") {
    co_await Complete(request, exchange);
    co_return;
  }
  if (route == "POST /orders") {
    co_await Order(request, exchange);
    co_return;
  }
  if (const auto name = request.PathAfter("/staging/chunks/")) {
    response = Stage(request, *name);
  } else if (route == "GET /staging/chunks") {
    json list = json::array();
    for (const auto& [digest_hex, bytes] : chunks_) {
      list.push_back(digest_hex);
    }
    response = JsonResponse(200, list);
  } else if (route == "GET /state") {
    response = State();
  } else if (route.starts_with("POST /cancel/")) {
    response = Cancel(*request.PathAfter("/cancel/"));
  } else if (route == "GET /control/executions") {
    response = JsonResponse(200, executions_);
  } else if (route == "GET /control/orders") {
    response = JsonResponse(200, orders_);
  } else {
    response = ErrorResponse(404, "no such path");
  }
  co_await exchange.Send(std::move(response));
}

net::awaitable<void> engine_standin::Complete(const http_request& request,
                                              http_exchange& exchange) {
  const json body = json::parse(request.body);
  const auto executor = co_await net::this_coro::executor;
  const job_ptr work = std::make_shared<job>(executor);
  work->id = request.Header("x-request-id");
  work->model = body.at("model").get<std::string>();
  work->prompt = PromptOf(body);
  work->resume_version = request.Header("x-resume-version");
  work->max_tokens = body.value("max_tokens", kDefaultMaxTokens);
  work->offset = ParseNumber(request.Header("x-resume-offset")).value_or(0);
  work->offset = std::min(work->offset, work->max_tokens);
  work->stream = body.value("stream", false);
  work->position = {ParsePriority(request.Header("x-priority")), ++arrivals_};
  if (work->prompt.find(kCrashMarker) != std::string::npos) {
    _exit(1);
  }
  if (!loading_) {
    if (auto refusal = Refusal(*work)) {
      co_await exchange.Send(std::move(*refusal));
      co_return;
    }
  }
  const auto entry = jobs_.emplace(work->id, work);
  exchange.OnDisconnect([work] {
    work->disconnected = true;
    work->timer.cancel();
  });
  co_await WaitForSlot(work);
  if (work->running) {
    if (auto refusal = Refusal(*work)) {
      Release(work);
      co_await exchange.Send(std::move(*refusal));
    } else {
      ++executions_[work->id];
      co_await Run(work, exchange);
    }
  } else if (!work->disconnected) {
    co_await exchange.Send(ErrorResponse(kClientClosedRequest, "cancelled"));
  }
  jobs_.erase(entry);
}

std::optional<http_response> engine_standin::Refusal(const job& work) const {
  if (version_.empty()) {
    return ErrorResponse(503, "no version is loaded");
  }
  if (work.model != model_) {
    return ErrorResponse(404, "another model is loaded");
  }
  if (!work.resume_version.empty() && work.resume_version != version_) {
    return ErrorResponse(409, "another version is loaded");
  }
  return std::nullopt;
}

net::awaitable<void> engine_standin::WaitForSlot(job_ptr work) {
  constexpr auto kLongWait = std::chrono::hours(24 * 365);
  waiting_.emplace(work->position, work);
  queued_tokens_ += work->max_tokens - work->offset;
  RecordLoad();
  Dispatch();
  while (!work->running && !work->is_ended()) {
    work->timer.expires_at(clock::now() + kLongWait);
    co_await work->timer.async_wait(net::as_tuple(net::use_awaitable));
  }
  if (!work->running) {
    waiting_.erase(work->position);
    queued_tokens_ -= work->max_tokens - work->offset;
    RecordLoad();
  }
}

void engine_standin::Dispatch() {
  while (!loading_ && running_ < options_.slots && !waiting_.empty()) {
    const job_ptr next = waiting_.begin()->second;
    waiting_.erase(waiting_.begin());
    queued_tokens_ -= next->max_tokens - next->offset;
    ++running_;
    next->running = true;
    next->version = version_;
    next->timer.cancel();
    RecordLoad();
  }
}

void engine_standin::Release(const job_ptr& work) {
  work->running = false;
  --running_;
  RecordLoad();
  load_changed_.NotifyAll();
  Dispatch();
}

clock::time_point engine_standin::Due(clock::time_point start,
                                      std::uint64_t tokens) const {
  const std::chrono::duration<double, std::milli> time(
      options_.token_ms * static_cast<double>(tokens));
  return start + std::chrono::duration_cast<clock::duration>(time);
}

net::awaitable<void> engine_standin::WaitForToken(job_ptr work,
                                                  clock::time_point due) {
  while (!work->is_ended() && clock::now() < due) {
    work->timer.expires_at(due);
    co_await work->timer.async_wait(net::as_tuple(net::use_awaitable));
  }
}

net::awaitable<void> engine_standin::Run(job_ptr work,
                                         http_exchange& exchange) {
  if (work->stream) {
    co_await RunStream(work, exchange);
    Release(work);
    co_return;
  }
  const std::uint64_t count = work->max_tokens - work->offset;
  co_await WaitForToken(work, Due(clock::now(), count));
  Release(work);
  if (work->disconnected) {
    co_return;
  }
  if (work->cancelled) {
    co_await exchange.Send(ErrorResponse(kClientClosedRequest, "cancelled"));
    co_return;
  }
  std::string text;
  for (std::uint64_t i = work->offset; i < work->max_tokens; ++i) {
    text += Token(work->prompt, i);
  }
  const std::uint64_t prompt_tokens = CountWords(work->prompt);
  const json answer = {
      {"id", "chatcmpl-" + work->id},
      {"object", "chat.completion"},
      {"created", 0},
      {"model", work->model},
      {"system_fingerprint", work->version},
      {"choices",
       {{{"index", 0},
         {"message", {{"role", "assistant"}, {"content", text}}},
         {"finish_reason", "length"}}}},
      {"usage",
       {{"prompt_tokens", prompt_tokens},
        {"completion_tokens", count},
        {"total_tokens", prompt_tokens + count}}}};
  co_await exchange.Send(JsonResponse(200, answer));
}

net::awaitable<void> engine_standin::RunStream(job_ptr work,
                                               http_exchange& exchange) {
  const std::string id = "chatcmpl-" + work->id;
  const clock::time_point start = clock::now();
  http_response head;
  head.content_type = "text/event-stream";
  head.headers["Cache-Control"] = "no-cache";
  bool open = co_await exchange.StartStream(std::move(head));
  std::string part;
  for (std::uint64_t i = work->offset; open && i < work->max_tokens; ++i) {
    co_await WaitForToken(work, Due(start, i - work->offset + 1));
    if (work->is_ended()) {
      break;
    }
    json delta = {{"content", Token(work->prompt, i)}};
    if (i == work->offset) {
      delta["role"] = "assistant";
    }
    const json finish_reason =
        i + 1 == work->max_tokens ? json("length") : json();
    part = StreamPart(id, work->model, work->version, delta, finish_reason);
    open = co_await exchange.SendPart(part);
  }
  if (work->disconnected || !open) {
    exchange.Drop();
    co_return;
  }
  part.clear();
  if (work->cancelled || work->offset == work->max_tokens) {
    part = StreamPart(id, work->model, work->version, json::object(),
                      work->cancelled ? "abort" : "length");
  }
  part += "data: [DONE]\n\n";
  co_await exchange.SendPart(part);
  co_await exchange.EndStream();
}

http_response engine_standin::Cancel(const std::string& id) {
  const auto [first, last] = jobs_.equal_range(id);
  for (auto it = first; it != last; ++it) {
    it->second->cancelled = true;
    it->second->timer.cancel();
  }
  return first == last ? ErrorResponse(404, "no such request")
                       : JsonResponse(200, json::object());
}

http_response engine_standin::Stage(const http_request& request,
                                    const std::string& name) {
  const auto expected = digest::FromHex(name);
  if (!expected) {
    return ErrorResponse(400, "not a SHA-256 digest");
  }
  if (request.method == "PUT") {
    if (digest::Of(request.body) != *expected) {
      return ErrorResponse(422, "the bytes have another digest");
    }
    chunks_[name] = request.body;
    return JsonResponse(200, json::object());
  }
  const auto found = chunks_.find(name);
  if (request.method != "GET" || found == chunks_.end()) {
    return ErrorResponse(404, "no such chunk");
  }
  http_response response;
  response.content_type = "application/octet-stream";
  response.body = found->second;
  return response;
}

net::awaitable<void> engine_standin::Order(const http_request& request,
                                           http_exchange& exchange) {
  json order = json::parse(request.body);
  const std::size_t index = orders_.size();
  orders_.push_back({{"kind", order.value("kind", "")},
                     {"model", order.value("model", "")},
                     {"version", order.value("version", "")},
                     {"fence", order.value("fence", 0ULL)},
                     {"answer", nullptr}});
  http_response response;
  if (order.value("kind", "") == "load") {
    response = co_await Load(std::move(order));
  } else {
    response = ErrorResponse(400, "unknown kind of order");
  }
  orders_[index]["answer"] = response.status;
  co_await exchange.Send(std::move(response));
}

bool engine_standin::IsStale(std::uint64_t fence) const {
  return options_.check_fencing && fence < highest_fence_;
}

net::awaitable<http_response> engine_standin::Load(json order) {
  const std::uint64_t fence = order.value("fence", 0ULL);
  if (!IsStale(fence)) {
    highest_fence_ = std::max(highest_fence_, fence);
    while (loading_) {
      co_await load_changed_.Wait();
    }
  }
  // A higher token may have arrived while this order waited for another one.
  if (IsStale(fence)) {
    co_return ErrorResponse(409, "stale fencing token");
  }
  if (auto refusal = LoadRefusal(order)) {
    co_return std::move(*refusal);
  }
  loading_ = true;
  while (running_ > 0) {
    co_await load_changed_.Wait();
  }
  if (options_.load_ms > 0) {
    co_await SleepUntil(clock::now() +
                        std::chrono::milliseconds(options_.load_ms));
  }
  model_ = order.at("model").get<std::string>();
  version_ = order.at("version").get<std::string>();
  loading_ = false;
  load_changed_.NotifyAll();
  Dispatch();
  http_response response =
      JsonResponse(200, {{"model", model_}, {"version", version_}});
  co_return response;
}

std::optional<http_response> engine_standin::LoadRefusal(
    const json& order) const {
  // The manifest may come as the original text, whose digest is declared.
  const json& field = order.at("manifest");
  const json manifest =
      field.is_string() ? json::parse(field.get<std::string>()) : field;
  const json& version = order.at("version");
  if (!options_.refused_version.empty() &&
      version == options_.refused_version) {
    return ErrorResponse(422, "the version cannot be loaded");
  }
  if (manifest.at("model") != order.at("model") ||
      manifest.at("version") != version) {
    return ErrorResponse(422, "the manifest is of another version");
  }
  std::uint64_t size = 0;
  for (const json& chunk : manifest.at("chunks")) {
    const auto staged = chunks_.find(chunk.at("digest").get<std::string>());
    if (staged == chunks_.end() || chunk.at("size") != staged->second.size()) {
      return ErrorResponse(422, "a chunk is not staged");
    }
    size += staged->second.size();
  }
  if (manifest.at("size") != size) {
    return ErrorResponse(422, "the manifest has another size");
  }
  return std::nullopt;
}

void engine_standin::RecordLoad() {
  const clock::time_point now = clock::now();
  const clock::time_point oldest =
      now - std::chrono::milliseconds(options_.load_lag_ms);
  samples_.push_back({now, running_, queued_tokens_});
  while (samples_.size() > 1 && samples_[1].time <= oldest) {
    samples_.pop_front();
  }
}

http_response engine_standin::State() {
  constexpr double kMillisecondsPerSecond = 1000;
  // Keeps the rate finite for an engine that generates without delay.
  constexpr double kLeastTokenMs = 0.001;
  RecordLoad();
  const clock::time_point oldest =
      clock::now() - std::chrono::milliseconds(options_.load_lag_ms);
  load_sample reported;
  if (samples_.front().time <= oldest) {
    reported = samples_.front();
  }
  return JsonResponse(
      200, {{"model", model_},
            {"version", version_},
            {"running", reported.running},
            {"queued_tokens", reported.queued_tokens},
            {"tokens_per_second",
             static_cast<double>(options_.slots) * kMillisecondsPerSecond /
                 std::max(options_.token_ms, kLeastTokenMs)}});
}

}  // namespace fireflyslip::standins
