#include "program/claim_journals.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <random>

namespace fireflyslip {
namespace {

using boost::asio::awaitable;

/// Minimum time between a takeover by another incarnation and a takeover that
/// this agent starts for a request. Without it, two agents that both assume to
/// own the journal would fence each other at every request.
constexpr seconds kMinTakeoverInterval{1};

digest RequestDigest(const attempt_message& attempt) {
  // The line break is an unambiguous separator, because neither a method nor a
  // path contains one.
  return digest::Of(attempt.method + "\n" + attempt.path + "\n" + attempt.body);
}

std::uint64_t MakeSeed() {
  std::random_device source;
  return (std::uint64_t{source()} << 32U) | source();
}

}  // namespace

claim_journals::claim_journals(boost::asio::io_context& context,
                               process_context& process,
                               timer_service& timers,
                               callbacks handlers)
    : context_(context),
      process_(process),
      timers_(timers),
      handlers_(std::move(handlers)),
      objects_(context,
               http_endpoint{process.settings().platform.address,
                             process.settings().platform.port}) {}

std::set<claim_journals::slot_name> claim_journals::OwnedSlots(
    const configuration& current) const {
  const upstream_id self(process_.settings().vm.value());
  std::set<slot_name> slots;
  for (const auto& [service, declaration] : current.services()) {
    const std::vector<upstream_id>& replicas = current.UpstreamsOf(service);
    for (journal_slot slot = 0; slot < kJournalSlots; ++slot) {
      if (JournalOwner(slot, service, replicas) == self) {
        slots.emplace(service, slot);
      }
    }
  }
  return slots;
}

void claim_journals::OnSnapshot(const fleet_snapshot& snapshot) {
  if (snapshot.revision <= revision_) {
    return;
  }
  revision_ = snapshot.revision;
  const std::set<slot_name> owned = OwnedSlots(snapshot.configuration);
  const auto previous = active_journals_;
  for (const auto& [slot, id] : previous) {
    if (!owned.contains(slot)) {
      RetireJournal(id);
    }
  }
  for (const slot_name& slot : owned) {
    const auto found = active_journals_.find(slot);
    if (found == active_journals_.end()) {
      StartJournal(slot);
    } else if (const journal_id id = found->second;
               journals_.at(id).driver->core().is_superseded()) {
      RetireJournal(id);
      StartJournal(slot);
    }
  }
}

void claim_journals::OnPause() {
  const auto current = active_journals_;
  for (const auto& [slot, id] : current) {
    Handle(id, booking::resumed_after_pause{});
  }
}

void claim_journals::StartJournal(const slot_name& slot) {
  const journal_id id = ++last_id_;
  incarnation_number& highest = highest_incarnations_[slot];
  // The highest known incarnation is exceeded so that an agent can take over a
  // journal even if its clock runs behind that of the previous owner.
  highest = std::max<incarnation_number>(WallMilliseconds(), highest + 1);
  journal& started = journals_[id];
  started.slot = slot;
  started.object =
      "journal/" + slot.first.value() + "/" + std::to_string(slot.second);
  started.driver = std::make_unique<core_driver<claim_journal>>(
      claim_journal(), timers_,
      [this, id](const claim_journal::action& action) { Apply(id, action); });
  active_journals_[slot] = id;
  booking::started event;
  event.incarnation = highest;
  event.update_id_seed = MakeSeed();
  Handle(id, event);
}

void claim_journals::RetireJournal(journal_id id) {
  journal& ended = journals_.at(id);
  ended.retired = true;
  active_journals_.erase(ended.slot);
  Handle(id, booking::stopped{});
  SchedulePruning();
}

void claim_journals::SchedulePruning() {
  // Deferred because a driver must not be destroyed while it runs its actions.
  boost::asio::post(context_, [this] {
    std::erase_if(journals_, [](const auto& item) {
      return item.second.retired && item.second.running == 0;
    });
  });
}

void claim_journals::Claim(const attempt_message& attempt,
                           time_point deadline) {
  const idempotency_key key = ScopedKey(attempt.workspace, attempt.key);
  const slot_name slot(attempt.service, JournalSlot(key));
  const auto found = active_journals_.find(slot);
  if (found == active_journals_.end()) {
    handlers_.refuse(attempt.attempt,
                     error{error_kind::kNoUpstream,
                           "another upstream owns the journal of this key"});
    return;
  }
  const journal& owned = journals_.at(found->second);
  if (owned.superseded_at &&
      *owned.superseded_at + kMinTakeoverInterval <= MonotonicNow()) {
    RetireJournal(found->second);
    StartJournal(slot);
  }
  const journal_id id = active_journals_.at(slot);
  pending_claims_[attempt.attempt] = id;
  booking::claim_requested event;
  event.attempt = attempt.attempt;
  event.key = key;
  event.request = RequestDigest(attempt);
  event.deadline = deadline;
  Handle(id, event);
}

void claim_journals::Abandon(const attempt_id& attempt) {
  const auto found = pending_claims_.find(attempt);
  if (found != pending_claims_.end()) {
    Handle(found->second, booking::attempt_abandoned{attempt});
  }
}

void claim_journals::Finish(const attempt_id& attempt,
                            const result<upstream_result>& ended) {
  const auto found = running_calls_.find(attempt);
  if (found == running_calls_.end()) {
    return;
  }
  const running_call call = std::move(found->second);
  running_calls_.erase(found);
  if (IsOk(ended)) {
    const upstream_result& answer = ValueOf(ended);
    booking::run_finished event;
    event.key = call.key;
    event.status = answer.http_status;
    event.content_type = answer.content_type;
    event.body = answer.body;
    Handle(call.journal, event);
  } else {
    booking::run_failed event;
    event.key = call.key;
    event.may_have_run = ErrorOf(ended).kind != error_kind::kNoUpstream;
    Handle(call.journal, event);
  }
  journal& owned = journals_.at(call.journal);
  --owned.running;
  if (owned.retired) {
    SchedulePruning();
  }
}

void claim_journals::Handle(journal_id id, claim_journal::event event) {
  const auto found = journals_.find(id);
  if (found != journals_.end()) {
    found->second.driver->Handle(std::move(event));
    RecordOwnership(found->second);
  }
}

void claim_journals::RecordOwnership(journal& observed) {
  const claim_journal& core = observed.driver->core();
  incarnation_number& highest = highest_incarnations_[observed.slot];
  highest = std::max(highest, core.highest_incarnation());
  if (core.is_owner() && !observed.taken_over) {
    observed.taken_over = true;
    process_.Record(event_kind::kJournalTakenOver,
                    {{"journal", observed.object}});
  }
  if (core.is_superseded() && !observed.superseded_at) {
    observed.superseded_at = MonotonicNow();
    process_.Record(event_kind::kJournalFenced,
                    {{"journal", observed.object},
                     {"cause", observed.retired ? "moved" : "superseded"}});
  }
}

void claim_journals::Apply(journal_id id, const claim_journal::action& action) {
  std::visit(overloaded{
                 [&](const booking::read_journal&) {
                   boost::asio::co_spawn(
                       context_, ReadJournal(id, journals_.at(id).object),
                       boost::asio::detached);
                 },
                 [&](const booking::write_journal& update) {
                   boost::asio::co_spawn(
                       context_,
                       WriteJournal(id, journals_.at(id).object, update),
                       boost::asio::detached);
                 },
                 [&](const booking::run_call& call) {
                   running_calls_[call.attempt] = running_call{id, call.key};
                   ++journals_.at(id).running;
                   handlers_.run(call.attempt);
                 },
                 [&](const booking::answer& ended) {
                   pending_claims_.erase(ended.attempt);
                   handlers_.answer(ended.attempt, ended.stored);
                 },
                 [&](const booking::refuse& refusal) {
                   pending_claims_.erase(refusal.attempt);
                   handlers_.refuse(refusal.attempt,
                                    error{refusal.kind, refusal.detail});
                 },
             },
             action);
}

// The coroutines refer to the journal by its id, because their frames may
// outlive this object when the thread is stopped.
awaitable<void> claim_journals::ReadJournal(journal_id id, std::string object) {
  const result<std::optional<platform_object>> read =
      co_await objects_.Get(std::move(object));
  if (!IsOk(read)) {
    Handle(id, booking::platform_failed{});
  } else if (const std::optional<platform_object>& found = ValueOf(read)) {
    Handle(id, booking::journal_read{found->version, found->body});
  } else {
    Handle(id, booking::journal_missing{});
  }
}

awaitable<void> claim_journals::WriteJournal(journal_id id,
                                             std::string object,
                                             booking::write_journal update) {
  const object_version expected = update.expected.value_or(0);
  std::string body = std::move(update.body);
  const time_point started = MonotonicNow();
  const result<std::uint64_t> written =
      co_await objects_.Put(std::move(object), expected, std::move(body));
  process_.metrics().ObserveSeconds("fireflyslip_journal_write_seconds", {},
                                    ToSeconds(MonotonicNow() - started));
  if (IsOk(written)) {
    Handle(id, booking::journal_written{ValueOf(written)});
  } else if (ErrorOf(written).kind == error_kind::kConflict) {
    Handle(id, booking::journal_conflict{});
  } else if (ErrorOf(written).kind == error_kind::kOutcomeUnknown) {
    Handle(id, booking::journal_write_unknown{});
  } else {
    Handle(id, booking::platform_failed{});
  }
}

}  // namespace fireflyslip
