#include "program/manifest_loader.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "fireflyslip/runtime.h"

namespace fireflyslip {
namespace {

namespace asio = boost::asio;
using asio::awaitable;

/// Enough for the declared version, the served version and one more for a
/// rollback.
constexpr std::size_t kMaxCachedManifests = 3;
constexpr std::size_t kTreeFanOut = 4;
/// Attempts to read from the parent in the tree before other sources are tried;
/// they take about 3 s.
constexpr std::size_t kTreeAttempts = 6;
constexpr milliseconds kInitialBackoff{100};
constexpr milliseconds kMaxBackoff{2000};
constexpr seconds kReadTimeout{10};

}  // namespace

manifest_loader::manifest_loader(asio::io_context& context,
                                 loaded_function on_loaded)
    : context_(context), on_loaded_(std::move(on_loaded)), client_(context) {
  client_.set_body_limit(manifest_limits{}.max_bytes);
}

void manifest_loader::Load(const manifest_target& target) {
  target_ = target;
  ++generation_;
  const auto cached = std::find_if(
      loaded_.begin(), loaded_.end(),
      [&](const loaded_manifest& entry) { return entry.target == target; });
  if (cached != loaded_.end()) {
    on_loaded_(target_, cached->content);
    return;
  }
  asio::co_spawn(context_, LoadFromSources(generation_), asio::detached);
}

const std::string* manifest_loader::FindText(const digest& name) const {
  for (const loaded_manifest& entry : loaded_) {
    if (entry.target.name == name) {
      return &entry.text;
    }
  }
  return nullptr;
}

const std::string* manifest_loader::FindText(
    const model_name& model,
    const model_version& version) const {
  // The latest manifest comes first, in case a version was declared again with
  // another manifest.
  for (const loaded_manifest& entry : loaded_) {
    if (entry.target.model == model && entry.target.version == version) {
      return &entry.text;
    }
  }
  return nullptr;
}

awaitable<void> manifest_loader::LoadFromSources(std::uint64_t generation) {
  asio::steady_timer timer(context_);
  milliseconds backoff = kInitialBackoff;
  for (std::size_t attempt = 0; generation == generation_; ++attempt) {
    const std::optional<source> from = SelectSource(attempt);
    if (from) {
      result<std::string> text = co_await Read(*from);
      if (generation != generation_) {
        co_return;
      }
      if (IsOk(text) && Accept(ValueOf(std::move(text)))) {
        co_return;
      }
    }
    timer.expires_after(backoff);
    co_await timer.async_wait(asio::use_awaitable);
    backoff = std::min(2 * backoff, kMaxBackoff);
  }
}

std::optional<manifest_loader::source> manifest_loader::SelectSource(
    std::size_t attempt) const {
  const std::size_t peers = sources_.order.size();
  const bool is_first = sources_.own_position == 0;
  const bool in_tree = attempt < kTreeAttempts;
  if (sources_.origin &&
      (is_first || peers == 0 || (!in_tree && attempt % 2 == 0))) {
    return source{*sources_.origin, true};
  }
  if (peers < 2) {
    return std::nullopt;
  }
  std::size_t position = is_first || !in_tree
                             ? attempt % peers
                             : (sources_.own_position - 1) / kTreeFanOut;
  if (position == sources_.own_position) {
    position = (position + 1) % peers;
  }
  return source{sources_.order[position], false};
}

awaitable<result<std::string>> manifest_loader::Read(const source& from) {
  http_request request;
  request.target = from.is_origin ? "/models/" + target_.model.value() + "/" +
                                        target_.version.value() + "/manifest"
                                  : "/manifests/" + target_.name.ToHex();
  result<http_response> answered =
      co_await client_.Request(from.endpoint, std::move(request), kReadTimeout);
  if (!IsOk(answered)) {
    co_return ErrorOf(answered);
  }
  http_response response = ValueOf(std::move(answered));
  if (response.status != 200) {
    error missing;
    missing.kind = error_kind::kNotFound;
    missing.detail = "status " + std::to_string(response.status);
    co_return missing;
  }
  co_return std::move(response.body);
}

bool manifest_loader::Accept(std::string text) {
  result<manifest> parsed = ParseManifest(text, target_.name);
  if (!IsOk(parsed)) {
    LogLine("kind=manifest_rejected detail=\"" + ErrorOf(parsed).detail + "\"");
    return false;
  }
  auto content = std::make_shared<const manifest>(ValueOf(std::move(parsed)));
  if (content->model != target_.model || content->version != target_.version) {
    LogLine(
        "kind=manifest_rejected detail=\"the manifest is of another model or "
        "version\"");
    return false;
  }
  loaded_.push_front({target_, std::move(text), content});
  if (loaded_.size() > kMaxCachedManifests) {
    loaded_.pop_back();
  }
  on_loaded_(target_, std::move(content));
  return true;
}

}  // namespace fireflyslip
