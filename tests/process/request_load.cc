#include "process/request_load.h"

#include <utility>

#include "process/answer_check.h"

namespace fireflyslip::testing {
namespace {

constexpr std::size_t kCallers = 6;
constexpr int kTokens = 20;

}  // namespace

request_load::request_load(const process_fleet& fleet,
                           std::vector<std::string> entries)
    : fleet_(fleet), entries_(std::move(entries)) {
  for (std::size_t caller = 0; caller < kCallers; ++caller) {
    callers_.emplace_back([this, caller] { Run(caller); });
  }
}

request_load::~request_load() {
  Stop();
}

void request_load::WaitForAnswers(std::size_t count) const {
  const std::size_t expected = answers_ + count;
  fleet_.WaitUntil("the load was answered",
                   [&] { return answers_ >= expected; });
}

std::vector<std::string> request_load::Stop() {
  stopping_ = true;
  for (std::thread& caller : callers_) {
    caller.join();
  }
  callers_.clear();
  return faults_;
}

void request_load::Run(std::size_t caller) {
  for (std::size_t number = 0; !stopping_; ++number) {
    std::string prompt = "load";
    prompt += "-" + std::to_string(caller) + "-" + std::to_string(number);
    const http_answer answer =
        fleet_.Complete(entries_[caller % entries_.size()], prompt, kTokens);
    std::string fault = FindFault(answer, prompt, kTokens);
    const std::scoped_lock lock(mutex_);
    ++answers_;
    versions_.insert(VersionOf(answer));
    if (!fault.empty()) {
      faults_.push_back(prompt.append(": ").append(fault));
    }
  }
}

}  // namespace fireflyslip::testing
