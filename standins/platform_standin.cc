#include "standins/platform_standin.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <optional>
#include <string_view>
#include <utility>

namespace fireflyslip::standins {
namespace net = boost::asio;
using clock = std::chrono::steady_clock;
namespace {

constexpr std::size_t kMaxValueBytes = 1'000'000;

std::string EntityTag(std::uint64_t version) {
  return '"' + std::to_string(version) + '"';
}

std::optional<std::uint64_t> ParseEntityTag(std::string_view tag) {
  if (tag.size() < 2 || tag.front() != '"' || tag.back() != '"') {
    return std::nullopt;
  }
  return ParseNumber(tag.substr(1, tag.size() - 2));
}

clock::time_point WaitDeadline(const http_request& request) {
  const std::uint64_t wait = ParseNumber(request.Query("wait_ms")).value_or(0);
  return clock::now() + std::chrono::milliseconds(wait);
}

http_response NoContent() {
  http_response response;
  response.status = 204;
  return response;
}

}  // namespace

void platform_standin::PutObject(const std::string& key, std::string body) {
  object& target = objects_[key];
  ++target.version;
  target.body = std::move(body);
  changed_.NotifyAll();
}

void platform_standin::SetVms(const nlohmann::json& vms) {
  vms_.clear();
  for (const nlohmann::json& vm : vms) {
    vms_[vm.at("vm").get<std::string>()] = vm;
  }
  ++vms_version_;
  changed_.NotifyAll();
}

net::awaitable<void> platform_standin::Handle(const http_request& request,
                                              http_exchange& exchange) {
  if (request.path.starts_with("/control")) {
    co_await HandleControl(request, exchange);
    co_return;
  }
  const std::optional<std::string> key = request.PathAfter("/v1/objects/");
  const bool is_write = key && request.method == "PUT";
  if (is_write) {
    ++writes_;
  } else if (request.query.contains("wait_ms")) {
    ++watches_;
  } else {
    ++reads_;
  }
  if (co_await RespondIfOutage(exchange)) {
    co_return;
  }
  co_await SleepHalfDelay();
  if (co_await RespondIfOutage(exchange)) {
    co_return;
  }
  if (is_write) {
    co_await WriteObject(request, *key, exchange);
  } else if (request.method != "GET") {
    co_await exchange.Send(ErrorResponse(405, "only GET and PUT are served"));
  } else if (key) {
    co_await ReadObject(request, *key, exchange);
  } else if (request.path == "/v1/objects") {
    http_response list = ListObjects(request.Query("prefix"));
    co_await SleepHalfDelay();
    co_await exchange.Send(std::move(list));
  } else if (request.path == "/v1/vms") {
    co_await ListVms(request, exchange);
  } else {
    co_await exchange.Send(ErrorResponse(404, "no such path"));
  }
}

net::awaitable<bool> platform_standin::RespondIfOutage(
    http_exchange& exchange) {
  if (outage_ == outage::kSilent) {
    exchange.Hang();
    co_return true;
  }
  if (outage_ == outage::kError) {
    co_await exchange.Send(ErrorResponse(503, "outage"));
    co_return true;
  }
  co_return false;
}

net::awaitable<void> platform_standin::SleepHalfDelay() {
  if (delay_.count() > 0) {
    co_await SleepUntil(clock::now() + delay_ / 2);
  }
}

platform_standin::object platform_standin::FindObject(
    const std::string& key) const {
  const auto found = objects_.find(key);
  return found == objects_.end() ? object() : found->second;
}

net::awaitable<void> platform_standin::ReadObject(const http_request& request,
                                                  std::string key,
                                                  http_exchange& exchange) {
  object current = FindObject(key);
  if (request.Query("watch") == "1") {
    const std::uint64_t since = ParseNumber(request.Query("since")).value_or(0);
    const clock::time_point deadline = WaitDeadline(request);
    while (current.version <= since) {
      if (clock::now() >= deadline) {
        co_await exchange.Send(NoContent());
        co_return;
      }
      co_await changed_.WaitUntil(deadline);
      if (co_await RespondIfOutage(exchange)) {
        co_return;
      }
      current = FindObject(key);
    }
  }
  co_await SleepHalfDelay();
  if (current.version == 0) {
    co_await exchange.Send(ErrorResponse(404, "no such object"));
    co_return;
  }
  http_response response;
  response.headers["ETag"] = EntityTag(current.version);
  response.body = std::move(current.body);
  co_await exchange.Send(std::move(response));
}

net::awaitable<void> platform_standin::WriteObject(const http_request& request,
                                                   std::string key,
                                                   http_exchange& exchange) {
  const std::uint64_t version = FindObject(key).version;
  const std::string if_match = request.Header("if-match");
  http_response response = JsonResponse(200, nlohmann::json::object());
  if (request.body.size() > kMaxValueBytes) {
    response = ErrorResponse(413, "the value is larger than 1 MB");
  } else if (!if_match.empty()) {
    if (version == 0 || ParseEntityTag(if_match) != version) {
      response = ErrorResponse(412, "the object has another version");
    }
  } else if (request.Header("if-none-match") == "*") {
    if (version != 0) {
      response = ErrorResponse(412, "the object exists");
    }
  } else {
    response = ErrorResponse(428, "If-Match or If-None-Match is required");
  }
  if (response.status == 200) {
    PutObject(key, request.body);
    response.headers["ETag"] = EntityTag(version + 1);
    if (lose_answers_ > 0) {
      --lose_answers_;
      exchange.Abort();
      co_return;
    }
  }
  co_await SleepHalfDelay();
  // An outage that begins after the write was applied suppresses its response.
  if (co_await RespondIfOutage(exchange)) {
    co_return;
  }
  co_await exchange.Send(std::move(response));
}

net::awaitable<void> platform_standin::ListVms(const http_request& request,
                                               http_exchange& exchange) {
  const auto since = ParseNumber(request.Query("since"));
  const clock::time_point deadline = WaitDeadline(request);
  while (since && vms_version_ <= *since) {
    if (clock::now() >= deadline) {
      co_await exchange.Send(NoContent());
      co_return;
    }
    co_await changed_.WaitUntil(deadline);
    if (co_await RespondIfOutage(exchange)) {
      co_return;
    }
  }
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [name, vm] : vms_) {
    list.push_back(vm);
  }
  http_response response = JsonResponse(200, list);
  response.headers["ETag"] = EntityTag(vms_version_);
  co_await SleepHalfDelay();
  co_await exchange.Send(std::move(response));
}

