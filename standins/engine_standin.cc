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
constexpr int kStatusClientClosedRequest = 499;

std::string ConcatenateMessages(const json& body) {
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

// Accepts a rank or a number. Lower values are scheduled first; the default is
// the index of `standard`.
std::int64_t ParsePriority(const std::string& text) {
  if (const auto rank = ParseRank(text)) {
    return static_cast<std::int64_t>(IndexOf(*rank));
  }
  std::int64_t value =
      static_cast<std::int64_t>(IndexOf(request_rank::kStandard));
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

std::string ServerSentEvent(const std::string& id,
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
    co_await HandleCompletion(request, exchange);
    co_return;
  }
  if (route == "POST /orders") {
    co_await HandleOrder(request, exchange);
    co_return;
  }
  if (const auto name = request.PathAfter("/staging/chunks/")) {
    response = HandleChunk(request, *name);
  } else if (route == "GET /staging/chunks") {
    json list = json::array();
    for (const auto& [digest_hex, bytes] : chunks_) {
      list.push_back(digest_hex);
    }
    response = JsonResponse(200, list);
  } else if (route == "GET /state") {
    response = ReportState();
  } else if (route.starts_with("POST /cancel/")) {
    response = CancelRequest(*request.PathAfter("/cancel/"));
  } else if (route == "GET /control/executions") {
    response = JsonResponse(200, executions_);
  } else if (route == "GET /control/orders") {
    response = JsonResponse(200, orders_);
  } else {
    response = ErrorResponse(404, "no such path");
  }
  co_await exchange.Send(std::move(response));
}

net::awaitable<void> engine_standin::HandleCompletion(
    const http_request& request,
    http_exchange& exchange) {
  const json body = json::parse(request.body);
  const auto executor = co_await net::this_coro::executor;
  const job_ptr request_job = std::make_shared<job>(executor);
  request_job->id = request.Header("x-request-id");
  request_job->model = body.at("model").get<std::string>();
  request_job->prompt = ConcatenateMessages(body);
  request_job->resume_version = request.Header("x-resume-version");
  request_job->max_tokens = body.value("max_tokens", kDefaultMaxTokens);
  request_job->offset =
      ParseNumber(request.Header("x-resume-offset")).value_or(0);
  request_job->offset = std::min(request_job->offset, request_job->max_tokens);
  request_job->stream = body.value("stream", false);
  request_job->queue_key = {ParsePriority(request.Header("x-priority")),
                            ++arrival_sequence_};
  if (request_job->prompt.find(kCrashMarker) != std::string::npos) {
    _exit(1);
  }
  if (!loading_) {
    if (auto error = CheckRequest(*request_job)) {
      co_await exchange.Send(std::move(*error));
      co_return;
    }
  }
  const auto entry = jobs_.emplace(request_job->id, request_job);
  exchange.OnDisconnect([request_job] {
    request_job->disconnected = true;
    request_job->timer.cancel();
  });
  co_await WaitForSlot(request_job);
  if (request_job->running) {
    if (auto error = CheckRequest(*request_job)) {
      ReleaseSlot(request_job);
      co_await exchange.Send(std::move(*error));
    } else {
      ++executions_[request_job->id];
      co_await Generate(request_job, exchange);
    }
  } else if (!request_job->disconnected) {
    co_await exchange.Send(
        ErrorResponse(kStatusClientClosedRequest, "cancelled"));
  }
  jobs_.erase(entry);
}

std::optional<http_response> engine_standin::CheckRequest(
    const job& request_job) const {
  if (version_.empty()) {
    return ErrorResponse(503, "no version is loaded");
  }
  if (request_job.model != model_) {
    return ErrorResponse(404, "another model is loaded");
  }
  if (!request_job.resume_version.empty() &&
      request_job.resume_version != version_) {
    return ErrorResponse(409, "another version is loaded");
  }
  return std::nullopt;
}

net::awaitable<void> engine_standin::WaitForSlot(job_ptr request_job) {
  constexpr auto kNoDeadline = std::chrono::hours(24 * 365);
  queue_.emplace(request_job->queue_key, request_job);
  queued_tokens_ += request_job->max_tokens - request_job->offset;
  RecordLoad();
  AssignSlots();
  while (!request_job->running && !request_job->is_aborted()) {
    request_job->timer.expires_at(clock::now() + kNoDeadline);
    co_await request_job->timer.async_wait(net::as_tuple(net::use_awaitable));
  }
  if (!request_job->running) {
    queue_.erase(request_job->queue_key);
    queued_tokens_ -= request_job->max_tokens - request_job->offset;
    RecordLoad();
  }
}

void engine_standin::AssignSlots() {
  while (!loading_ && running_ < options_.slots && !queue_.empty()) {
    const job_ptr next = queue_.begin()->second;
    queue_.erase(queue_.begin());
    queued_tokens_ -= next->max_tokens - next->offset;
    ++running_;
    next->running = true;
    next->version = version_;
    next->timer.cancel();
    RecordLoad();
  }
}

void engine_standin::ReleaseSlot(const job_ptr& request_job) {
  request_job->running = false;
  --running_;
  RecordLoad();
  load_changed_.NotifyAll();
  AssignSlots();
}

clock::time_point engine_standin::TokenDeadline(clock::time_point start,
                                                std::uint64_t tokens) const {
  const std::chrono::duration<double, std::milli> time(
      options_.token_ms * static_cast<double>(tokens));
  return start + std::chrono::duration_cast<clock::duration>(time);
}

net::awaitable<void> engine_standin::WaitForToken(job_ptr request_job,
                                                  clock::time_point deadline) {
  while (!request_job->is_aborted() && clock::now() < deadline) {
    request_job->timer.expires_at(deadline);
    co_await request_job->timer.async_wait(net::as_tuple(net::use_awaitable));
  }
}

net::awaitable<void> engine_standin::Generate(job_ptr request_job,
                                              http_exchange& exchange) {
  if (request_job->stream) {
    co_await GenerateStream(request_job, exchange);
    ReleaseSlot(request_job);
    co_return;
  }
  const std::uint64_t count = request_job->max_tokens - request_job->offset;
  co_await WaitForToken(request_job, TokenDeadline(clock::now(), count));
  ReleaseSlot(request_job);
  if (request_job->disconnected) {
    co_return;
  }
  if (request_job->cancelled) {
    co_await exchange.Send(
        ErrorResponse(kStatusClientClosedRequest, "cancelled"));
    co_return;
  }
  std::string text;
  for (std::uint64_t i = request_job->offset; i < request_job->max_tokens;
       ++i) {
    text += Token(request_job->prompt, i);
  }
  const std::uint64_t prompt_tokens = CountWords(request_job->prompt);
  const json answer = {
      {"id", "chatcmpl-" + request_job->id},
      {"object", "chat.completion"},
      {"created", 0},
      {"model", request_job->model},
      {"system_fingerprint", request_job->version},
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

net::awaitable<void> engine_standin::GenerateStream(job_ptr request_job,
                                                    http_exchange& exchange) {
  const std::string id = "chatcmpl-" + request_job->id;
  const clock::time_point start = clock::now();
  http_response head;
  head.content_type = "text/event-stream";
  head.headers["Cache-Control"] = "no-cache";
  bool open = co_await exchange.StartStream(std::move(head));
  std::string part;
  for (std::uint64_t i = request_job->offset;
       open && i < request_job->max_tokens; ++i) {
    co_await WaitForToken(request_job,
                          TokenDeadline(start, i - request_job->offset + 1));
    if (request_job->is_aborted()) {
      break;
    }
    json delta = {{"content", Token(request_job->prompt, i)}};
    if (i == request_job->offset) {
      delta["role"] = "assistant";
    }
    const json finish_reason =
        i + 1 == request_job->max_tokens ? json("length") : json();
    part = ServerSentEvent(id, request_job->model, request_job->version, delta,
                           finish_reason);
    open = co_await exchange.SendPart(part);
  }
  if (request_job->disconnected || !open) {
    exchange.Abort();
    co_return;
  }
  part.clear();
  if (request_job->cancelled ||
      request_job->offset == request_job->max_tokens) {
    part = ServerSentEvent(id, request_job->model, request_job->version,
                           json::object(),
                           request_job->cancelled ? "abort" : "length");
  }
  part += "data: [DONE]\n\n";
  co_await exchange.SendPart(part);
  co_await exchange.EndStream();
}

http_response engine_standin::CancelRequest(const std::string& id) {
  const auto [first, last] = jobs_.equal_range(id);
  for (auto it = first; it != last; ++it) {
    it->second->cancelled = true;
    it->second->timer.cancel();
  }
  return first == last ? ErrorResponse(404, "no such request")
                       : JsonResponse(200, json::object());
}

http_response engine_standin::HandleChunk(const http_request& request,
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

net::awaitable<void> engine_standin::HandleOrder(const http_request& request,
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

bool engine_standin::IsStaleFence(std::uint64_t fence) const {
  return options_.check_fencing && fence < highest_fence_;
}

net::awaitable<http_response> engine_standin::Load(json order) {
  const std::uint64_t fence = order.value("fence", 0ULL);
  if (!IsStaleFence(fence)) {
    highest_fence_ = std::max(highest_fence_, fence);
    while (loading_) {
      co_await load_changed_.Wait();
    }
  }
  // An order with a higher token may have arrived while this one waited for a
  // load in progress.
  if (IsStaleFence(fence)) {
    co_return ErrorResponse(409, "stale fencing token");
  }
  if (auto error = CheckLoadOrder(order)) {
    co_return std::move(*error);
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
  AssignSlots();
  http_response response =
      JsonResponse(200, {{"model", model_}, {"version", version_}});
  co_return response;
}

std::optional<http_response> engine_standin::CheckLoadOrder(
    const json& order) const {
  // The manifest is an object or the original text, which matches the declared
  // digest.
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
  load_samples_.push_back({now, running_, queued_tokens_});
  while (load_samples_.size() > 1 && load_samples_[1].time <= oldest) {
    load_samples_.pop_front();
  }
}

http_response engine_standin::ReportState() {
  constexpr double kMillisecondsPerSecond = 1000;
  // Keeps the reported rate finite if `token_ms` is 0.
  constexpr double kMinTokenMs = 0.001;
  RecordLoad();
  const clock::time_point oldest =
      clock::now() - std::chrono::milliseconds(options_.load_lag_ms);
  load_sample reported;
  if (load_samples_.front().time <= oldest) {
    reported = load_samples_.front();
  }
  return JsonResponse(
      200, {{"model", model_},
            {"version", version_},
            {"running", reported.running},
            {"queued_tokens", reported.queued_tokens},
            {"tokens_per_second",
             static_cast<double>(options_.slots) * kMillisecondsPerSecond /
                 std::max(options_.token_ms, kMinTokenMs)}});
}

}  // namespace fireflyslip::standins
