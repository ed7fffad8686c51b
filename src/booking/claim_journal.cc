#include "fireflyslip/booking/claim_journal.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <cstdio>

namespace fireflyslip {
namespace {

constexpr std::size_t kMaxKeySize = 512;          // bytes
constexpr std::size_t kMaxContentTypeSize = 128;  // bytes
// Upper bound on the size that an answer without its body adds to an encoded
// claim: field names, status, digest, and a content type in which every byte is
// escaped. Reserved with the claim, so that a finished call can be recorded.
constexpr std::size_t kAnswerReserve = 450;  // bytes
constexpr char kSupersededReason[] =
    "a later incarnation of the agent holds the journal";

std::string MakeUpdateId(incarnation_number incarnation,
                         random_source& random) {
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), "%llx-%016llx%016llx",
                static_cast<unsigned long long>(incarnation),
                static_cast<unsigned long long>(random.Next()),
                static_cast<unsigned long long>(random.Next()));
  return text.data();
}

}  // namespace

static_assert(decision_core<claim_journal>);

claim_journal::claim_journal(claim_journal_settings settings)
    : settings_(settings) {}

std::vector<claim_journal::action> claim_journal::Handle(const event& event,
                                                         time_point now) {
  assert(now >= now_);
  now_ = now;
  EvictAnswers();
  std::visit([this](const auto& e) { On(e); }, event);
  ExpireWaiters();
  CallPlatform();
  return std::exchange(actions_, {});
}

std::optional<time_point> claim_journal::NextDeadline() const {
  std::optional<time_point> next;
  if (!timers_.empty()) {
    next = timers_.begin()->first;
  }
  const bool waits_for_platform =
      operation_ == operation::kNone &&
      (phase_ == phase::kReading ||
       (phase_ == phase::kActive && mutation_ != written_mutation_));
  if (waits_for_platform) {
    next = next ? std::min(*next, not_before_) : not_before_;
  }
  return next;
}

void claim_journal::On(const tick& /*event*/) {}

void claim_journal::On(const booking::started& event) {
  assert(phase_ == phase::kNotStarted);
  incarnation_ = event.incarnation;
  random_ = random_source(event.update_id_seed);
  phase_ = phase::kReading;
}

void claim_journal::On(const booking::claim_requested& event) {
  assert(phase_ != phase::kNotStarted);
  if (waiters_.contains(event.attempt)) {
    return;
  }
  const auto found = records_.find(event.key);
  if (found != records_.end()) {
    record& claim = found->second;
    if (claim.content.request != event.request) {
      Refuse(event.attempt, error_kind::kConflict,
             "the key was used for a different request");
      return;
    }
    if (claim.stage == claim_stage::kDone) {
      ReplyFrom(event.attempt, claim);
      return;
    }
    claim.waiters.push_back(event.attempt);
  } else {
    if (!IsPrintable(event.key.value(), kMaxKeySize)) {
      Refuse(event.attempt, error_kind::kInvalidRequest,
             "the idempotency key must be 1 to 512 printable characters");
      return;
    }
    if (event.deadline <= now_) {
      Refuse(event.attempt, error_kind::kDeadlineExceeded,
             "the deadline passed before the claim");
      return;
    }
    if (phase_ == phase::kSuperseded) {
      Refuse(event.attempt, error_kind::kUpstreamLeaving, kSupersededReason);
      return;
    }
    record claim;
    claim.claim_number = next_claim_number_++;
    SetContent(
        event.key, claim,
        journal_record{claim_state::kClaimed, event.request, std::nullopt});
    if (reserved_ > settings_.max_journal) {
      reserved_ -= claim.reserved;
      Refuse(event.attempt, error_kind::kJournalFull,
             "the journal has no room for another claim");
      return;
    }
    claim.waiters.push_back(event.attempt);
    records_.emplace(event.key, std::move(claim));
    ++mutation_;
  }
  waiters_.emplace(event.attempt, waiter{event.key, event.deadline, now_});
  const bool pending = records_.at(event.key).stage == claim_stage::kPending;
  SetTimer(event.attempt,
           pending ? std::min(event.deadline, now_ + settings_.claim_timeout)
                   : event.deadline);
}