http_response platform_standin::ListObjects(const std::string& prefix) const {
  nlohmann::json list = nlohmann::json::array();
  for (auto it = objects_.lower_bound(prefix);
       it != objects_.end() && it->first.starts_with(prefix); ++it) {
    list.push_back({{"key", it->first}, {"version", it->second.version}});
  }
  return JsonResponse(200, list);
}

nlohmann::json platform_standin::ControlState() const {
  nlohmann::json settings = {{"delay_ms", delay_.count()},
                             {"vm_list_lag_ms", vm_list_lag_.count()},
                             {"lose_answers", lose_answers_},
                             {"outage", outage_ != outage::kNone}};
  if (outage_ == outage::kSilent) {
    settings["outage"] = "silent";
  }
  return settings;
}

net::awaitable<void> platform_standin::HandleControl(
    const http_request& request,
    http_exchange& exchange) {
  const auto vm = request.PathAfter("/control/vms/");
  http_response response;
  if (request.method == "GET" && request.path == "/control/counters") {
    response = JsonResponse(
        200, {{"reads", reads_}, {"writes", writes_}, {"watches", watches_}});
  } else if (request.method == "GET" && request.path == "/control") {
    response = JsonResponse(200, ControlState());
  } else if (request.method == "POST" && request.path == "/control") {
    const nlohmann::json body = nlohmann::json::parse(request.body);
    delay_ = std::chrono::milliseconds(body.value("delay_ms", delay_.count()));
    vm_list_lag_ = std::chrono::milliseconds(
        body.value("vm_list_lag_ms", vm_list_lag_.count()));
    lose_answers_ = body.value("lose_answers", lose_answers_);
    if (body.contains("outage")) {
      outage_ = body["outage"] == "silent"   ? outage::kSilent
                : body["outage"].get<bool>() ? outage::kError
                                             : outage::kNone;
      changed_.NotifyAll();
    }
    response = JsonResponse(200, ControlState());
  } else if (vm && (request.method == "PUT" || request.method == "DELETE")) {
    nlohmann::json value;  // null deletes the VM
    if (request.method == "PUT") {
      value = nlohmann::json::parse(request.body);
      value["vm"] = *vm;
    }
    // Keeps changes in order when the lag is reduced between them.
    last_publish_time_ =
        std::max(last_publish_time_, clock::now() + vm_list_lag_);
    net::awaitable<void> change =
        ChangeVm(*vm, std::move(value), last_publish_time_);
    const auto executor = co_await net::this_coro::executor;
    if (vm_list_lag_.count() > 0) {
      net::co_spawn(executor, std::move(change), net::detached);
    } else {
      co_await std::move(change);
    }
    response = JsonResponse(200, nlohmann::json::object());
  } else {
    response = ErrorResponse(404, "no such control");
  }
  co_await exchange.Send(std::move(response));
}

net::awaitable<void> platform_standin::ChangeVm(
    std::string vm,
    nlohmann::json value,
    clock::time_point publish_time) {
  if (publish_time > clock::now()) {
    co_await SleepUntil(publish_time);
  }
  if (value.is_null()) {
    vms_.erase(vm);
  } else {
    vms_[vm] = std::move(value);
  }
  ++vms_version_;
  changed_.NotifyAll();
}

}  // namespace fireflyslip::standins
