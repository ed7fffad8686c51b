#include "stager/chunk_server.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <optional>
#include <utility>

#include "fireflyslip/runtime/process_clock.h"

namespace fireflyslip {
namespace {

using boost::asio::awaitable;

constexpr std::string_view kChunkPrefix = "/chunks/";
constexpr std::string_view kManifestPrefix = "/manifests/";
constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusBusy = 503;
constexpr std::string_view kNonBlockingQuery = "?wait=0";
/// Longest wait of a request for a chunk that is not available yet; avoids
/// immediate retries of the peer.
constexpr milliseconds kMaxChunkWait{1200};
/// Longest wait of a request for a manifest that is not available yet.
constexpr milliseconds kMaxManifestWait{500};
/// Longest wait for the link; beyond it the peer should request the chunk
/// elsewhere. The sum of both waits is below the timeout of the peer.
constexpr milliseconds kMaxLinkWait{800};

struct chunk_key {
  std::uint64_t version = 0;
  std::size_t index = 0;
};

template <typename Number>
bool ConsumeNumber(std::string_view& text, Number& value) {
  const auto [end, code] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (code != std::errc()) {
    return false;
  }
  text.remove_prefix(static_cast<std::size_t>(end - text.data()));
  return true;
}

std::optional<chunk_key> ParseChunkPath(std::string_view path) {
  if (!path.starts_with(kChunkPrefix)) {
    return std::nullopt;
  }
  path.remove_prefix(kChunkPrefix.size());
  chunk_key key;
  if (!ConsumeNumber(path, key.version) || !path.starts_with('/')) {
    return std::nullopt;
  }
  path.remove_prefix(1);
  if (!ConsumeNumber(path, key.index) || !path.empty()) {
    return std::nullopt;
  }
  return key;
}

std::optional<std::uint64_t> ParseManifestPath(std::string_view path) {
  std::uint64_t version = 0;
  if (!path.starts_with(kManifestPrefix)) {
    return std::nullopt;
  }
  path.remove_prefix(kManifestPrefix.size());
  if (!ConsumeNumber(path, version) || !path.empty()) {
    return std::nullopt;
  }
  return version;
}

}  // namespace

std::string ChunkTarget(std::uint64_t version,
                        std::size_t index,
                        bool blocking) {
  return std::string(kChunkPrefix) + std::to_string(version) + "/" +
         std::to_string(index) + std::string(blocking ? "" : kNonBlockingQuery);
}

std::optional<duration> ParseOverdue(std::string_view value) {
  std::int64_t count = 0;
  if (!ConsumeNumber(value, count) || !value.empty()) {
    return std::nullopt;
  }
  return milliseconds(count);
}

std::string ManifestPath(std::uint64_t version) {
  return std::string(kManifestPrefix) + std::to_string(version);
}

std::optional<std::vector<digest>> ParseManifestText(std::string_view text) {
  std::vector<digest> digests;
  while (!text.empty()) {
    const std::string_view line = text.substr(0, text.find('\n'));
    text.remove_prefix(std::min(text.size(), line.size() + 1));
    const std::optional<digest> chunk_digest = digest::FromHex(line);
    if (!chunk_digest) {
      return std::nullopt;
    }
    digests.push_back(*chunk_digest);
  }
  if (digests.empty()) {
    return std::nullopt;
  }
  return digests;
}

chunk_server::chunk_server(boost::asio::io_context& context,
                           const chunk_store& chunks,
                           const model_name& model,
                           double bytes_per_second,
                           overdue_query overdue)
    : context_(context),
      chunks_(chunks),
      model_(model),
      overdue_(std::move(overdue)),
      pacer_(bytes_per_second),
      server_(context,
              BodilessRequestLimits(),
              [this](http_request request, response_writer& writer) {
                return Serve(std::move(request), writer);
              }) {}

result<unsigned short> chunk_server::Listen(const http_endpoint& endpoint) {
  return server_.Listen(endpoint);
}

void chunk_server::NotifyAvailable(std::size_t chunk) {
  const auto [first, last] = waiters_.equal_range(chunk);
  for (auto it = first; it != last; ++it) {
    it->second->cancel();
  }
}

void chunk_server::NotifyVersionChanged() {
  pacer_.Clear();
  for (const auto& [chunk, timer] : waiters_) {
    timer->cancel();
  }
  for (boost::asio::steady_timer* timer : version_waiters_) {
    timer->cancel();
  }
}

awaitable<void> chunk_server::Serve(http_request request,
                                    response_writer& writer) {
  const std::optional<chunk_key> key = ParseChunkPath(request.path());
  http_response response;
  response.status = kStatusNotFound;
  // While the own model is unknown, requests wait for it with the version.
  const std::string_view wanted = request.Field(kModelField);
  const auto is_own_model = [&] {
    return wanted.empty() || model_.empty() || wanted == model_.value();
  };
  if (const auto version = ParseManifestPath(request.path())) {
    if (is_own_model()) {
      co_await AwaitVersion(*version);
    }
    if (is_own_model() && chunks_.version() == *version) {
      response.status = kStatusOk;
      for (const digest& chunk_digest : chunks_.digests()) {
        response.body += chunk_digest.ToHex() + "\n";
      }
    }
    co_await writer.Send(std::move(response));
    co_return;
  }
  const bool blocking =
      !std::string_view(request.target).ends_with(kNonBlockingQuery);
  const time_point wait_deadline = MonotonicNow() + kMaxChunkWait;
  while (key && is_own_model() && MonotonicNow() < wait_deadline &&
         chunks_.version() <= key->version) {
    const auto bytes =
        chunks_.version() == key->version ? chunks_.Get(key->index) : nullptr;
    if (bytes) {
      const bool paced = co_await Pace(bytes->size());
      if (!paced) {
        response.status = kStatusBusy;
      } else if (chunks_.version() == key->version) {
        response.status = kStatusOk;
        response.body = *bytes;
      }
      break;
    }
    if (!blocking) {
      break;
    }
    boost::asio::steady_timer timer(context_, wait_deadline - MonotonicNow());
    const auto waiter = waiters_.emplace(key->index, &timer);
    boost::system::error_code ignored;
    co_await timer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    waiters_.erase(waiter);
  }
  if (key && is_own_model() && response.status == kStatusNotFound) {
    if (const auto overdue = overdue_(key->version, key->index)) {
      const auto rounded =
          std::chrono::duration_cast<std::chrono::milliseconds>(*overdue);
      response.fields.push_back(
          {kOverdueField, std::to_string(rounded.count())});
    }
  }
  const time_point send_start = MonotonicNow();
  const std::size_t size = response.body.size();
  co_await writer.Send(std::move(response));
  if (size > 0) {
    pacer_.Observe(size, MonotonicNow() - send_start);
  }
}

awaitable<void> chunk_server::AwaitVersion(std::uint64_t version) {
  const time_point wait_deadline = MonotonicNow() + kMaxManifestWait;
  while (chunks_.version() < version && MonotonicNow() < wait_deadline) {
    boost::asio::steady_timer timer(context_, wait_deadline - MonotonicNow());
    version_waiters_.insert(&timer);
    boost::system::error_code ignored;
    co_await timer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    version_waiters_.erase(&timer);
  }
}

awaitable<bool> chunk_server::Pace(std::size_t bytes) {
  const time_point now = MonotonicNow();
  const auto send_start = pacer_.Reserve(bytes, now, kMaxLinkWait);
  if (!send_start) {
    co_return false;
  }
  boost::asio::steady_timer timer(context_, *send_start - now);
  boost::system::error_code ignored;
  co_await timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  co_return true;
}

}  // namespace fireflyslip