void claim_journal::On(const booking::run_finished& event) {
  const auto found = records_.find(event.key);
  if (found == records_.end() || found->second.stage != claim_stage::kRunning) {
    return;
  }
  record& claim = found->second;
  stored_answer full{event.status, event.content_type, event.body,
                     digest::Of(event.body)};
  for (const attempt_id& attempt : claim.waiters) {
    actions_.emplace_back(booking::answer{attempt, full});
    UnregisterWaiter(attempt);
  }
  claim.waiters.clear();
  claim.stage = claim_stage::kDone;
  stored_answer kept = std::move(full);
  const bool valid_type = event.content_type.empty() ||
                          IsPrintable(event.content_type, kMaxContentTypeSize);
  if (!valid_type) {
    kept.content_type = "application/octet-stream";
  }
  if (!valid_type || event.body.size() > settings_.max_stored_body) {
    kept.body.reset();
  }
  SetContent(event.key, claim,
             {claim_state::kAnswered, claim.content.request, kept});
  if (reserved_ > settings_.max_journal) {
    kept.body.reset();
    SetContent(event.key, claim,
               {claim_state::kAnswered, claim.content.request, kept});
  }
  expiries_.emplace_back(now_ + settings_.answer_retention,
                         std::pair(event.key, claim.claim_number));
  ++mutation_;
}

void claim_journal::On(const booking::run_failed& event) {
  const auto found = records_.find(event.key);
  if (found == records_.end() || found->second.stage != claim_stage::kRunning) {
    return;
  }
  record& claim = found->second;
  if (!event.may_have_run) {
    RefuseWaiters(claim, error_kind::kNoUpstream,
                  "the service could not be reached");
    Erase(found);
    return;
  }
  RefuseWaiters(claim, error_kind::kUpstreamFailed,
                "the service failed during the call");
  claim.stage = claim_stage::kDone;
  SetContent(event.key, claim,
             journal_record{claim_state::kUnknown, claim.content.request,
                            std::nullopt});
  ++mutation_;
}

void claim_journal::On(const booking::journal_read& event) {
  assert(operation_ == operation::kRead);
  operation_ = operation::kNone;
  if (discard_read_ || phase_ == phase::kSuperseded) {
    discard_read_ = false;
    return;
  }
  const result<journal_document> decoded = DecodeJournal(event.body);
  if (!IsOk(decoded)) {
    // Overwriting an object that cannot be decoded would lose claims, so it is
    // treated as an outage of the platform until an operator repairs it.
    not_before_ = now_ + settings_.retry_delay;
    return;
  }
  const journal_document& document = ValueOf(decoded);
  highest_incarnation_ = std::max(highest_incarnation_, document.incarnation);
  const auto own_write = std::find_if(
      unresolved_.begin(), unresolved_.end(), [&](const pending_write& write) {
        return write.update_id == document.update_id;
      });
  if (own_write != unresolved_.end()) {
    ConfirmWrite(pending_write(*own_write), event.version);
  } else if (owned_ && document.update_id == last_update_id_) {
    phase_ = phase::kActive;
  } else if (document.incarnation > incarnation_) {
    Supersede(kSupersededReason);
  } else {
    if (version_ != event.version) {
      // Updates that expect the previous version can no longer take effect.
      unresolved_.clear();
    }
    Merge(document);
    version_ = event.version;
    last_update_id_.clear();
    phase_ = phase::kActive;
    ++mutation_;
  }
}

void claim_journal::On(const booking::journal_missing& /*event*/) {
  assert(operation_ == operation::kRead);
  operation_ = operation::kNone;
  if (discard_read_ || phase_ == phase::kSuperseded) {
    discard_read_ = false;
    return;
  }
  if (version_) {
    unresolved_.clear();
  }
  version_.reset();
  last_update_id_.clear();
  phase_ = phase::kActive;
  ++mutation_;
}

void claim_journal::On(const booking::journal_written& event) {
  assert(operation_ == operation::kWrite);
  operation_ = operation::kNone;
  if (phase_ == phase::kActive) {
    ConfirmWrite(pending_write(unresolved_.back()), event.version);
  }
  // Otherwise the process was paused in between, and the subsequent read shows
  // whether this update is still the latest one.
}

void claim_journal::ReadBack() {
  assert(operation_ == operation::kWrite);
  operation_ = operation::kNone;
  if (phase_ == phase::kSuperseded) {
    return;
  }
  phase_ = phase::kReading;
  not_before_ = now_;
}

void claim_journal::On(const booking::journal_conflict& /*event*/) {
  ReadBack();
}

void claim_journal::On(const booking::journal_write_unknown& /*event*/) {
  ReadBack();
}

