#ifndef FIREFLYSLIP_PROGRAM_CLAIM_JOURNALS_H_
#define FIREFLYSLIP_PROGRAM_CLAIM_JOURNALS_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "fireflyslip/booking.h"
#include "fireflyslip/link.h"
#include "fireflyslip/platform.h"
#include "fireflyslip/runtime.h"
#include "program/fleet_snapshot.h"
#include "program/process_context.h"
#include "program/upstream_call.h"

namespace fireflyslip {

/// \brief Runs the claim journals that this agent owns and stores them at the
/// platform.
///
/// A journal is started when a snapshot assigns it to this agent and stopped
/// when a snapshot assigns it to another one. All functions must be called on
/// the traffic thread, and callbacks are called on it.
class claim_journals {
 public:
  struct callbacks {
    /// The claim is durable: the receiver runs the call and reports its end by
    /// `Finish()`.
    std::function<void(const attempt_id& attempt)> run;
    std::function<void(const attempt_id& attempt, const stored_answer& answer)>
        answer;
    std::function<void(const attempt_id& attempt, const error& refusal)> refuse;
  };

  /// \brief `timers` must outlive the journals.
  claim_journals(boost::asio::io_context& context,
                 process_context& process,
                 timer_service& timers,
                 callbacks handlers);

  void OnSnapshot(const fleet_snapshot& snapshot);
  void OnPause();

  /// \brief Requests a claim for a call. Exactly one call of `answer` or
  /// `refuse` follows.
  void Claim(const attempt_message& attempt, time_point deadline);
  /// \brief Called when the entry no longer waits for the attempt. The claim is
  /// refused if it is not durable yet.
  void Abandon(const attempt_id& attempt);
  /// \brief Reports the end of a call that was started by `run`.
  void Finish(const attempt_id& attempt, const result<upstream_result>& ended);

 private:
  using journal_id = std::uint64_t;
  using slot_name = std::pair<service_name, journal_slot>;
  struct journal {
    slot_name slot;
    std::string object;  ///< Key of the journal object at the platform.
    std::unique_ptr<core_driver<claim_journal>> driver;
    bool taken_over = false;
    bool retired = false;
    std::optional<time_point> superseded_at;
    std::size_t running = 0;  ///< Calls started by `run` that have not ended.
  };
  struct running_call {
    journal_id journal = 0;
    idempotency_key key;
  };

  std::set<slot_name> OwnedSlots(const configuration& current) const;
  void StartJournal(const slot_name& slot);
  void RetireJournal(journal_id id);
  void SchedulePruning();
  void Handle(journal_id id, claim_journal::event event);
  void RecordOwnership(journal& observed);
  void Apply(journal_id id, const claim_journal::action& action);
  boost::asio::awaitable<void> ReadJournal(journal_id id, std::string object);
  boost::asio::awaitable<void> WriteJournal(journal_id id,
                                            std::string object,
                                            booking::write_journal update);

  boost::asio::io_context& context_;
  process_context& process_;
  timer_service& timers_;
  callbacks handlers_;
  object_client objects_;
  std::uint64_t revision_ = 0;
  journal_id last_id_ = 0;
  std::map<journal_id, journal> journals_;
  std::map<slot_name, journal_id> active_journals_;
  /// Highest incarnation that was read from or used for each journal.
  std::map<slot_name, incarnation_number> highest_incarnations_;
  std::map<attempt_id, journal_id> pending_claims_;
  std::map<attempt_id, running_call> running_calls_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_CLAIM_JOURNALS_H_
