#include "program/operator_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <chrono>
#include <fstream>
#include <future>
#include <iostream>
#include <iterator>
#include <utility>

namespace fireflyslip {
namespace {

namespace asio = boost::asio;
using asio::awaitable;

constexpr char kConfigurationKey[] = "configuration";
// A process answers its admin port within milliseconds.
constexpr seconds kAdminTimeout{3};
// Ends the reading of a process that records events faster than they are read.
// A log holds at most 2^20 records, which are sent in pages of 1000.
constexpr int kMaxEventPages = 2000;

}  // namespace

operator_client::operator_client(http_endpoint platform)
    : client_(context_), platform_(context_, std::move(platform)) {}

template <typename T>
T operator_client::RunToCompletion(awaitable<T> call) {
  std::future<T> answer =
      asio::co_spawn(context_, std::move(call), asio::use_future);
  context_.restart();
  while (answer.wait_for(seconds(0)) != std::future_status::ready) {
    context_.run_one();
  }
  return answer.get();
}

result<std::optional<platform_object>> operator_client::ReadConfiguration() {
  return RunToCompletion(platform_.Get(kConfigurationKey));
}

result<std::uint64_t> operator_client::WriteConfiguration(
    std::uint64_t expected,
    const std::string& body) {
  return RunToCompletion(platform_.Put(kConfigurationKey, expected, body));
}

result<fleet_members> operator_client::ListMembers() {
  const auto read = RunToCompletion(platform_.WatchVms(0, duration(0)));
  if (!IsOk(read)) {
    return ErrorOf(read);
  }
  const std::optional<platform_object>& list = ValueOf(read);
  return list ? ParseVmList(list->body) : fleet_members();
}

std::map<vm_id, result<std::string>> operator_client::GetFromAll(
    const fleet_members& members,
    const std::string& target) {
  std::map<vm_id, std::future<result<std::string>>> calls;
  for (const auto& [vm, member] : members) {
    calls[vm] =
        asio::co_spawn(context_, Get(member.admin, target), asio::use_future);
  }
  std::map<vm_id, result<std::string>> answers;
  context_.restart();
  for (auto& [vm, call] : calls) {
    while (call.wait_for(seconds(0)) != std::future_status::ready) {
      context_.run_one();
    }
    answers.emplace(vm, call.get());
  }
  return answers;
}

std::map<vm_id, result<std::vector<event_record>>> operator_client::ReadEvents(
    const fleet_members& members) {
  std::map<vm_id, result<std::vector<event_record>>> answers;
  for (const auto& [vm, member] : members) {
    answers.emplace(vm, RunToCompletion(ReadAllEvents(member.admin)));
  }
  return answers;
}

awaitable<result<std::string>> operator_client::Get(http_endpoint admin,
                                                    std::string target) {
  http_request request;
  request.target = std::move(target);
  const result<http_response> answered =
      co_await client_.Request(admin, std::move(request), kAdminTimeout);
  if (!IsOk(answered)) {
    co_return ErrorOf(answered);
  }
  const http_response& response = ValueOf(answered);
  if (response.status != 200) {
    error failure{error_kind::kUpstreamFailed,
                  "status " + std::to_string(response.status)};
    co_return failure;
  }
  co_return response.body;
}

awaitable<result<std::vector<event_record>>> operator_client::ReadAllEvents(
    http_endpoint admin) {
  std::vector<event_record> records;
  std::uint64_t since = 0;
  for (int page_number = 0; page_number < kMaxEventPages; ++page_number) {
    std::string target = "/events?since=" + std::to_string(since);
    const result<std::string> answer = co_await Get(admin, std::move(target));
    if (!IsOk(answer)) {
      co_return ErrorOf(answer);
    }
    result<event_page> parsed = ParseEventPage(ValueOf(answer));
    if (!IsOk(parsed)) {
      co_return ErrorOf(parsed);
    }
    event_page page = ValueOf(std::move(parsed));
    if (page.records.empty() || page.next <= since) {
      break;
    }
    since = page.next;
    records.insert(records.end(), std::make_move_iterator(page.records.begin()),
                   std::make_move_iterator(page.records.end()));
  }
  co_return records;
}

std::optional<std::string> ReadFile(const std::string& name) {
  std::ifstream input(name);
  if (!input) {
    return std::nullopt;
  }
  return std::string((std::istreambuf_iterator<char>(input)),
                     std::istreambuf_iterator<char>());
}

int ReportFailure(const error& failure) {
  if (failure.kind == error_kind::kPlatformUnavailable) {
    std::cerr << "the platform is out of reach: " << failure.detail << "\n";
    return kExitUnreachable;
  }
  std::cerr << ErrorResponseFor(failure.kind).name << ": " << failure.detail
            << "\n";
  return failure.kind == error_kind::kConflict ? kExitConflict : kExitFailed;
}

}  // namespace fireflyslip
