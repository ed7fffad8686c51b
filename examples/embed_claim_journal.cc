// Embeds claim_journal with an object store in memory. The same booking is
// requested twice; it runs once and both requests get the same answer.

#include <iostream>
#include <string>
#include <variant>
#include <vector>

#include "fireflyslip/booking.h"
#include "fireflyslip/core.h"

namespace {

using fireflyslip::claim_journal;

// Performs the actions of the core: object store, service and callers.
class host {
 public:
  void Send(const claim_journal::event& event) {
    std::vector<claim_journal::event> events = {event};
    while (!events.empty()) {
      const claim_journal::event next = events.front();
      events.erase(events.begin());
      now_ += fireflyslip::milliseconds(10);
      for (const auto& action : core_.Handle(next, now_)) {
        std::visit([&](const auto& a) { Perform(a, events); }, action);
      }
    }
  }

  fireflyslip::time_point now() const { return now_; }
  int runs() const { return runs_; }
  int answers() const { return answers_; }

 private:
  using events = std::vector<claim_journal::event>;

  void Perform(const fireflyslip::booking::read_journal& /*action*/,
               events& next) {
    if (version_ == 0) {
      next.emplace_back(fireflyslip::booking::journal_missing{});
    } else {
      next.emplace_back(fireflyslip::booking::journal_read{version_, body_});
    }
  }
  void Perform(const fireflyslip::booking::write_journal& action,
               events& next) {
    if (action.expected.value_or(0) == version_) {
      body_ = action.body;
      next.emplace_back(fireflyslip::booking::journal_written{++version_});
    } else {
      next.emplace_back(fireflyslip::booking::journal_conflict{});
    }
  }
  void Perform(const fireflyslip::booking::run_call& action, events& next) {
    ++runs_;
    std::cout << "run " << action.key.value() << "\n";
    next.emplace_back(fireflyslip::booking::run_finished{
        action.key, 201, "text/plain", "booth 4 at 20:00"});
  }
  void Perform(const fireflyslip::booking::answer& action, events& /*next*/) {
    ++answers_;
    std::cout << "answer " << ToString(action.attempt.request) << ": "
              << action.stored.status << " " << action.stored.body.value_or("")
              << "\n";
  }
  void Perform(const fireflyslip::booking::refuse& action, events& /*next*/) {
    std::cout << "refuse " << ToString(action.attempt.request) << ": "
              << action.detail << "\n";
  }

  claim_journal core_;
  fireflyslip::time_point now_{};
  fireflyslip::object_version version_ = 0;
  std::string body_;
  int runs_ = 0;
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
  return host.runs() == 1 && host.answers() == 2 ? 0 : 1;
}
