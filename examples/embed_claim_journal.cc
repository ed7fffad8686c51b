// Embeds claim_journal with an in-memory object store. Two requests for the
// same booking result in one execution, and both get the same response.

#include <iostream>
#include <string>
#include <variant>
#include <vector>

#include "fireflyslip/booking.h"
#include "fireflyslip/core.h"

namespace {

using fireflyslip::claim_journal;

// Executes the actions of the core in place of the object store, the service
// and the callers.
class host {
 public:
  void Send(const claim_journal::event& event) {
    std::vector<claim_journal::event> pending = {event};
    while (!pending.empty()) {
      const claim_journal::event current = pending.front();
      pending.erase(pending.begin());
      now_ += fireflyslip::milliseconds(10);
      for (const auto& action : core_.Handle(current, now_)) {
        std::visit([&](const auto& value) { Execute(value, pending); }, action);
      }
    }
  }

  fireflyslip::time_point now() const { return now_; }
  int executions() const { return executions_; }
  int answers() const { return answers_; }

 private:
  using event_queue = std::vector<claim_journal::event>;

  void Execute(const fireflyslip::booking::read_journal& /*action*/,
               event_queue& pending) {
    if (version_ == 0) {
      pending.emplace_back(fireflyslip::booking::journal_missing{});
    } else {
      pending.emplace_back(fireflyslip::booking::journal_read{version_, body_});
    }
  }
  void Execute(const fireflyslip::booking::write_journal& action,
               event_queue& pending) {
    if (action.expected.value_or(0) == version_) {
      body_ = action.body;
      pending.emplace_back(fireflyslip::booking::journal_written{++version_});
    } else {
      pending.emplace_back(fireflyslip::booking::journal_conflict{});
    }
  }
  void Execute(const fireflyslip::booking::run_call& action,
               event_queue& pending) {
    ++executions_;
    std::cout << "run " << action.key.value() << "\n";
    pending.emplace_back(fireflyslip::booking::run_finished{
        action.key, 201, "text/plain", "booth 4 at 20:00"});
  }
  void Execute(const fireflyslip::booking::answer& action,
               event_queue& /*pending*/) {
    ++answers_;
    std::cout << "answer " << ToString(action.attempt.request) << ": "
              << action.stored.status << " " << action.stored.body.value_or("")
              << "\n";
  }
  void Execute(const fireflyslip::booking::refuse& action,
               event_queue& /*pending*/) {
    std::cout << "refuse " << ToString(action.attempt.request) << ": "
              << action.detail << "\n";
  }

  claim_journal core_;
  fireflyslip::time_point now_{};
  fireflyslip::object_version version_ = 0;
  std::string body_;
  int executions_ = 0;
  int answers_ = 0;
};

}  // namespace

int main() {
  host host;
  host.Send(fireflyslip::booking::started{1, 42});
  const auto key =
      fireflyslip::ScopedKey(fireflyslip::workspace_id("bar-1"),
                             fireflyslip::idempotency_key("friday"));
  for (std::uint64_t sequence = 1; sequence <= 2; ++sequence) {
    host.Send(fireflyslip::booking::claim_requested{
        {{fireflyslip::vm_id("entry-1"), 1, sequence}, 1},
        key,
        fireflyslip::digest::Of("POST /bookings booth"),
        host.now() + fireflyslip::seconds(5)});
  }
  return host.executions() == 1 && host.answers() == 2 ? 0 : 1;
}