void claim_journal::On(const booking::platform_failed& /*event*/) {
  assert(operation_ != operation::kNone);
  if (operation_ == operation::kWrite && !unresolved_.empty()) {
    unresolved_.pop_back();
  }
  operation_ = operation::kNone;
  discard_read_ = false;
  not_before_ = now_ + settings_.retry_delay;
}

void claim_journal::On(const booking::resumed_after_pause& /*event*/) {
  if (phase_ != phase::kActive && phase_ != phase::kReading) {
    return;
  }
  phase_ = phase::kReading;
  discard_read_ = operation_ == operation::kRead;
  not_before_ = now_;
}

void claim_journal::On(const booking::stopped& /*event*/) {
  Supersede("another upstream owns the journal");
}

void claim_journal::On(const booking::attempt_abandoned& event) {
  const auto waiting = waiters_.find(event.attempt);
  if (waiting == waiters_.end()) {
    return;
  }
  const auto found = records_.find(waiting->second.key);
  if (found->second.stage == claim_stage::kPending) {
    Refuse(event.attempt, error_kind::kDeadlineExceeded,
           "abandoned before the claim was written");
    RemoveWaiter(found, event.attempt);
  }
}

void claim_journal::Merge(const journal_document& document) {
  if (!owned_) {
    // The takeover has not succeeded yet, so the results of earlier reads are
    // obsolete.
    for (auto it = records_.begin(); it != records_.end();) {
      const auto current = it++;
      if (current->second.stage == claim_stage::kDone) {
        Erase(current);
      }
    }
  }
  for (const auto& [key, read] : document.records) {
    journal_record content = read;
    if (content.state == claim_state::kClaimed) {
      content.state = claim_state::kUnknown;
    }
    const auto [position, inserted] = records_.try_emplace(key);
    record& claim = position->second;
    const bool replaces = inserted || claim.stage == claim_stage::kPending ||
                          (claim.stage == claim_stage::kDone &&
                           claim.content.state == claim_state::kUnknown &&
                           content.state == claim_state::kAnswered);
    if (!replaces) {
      continue;
    }
    if (claim.content.request != content.request) {
      RefuseWaiters(claim, error_kind::kConflict,
                    "the key was used for a different request");
    }
    claim.stage = claim_stage::kDone;
    claim.claim_number = next_claim_number_++;
    SetContent(key, claim, content);
    for (const attempt_id& attempt : claim.waiters) {
      ReplyFrom(attempt, claim);
      UnregisterWaiter(attempt);
    }
    claim.waiters.clear();
    if (content.state == claim_state::kAnswered) {
      expiries_.emplace_back(now_ + settings_.answer_retention,
                             std::pair(key, claim.claim_number));
    }
  }
}

void claim_journal::Supersede(const char* reason) {
  phase_ = phase::kSuperseded;
  owned_ = false;
  unresolved_.clear();
  for (auto it = records_.begin(); it != records_.end();) {
    const auto current = it++;
    if (current->second.stage == claim_stage::kPending) {
      RefuseWaiters(current->second, error_kind::kUpstreamLeaving, reason);
      Erase(current);
    }
  }
}

void claim_journal::ConfirmWrite(const pending_write& write,
                                 object_version version) {
  phase_ = phase::kActive;
  owned_ = true;
  version_ = version;
  last_update_id_ = write.update_id;
  written_mutation_ = write.mutation;
  // The other updates expect a version that is no longer current.
  unresolved_.clear();
  for (const auto& [key, number] : write.claims) {
    const auto found = records_.find(key);
    if (found == records_.end() || found->second.claim_number != number ||
        found->second.stage != claim_stage::kPending) {
      continue;  // Withdrawn; the next update removes it from the object.
    }
    record& claim = found->second;
    claim.stage = claim_stage::kRunning;
    actions_.emplace_back(booking::run_call{claim.waiters.front(), key});
    for (const attempt_id& attempt : claim.waiters) {
      SetTimer(attempt, waiters_.at(attempt).deadline);
    }
  }
}

void claim_journal::CallPlatform() {
  if (operation_ != operation::kNone || now_ < not_before_) {
    return;
  }
  if (phase_ == phase::kReading) {
    operation_ = operation::kRead;
    actions_.emplace_back(booking::read_journal{});
  } else if (phase_ == phase::kActive && mutation_ != written_mutation_) {
    StartWrite();
  }
}

