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

constexpr std::string_view kPrefix = "/chunks/";
constexpr std::string_view kManifestPrefix = "/manifests/";
constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusBusy = 503;
constexpr std::string_view kNoWaitQuery = "?wait=0";
/// A request for a chunk that is not here yet is answered after this time, so
/// that it need not be repeated at once.
constexpr milliseconds kLongestWait{1200};
/// Chunks that wait for the link longer than this are better had elsewhere.
/// With the wait above it stays below the time-out of the peer.
constexpr milliseconds kLongestQueue{800};

struct chunk_name {
  std::uint64_t version = 0;
  std::size_t index = 0;
};

template <typename Number>
bool Take(std::string_view& text, Number& value) {
  const auto [end, code] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (code != std::errc()) {
    return false;
  }
  text.remove_prefix(static_cast<std::size_t>(end - text.data()));
  return true;
}

std::optional<chunk_name> ParsePath(std::string_view path) {
  if (!path.starts_with(kPrefix)) {
    return std::nullopt;
  }
  path.remove_prefix(kPrefix.size());
  chunk_name name;
  if (!Take(path, name.version) || !path.starts_with('/')) {
    return std::nullopt;
  }
  path.remove_prefix(1);
  if (!Take(path, name.index) || !path.empty()) {
    return std::nullopt;
  }
  return name;
}

}  // namespace

std::string ChunkTarget(std::uint64_t version, std::size_t index, bool waits) {
  return std::string(kPrefix) + std::to_string(version) + "/" +
         std::to_string(index) + std::string(waits ? "" : kNoWaitQuery);
}

std::string ManifestPath(std::uint64_t version) {
  return std::string(kManifestPrefix) + std::to_string(version);
}

std::optional<std::vector<digest>> ParseManifestText(std::string_view text) {
  std::vector<digest> digests;
  while (!text.empty()) {
    const std::string_view line = text.substr(0, text.find('\n'));
    text.remove_prefix(std::min(text.size(), line.size() + 1));
    const std::optional<digest> name = digest::FromHex(line);
    if (!name) {
      return std::nullopt;
    }
    digests.push_back(*name);
  }
  if (digests.empty()) {
    return std::nullopt;
  }
  return digests;
}

chunk_server::chunk_server(boost::asio::io_context& context,
                           const chunk_store& chunks,
                           double bytes_per_second)
    : context_(context),
      chunks_(chunks),
      pacer_(bytes_per_second),
      server_(context,
              {},
              [this](http_request request, response_writer& writer) {
                return Serve(std::move(request), writer);
              }) {}

result<unsigned short> chunk_server::Listen(const http_endpoint& endpoint) {
  return server_.Listen(endpoint);
}

void chunk_server::NotifyChanged(std::size_t chunk) {
  const auto [first, last] = waiting_.equal_range(chunk);
  for (auto at = first; at != last; ++at) {
    at->second->cancel();
  }
}

void chunk_server::NotifyAllChanged() {
  pacer_.Clear();
  for (const auto& [chunk, timer] : waiting_) {
    timer->cancel();
  }
}

awaitable<void> chunk_server::Serve(http_request request,
                                    response_writer& writer) {
  const std::optional<chunk_name> name = ParsePath(request.path());
  http_response response;
  response.status = kStatusNotFound;
  if (request.path() == ManifestPath(chunks_.version())) {
    response.status = kStatusOk;
    for (const digest& name : chunks_.digests()) {
      response.body += name.ToHex() + "\n";
    }
    co_await writer.Send(std::move(response));
    co_return;
  }
  const bool waits = !std::string_view(request.target).ends_with(kNoWaitQuery);
  const time_point end = MonotonicNow() + kLongestWait;
  while (name && MonotonicNow() < end && chunks_.version() <= name->version) {
    const auto bytes =
        chunks_.version() == name->version ? chunks_.Get(name->index) : nullptr;
    if (bytes) {
      const bool paced = co_await Pace(bytes->size());
      if (!paced) {
        response.status = kStatusBusy;
      } else if (chunks_.version() == name->version) {
        response.status = kStatusOk;
        response.body = *bytes;
      }
      break;
    }
    if (!waits) {
      break;
    }
    boost::asio::steady_timer timer(context_, end - MonotonicNow());
    const auto waiter = waiting_.emplace(name->index, &timer);
    boost::system::error_code ignored;
    co_await timer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    waiting_.erase(waiter);
  }
  const time_point sent = MonotonicNow();
  const std::size_t size = response.body.size();
  co_await writer.Send(std::move(response));
  if (size > 0) {
    pacer_.Observe(size, MonotonicNow() - sent);
  }
}

awaitable<bool> chunk_server::Pace(std::size_t bytes) {
  const time_point now = MonotonicNow();
  const auto begin = pacer_.Reserve(bytes, now, kLongestQueue);
  if (!begin) {
    co_return false;
  }
  boost::asio::steady_timer timer(context_, *begin - now);
  boost::system::error_code ignored;
  co_await timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  co_return true;
}

}  // namespace fireflyslip
