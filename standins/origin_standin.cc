#include "standins/origin_standin.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

#include "fireflyslip/core/digest.h"
#include "standins/async_condition.h"

namespace fireflyslip::standins {
namespace net = boost::asio;
using clock = std::chrono::steady_clock;

std::string origin_standin::AddModel(model_description description) {
  const auto model =
      std::make_shared<const synthetic_model>(std::move(description));
  manifests_[model->description().name + '/' + model->description().version] =
      model;
  for (std::size_t i = 0; i < model->chunk_digests().size(); ++i) {
    chunks_[model->chunk_digests()[i]] = {model, i};
  }
  return digest::Of(model->manifest()).ToHex();
}

net::awaitable<void> origin_standin::Handle(const http_request& request,
                                            http_exchange& exchange) {
  constexpr std::string_view kManifest = "/manifest";
  if (request.path.starts_with("/control")) {
    co_await exchange.Send(HandleControl(request));
    co_return;
  }
  const auto chunk = request.PathAfter("/chunks/");
  if (request.method == "GET" && chunk) {
    co_await SendChunk(*chunk, exchange);
    co_return;
  }
  std::string model = request.PathAfter("/models/").value_or("");
  if (request.method == "GET" && model.ends_with(kManifest)) {
    model.resize(model.size() - kManifest.size());
    const auto found = manifests_.find(model);
    if (found != manifests_.end()) {
      ++manifest_requests_;
      co_await SendBytes(found->second->manifest(), "application/json", false,
                         exchange);
      co_return;
    }
  }
  co_await exchange.Send(ErrorResponse(404, "no such path"));
}

net::awaitable<void> origin_standin::SendChunk(const std::string& name,
                                               http_exchange& exchange) {
  const auto found = chunks_.find(name);
  if (found == chunks_.end()) {
    co_await exchange.Send(ErrorResponse(404, "no such chunk"));
    co_return;
  }
  ++chunk_requests_;
  std::string bytes = found->second.first->Chunk(found->second.second);
  if (corrupt_next_ > 0) {
    --corrupt_next_;
    char& middle = bytes[bytes.size() / 2];
    middle = static_cast<char>(~middle);
  }
  const bool stall = stall_next_ > 0;
  if (stall) {
    --stall_next_;
  }
  co_await SendBytes(std::move(bytes), "application/octet-stream", stall,
                     exchange);
}

net::awaitable<void> origin_standin::SendBytes(std::string bytes,
                                               std::string content_type,
                                               bool stall,
                                               http_exchange& exchange) {
  // Concurrent responses share the rate limit in slices of this size.
  constexpr std::size_t kSliceBytes = 16 << 10;
  // Burst allowance of the rate limiter, so that late timers do not lower the
  // rate.
  constexpr auto kMaxBurst = std::chrono::milliseconds(20);
  http_response head;
  head.content_type = std::move(content_type);
  bool open = co_await exchange.StartStream(std::move(head), bytes.size());
  std::string_view remaining = bytes;
  if (stall) {
    remaining = remaining.substr(0, remaining.size() / 2);
  }
  while (open && !remaining.empty()) {
    const std::string_view slice = remaining.substr(0, kSliceBytes);
    remaining.remove_prefix(slice.size());
    if (bytes_per_second_ > 0) {
      const std::chrono::duration<double> time(
          static_cast<double>(slice.size()) /
          static_cast<double>(bytes_per_second_));
      link_available_at_ =
          std::max(link_available_at_, clock::now() - kMaxBurst) +
          std::chrono::duration_cast<clock::duration>(time);
      const clock::time_point send_time = link_available_at_;
      if (send_time > clock::now()) {
        co_await SleepUntil(send_time);
      }
    }
    open = co_await exchange.SendPart(slice);
    bytes_sent_ += open ? slice.size() : 0;
  }
  if (stall && open) {
    exchange.Hang();
  } else if (open) {
    co_await exchange.EndStream();
  }
}

http_response origin_standin::HandleControl(const http_request& request) {
  const std::string route = request.method + ' ' + request.path;
  if (route == "GET /control/counters") {
    return JsonResponse(200, {{"bytes_sent", bytes_sent_},
                              {"chunk_requests", chunk_requests_},
                              {"manifest_requests", manifest_requests_}});
  }
  if (route == "POST /control") {
    const nlohmann::json body = nlohmann::json::parse(request.body);
    corrupt_next_ = body.value("corrupt_next", corrupt_next_);
    stall_next_ = body.value("stall_next", stall_next_);
    bytes_per_second_ = body.value("bytes_per_second", bytes_per_second_);
    return JsonResponse(200, {{"corrupt_next", corrupt_next_},
                              {"stall_next", stall_next_},
                              {"bytes_per_second", bytes_per_second_}});
  }
  if (route == "POST /control/models") {
    const nlohmann::json body = nlohmann::json::parse(request.body);
    model_description model;
    model.name = body.at("name").get<std::string>();
    model.version = body.at("version").get<std::string>();
    model.size = body.at("size").get<std::uint64_t>();
    model.chunk_size = body.at("chunk_size").get<std::uint64_t>();
    model.shared_fraction = body.value("shared_fraction", 0.0);
    const std::string manifest = AddModel(std::move(model));
    return JsonResponse(200, {{"manifest_digest", manifest}});
  }
  return ErrorResponse(404, "no such control");
}

}  // namespace fireflyslip::standins