void claim_journal::StartWrite() {
  pending_write write;
  write.update_id = MakeUpdateId(incarnation_, random_);
  write.mutation = mutation_;
  std::string joined;
  joined.reserve(reserved_);
  for (const auto& [key, claim] : records_) {
    if (!joined.empty()) {
      joined += ',';
    }
    joined += claim.encoded;
    if (claim.stage == claim_stage::kPending) {
      write.claims.emplace_back(key, claim.claim_number);
    }
  }
  actions_.emplace_back(booking::write_journal{
      version_, EncodeJournal(incarnation_, write.update_id, joined)});
  unresolved_.push_back(std::move(write));
  operation_ = operation::kWrite;
  not_before_ = now_ + settings_.min_write_interval;
}

void claim_journal::ExpireWaiters() {
  while (!timers_.empty() && timers_.begin()->first <= now_) {
    const attempt_id attempt = timers_.begin()->second;
    const waiter& waiting = waiters_.at(attempt);
    const auto found = records_.find(waiting.key);
    if (found->second.stage == claim_stage::kRunning) {
      Refuse(attempt, error_kind::kOutcomeUnknown,
             "the call did not end before the deadline");
    } else if (waiting.deadline <= now_) {
      Refuse(attempt, error_kind::kDeadlineExceeded,
             "the claim was not written before the deadline");
    } else {
      Refuse(attempt, error_kind::kPlatformUnavailable,
             "the claim could not be written in time");
    }
    RemoveWaiter(found, attempt);
  }
}

void claim_journal::EvictAnswers() {
  while (!expiries_.empty() && expiries_.front().first <= now_) {
    const auto [key, number] = expiries_.front().second;
    expiries_.pop_front();
    const auto found = records_.find(key);
    if (found != records_.end() && found->second.claim_number == number) {
      reserved_ -= found->second.reserved;
      records_.erase(found);  // The next update omits it.
    }
  }
}

void claim_journal::Refuse(const attempt_id& attempt,
                           error_kind kind,
                           std::string detail) {
  actions_.emplace_back(booking::refuse{attempt, kind, std::move(detail)});
}

void claim_journal::RefuseWaiters(record& claim,
                                  error_kind kind,
                                  const char* detail) {
  for (const attempt_id& attempt : claim.waiters) {
    Refuse(attempt, kind, detail);
    UnregisterWaiter(attempt);
  }
  claim.waiters.clear();
}

void claim_journal::ReplyFrom(const attempt_id& attempt, const record& claim) {
  if (claim.content.state == claim_state::kAnswered) {
    actions_.emplace_back(booking::answer{attempt, *claim.content.answer});
  } else {
    Refuse(attempt, error_kind::kOutcomeUnknown,
           "an earlier call with this key may have run");
  }
}

void claim_journal::SetTimer(const attempt_id& attempt, time_point when) {
  waiter& waiting = waiters_.at(attempt);
  timers_.erase({waiting.timeout_at, attempt});
  waiting.timeout_at = when;
  timers_.emplace(when, attempt);
}

void claim_journal::UnregisterWaiter(const attempt_id& attempt) {
  const auto found = waiters_.find(attempt);
  if (found != waiters_.end()) {
    timers_.erase({found->second.timeout_at, attempt});
    waiters_.erase(found);
  }
}

void claim_journal::RemoveWaiter(record_map::iterator found,
                                 const attempt_id& attempt) {
  record& claim = found->second;
  std::erase(claim.waiters, attempt);
  if (claim.waiters.empty() && claim.stage == claim_stage::kPending) {
    // An update in progress may still make this claim durable, but the call
    // never runs: `ConfirmWrite` only runs claims that have a record, and a
    // later incarnation runs no claim that it reads from the journal.
    Erase(found);
  }
  UnregisterWaiter(attempt);
}

void claim_journal::Erase(record_map::iterator found) {
  reserved_ -= found->second.reserved;
  records_.erase(found);
  ++mutation_;
}

void claim_journal::SetContent(const idempotency_key& key,
                               record& claim,
                               journal_record content) {
  claim.content = std::move(content);
  claim.encoded = EncodeRecord(key, claim.content);
  reserved_ -= claim.reserved;
  claim.reserved = claim.encoded.size() + 1 +
                   (claim.stage == claim_stage::kDone ? 0 : kAnswerReserve);
  reserved_ += claim.reserved;
}

}  // namespace fireflyslip
