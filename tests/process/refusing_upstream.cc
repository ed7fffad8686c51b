#include "process/refusing_upstream.h"

#include <array>
#include <chrono>
#include <thread>
#include <utility>

namespace fireflyslip::testing {
namespace {

constexpr std::chrono::milliseconds kRunTime{5};
constexpr int kMostDelayMs = 20;

void Sleep(std::chrono::milliseconds time) {
  std::this_thread::sleep_for(time);
}

}  // namespace

void run_record::AddRun(const std::string& attempt) {
  const std::scoped_lock lock(mutex_);
  runs_.insert(attempt);
}

void run_record::AddCopy() {
  const std::scoped_lock lock(mutex_);
  ++copies_;
}

refusing_upstream::refusing_upstream(std::string id,
                                     refusal_plan plan,
                                     run_record& record)
    : plan_(plan),
      record_(record),
      id_(std::move(id)),
      random_(plan.seed),
      server_([this](standin_connection& connection) {
        return Serve(connection);
      }) {}

void refusing_upstream::SetId(const std::string& id) {
  const std::scoped_lock lock(mutex_);
  id_ = id;
}

std::optional<int> refusing_upstream::ChooseRefusal(
    const std::string& expected) {
  constexpr std::array kStatuses = {503, 429, 408};
  const std::scoped_lock lock(mutex_);
  if (expected != id_) {
    return 421;
  }
  if (std::uniform_real_distribution<>()(random_) >= plan_.refused_share) {
    return std::nullopt;
  }
  return kStatuses[refusals_++ % kStatuses.size()];
}

std::string refusing_upstream::Refuse(const standin_connection& connection,
                                      int status) const {
  return FormatResponse(
      status, "",
      {{"Not-Executed", "1"}, {"Attempt-Id", connection.Field("Attempt-Id")}});
}

bool refusing_upstream::SendCopy(standin_connection& connection,
                                 const std::string& copy) {
  std::chrono::milliseconds delay{0};
  int shape = 0;
  {
    const std::scoped_lock lock(mutex_);
    delay = std::chrono::milliseconds(
        std::uniform_int_distribution<>(0, kMostDelayMs)(random_));
    shape = copies_++ % 4;
  }
  record_.AddCopy();
  const std::size_t half = copy.size() / 2;
  switch (shape) {
    case 0:  // While the body is still being written.
      return connection.Write(copy) && (Sleep(delay), connection.ReadBody());
    case 1:
      return connection.ReadBody() && (Sleep(delay), connection.Write(copy));
    case 2:
      return connection.ReadBody() && connection.Write(copy.substr(0, half)) &&
             (Sleep(delay), connection.Write(copy.substr(half)));
    default:  // In front of an interim response.
      return connection.ReadBody() && connection.Write(copy) &&
             (Sleep(delay),
              connection.Write("HTTP/1.1 102 Processing\r\n\r\n"));
  }
}

bool refusing_upstream::Serve(standin_connection& connection) {
  std::string last_refusal;
  do {
    const std::string attempt = connection.Field("Attempt-Id");
    const std::string expected = connection.Field("Expect-Instance");
    if (connection.received().target() == "/healthz") {
      if (!connection.Write(
              FormatResponse(200, "", {{"Instance-Id", expected}}))) {
        return false;
      }
      continue;
    }
    if (!last_refusal.empty() && !SendCopy(connection, last_refusal)) {
      return false;
    }
    if (!connection.ReadBody()) {
      return false;
    }
    last_refusal.clear();
    std::string response;
    if (const std::optional<int> status = ChooseRefusal(expected)) {
      response = last_refusal = Refuse(connection, *status);
    } else {
      record_.AddRun(attempt);
      Sleep(kRunTime);
      response = FormatResponse(
          200, "run",
          {{"Attempt-Id", attempt}, {"Response-Seal", "seal." + attempt}});
    }
    if (!connection.Write(response)) {
      return false;
    }
  } while (connection.ReadHead());
  return false;
}

}  // namespace fireflyslip::testing
