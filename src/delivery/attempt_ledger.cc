#include "fireflyslip/delivery/attempt_ledger.h"

#include <algorithm>
#include <cassert>

namespace fireflyslip {
namespace {

using delivery::attempt_end;
using delivery::attempt_status;
using delivery::entry_id;

entry_id EntryIdOf(const attempt_id& attempt) {
  return {attempt.request.vm, attempt.request.incarnation};
}

attempt_end MakeError(error_kind kind, std::string detail) {
  return {0, 0, kind, ErrorResponseFor(kind).default_outcome, std::move(detail),
          {}};
}

}  // namespace

static_assert(decision_core<attempt_ledger>);

attempt_ledger::attempt_ledger(attempt_ledger_settings settings)
    : settings_(settings) {}

std::vector<attempt_ledger::action> attempt_ledger::Handle(const event& event,
                                                           time_point now) {
  assert(now >= now_);
  now_ = now;
  std::visit([this](const auto& e) { On(e); }, event);
  Expire();
  return std::exchange(actions_, {});
}

std::optional<time_point> attempt_ledger::NextDeadline() const {
  std::optional<time_point> next;
  if (!entries_.empty()) {
    next = next_entry_scan_;
  }
  if (!expiries_.empty()) {
    next = std::min(*next, expiries_.begin()->first);
  }
  return next;
}

void attempt_ledger::On(const tick& /*event*/) {}

void attempt_ledger::On(const delivery::attempt_arrived& event) {
  entry_state& entry = EntryOf(event.attempt);
  entry.connected = true;
  if (const attempt_state* known = Find(event.attempt)) {
    if (known->stage == attempt_stage::kRefused) {
      actions_.emplace_back(delivery::send_end{event.attempt, known->end});
    }
    return;
  }
  if (IsDiscarded(entry, event.attempt)) {
    // An earlier copy may have run, so the outcome is not `not_run`.
    actions_.emplace_back(delivery::send_end{
        event.attempt,
        MakeError(error_kind::kOutcomeUnknown, "the attempt id is too old")});
    return;
  }
  attempt_state state;
  state.first_offset = state.next_offset = event.first_offset;
  entry.attempts.emplace(event.attempt, std::move(state));
  ++open_attempts_;
  actions_.emplace_back(delivery::admit{event.attempt});
}

void attempt_ledger::On(const delivery::run_started& event) {
  attempt_state* state = Find(event.attempt);
  if (state != nullptr && state->stage == attempt_stage::kQueued) {
    state->stage = attempt_stage::kRunning;
  } else {
    actions_.emplace_back(delivery::stop_run{event.attempt});
  }
}

void attempt_ledger::On(const delivery::part_produced& event) {
  attempt_state* state = Find(event.attempt);
  if (state == nullptr || (state->stage != attempt_stage::kRunning &&
                           state->stage != attempt_stage::kQueued)) {
    return;
  }
  if (!state->version) {
    state->version = event.version;
  } else if (*state->version != event.version) {
    actions_.emplace_back(delivery::stop_run{event.attempt});
    End(event.attempt, *state,
        MakeError(error_kind::kVersionChanged,
                  "the engine changed its version during the answer"));
    return;
  }
  const std::uint64_t offset = state->next_offset++;
  if (EntryOf(event.attempt).connected) {
    actions_.emplace_back(
        delivery::send_part{event.attempt, offset, event.version, event.data});
  }
  if (!state->has_dropped_parts) {
    state->parts.push_back({event.version, event.data});
    state->bytes += event.data.size();
    kept_bytes_ += event.data.size();
    running_with_parts_.insert(event.attempt);
    EnforceByteLimit();
  }
}

void attempt_ledger::On(const delivery::run_ended& event) {
  attempt_state* state = Find(event.attempt);
  if (state != nullptr && (state->stage == attempt_stage::kRunning ||
                           state->stage == attempt_stage::kQueued)) {
    End(event.attempt, *state, event.end);
  }
}

void attempt_ledger::On(const delivery::refuse_attempt& event) {
  const attempt_state* state = Find(event.attempt);
  if (state != nullptr && state->stage == attempt_stage::kQueued) {
    Refuse(event.attempt, event.kind, event.detail);
  }
}

void attempt_ledger::On(const delivery::cancel& event) {
  const attempt_state* state = Find(event.attempt);
  if (state == nullptr) {
    if (!IsDiscarded(EntryOf(event.attempt), event.attempt)) {
      Refuse(event.attempt, error_kind::kDeadlineExceeded,
             "cancelled before it arrived");
    }
  } else if (state->stage == attempt_stage::kQueued) {
    actions_.emplace_back(delivery::stop_run{event.attempt});
    Refuse(event.attempt, error_kind::kDeadlineExceeded,
           "cancelled before it ran");
  } else if (state->stage == attempt_stage::kRunning) {
    actions_.emplace_back(delivery::stop_run{event.attempt});
  }
}

void attempt_ledger::On(const delivery::acknowledged& event) {
  attempt_state* state = Find(event.attempt);
  if (state != nullptr && state->stage == attempt_stage::kEnded) {
    Close(event.attempt, *state);
  }
}

void attempt_ledger::On(const delivery::attempt_status_queried& event) {
  entry_state& entry = EntryOf(event.attempt);
  const attempt_state* state = Find(event.attempt);
  attempt_status status = attempt_status::kRefused;
  if (state != nullptr) {
    switch (state->stage) {
      case attempt_stage::kQueued:
        status = attempt_status::kQueued;
        break;
      case attempt_stage::kRunning:
        status = attempt_status::kRunning;
        break;
      case attempt_stage::kRefused:
        status = attempt_status::kRefused;
        break;
      case attempt_stage::kEnded:
      case attempt_stage::kClosed:
        status = attempt_status::kCompleted;
        break;
    }
  } else if (IsDiscarded(entry, event.attempt)) {
    status = attempt_status::kUnknown;
  } else {
    // Recorded before it is reported, so that a delayed first arrival does not
    // run.
    Refuse(event.attempt, error_kind::kDeadlineExceeded,
           "refused by a status query before it arrived");
  }
  actions_.emplace_back(delivery::send_attempt_status{event.attempt, status});
}

void attempt_ledger::On(const delivery::link_lost& event) {
  const auto found = entries_.find(event.entry);
  if (found != entries_.end()) {
    found->second.connected = false;
    found->second.last_event = now_;
  }
}

void attempt_ledger::On(const delivery::link_resumed& event) {
  const auto found = entries_.find(event.entry);
  if (found == entries_.end()) {
    return;
  }
  found->second.connected = true;
  found->second.last_event = now_;
  for (const auto& [attempt, state] : found->second.attempts) {
    if (state.stage == attempt_stage::kRunning ||
        state.stage == attempt_stage::kEnded) {
      Replay(attempt, state);
    }
  }
}

attempt_ledger::entry_state& attempt_ledger::EntryOf(
    const attempt_id& attempt) {
  if (entries_.empty()) {
    next_entry_scan_ = now_ + settings_.entry_retention;
  }
  entry_state& entry = entries_[EntryIdOf(attempt)];
  entry.last_event = now_;
  return entry;
}

attempt_ledger::attempt_state* attempt_ledger::Find(const attempt_id& attempt) {
  const auto entry = entries_.find(EntryIdOf(attempt));
  if (entry == entries_.end()) {
    return nullptr;
  }
  const auto found = entry->second.attempts.find(attempt);
  return found == entry->second.attempts.end() ? nullptr : &found->second;
}

bool attempt_ledger::IsDiscarded(const entry_state& entry,
                                 const attempt_id& attempt) {
  return entry.low_water_mark && attempt <= *entry.low_water_mark &&
         !entry.attempts.contains(attempt);
}

void attempt_ledger::Refuse(const attempt_id& attempt,
                            error_kind kind,
                            const std::string& detail) {
  entry_state& entry = EntryOf(attempt);
  const auto [position, inserted] = entry.attempts.try_emplace(attempt);
  if (!inserted) {
    --open_attempts_;
  }
  attempt_state& state = position->second;
  state.stage = attempt_stage::kRefused;
  state.end = MakeError(kind, detail);
  if (entry.connected) {
    actions_.emplace_back(delivery::send_end{attempt, state.end});
  }
  RecordClosed(entry, attempt);
}

void attempt_ledger::End(const attempt_id& attempt,
                         attempt_state& state,
                         delivery::attempt_end end) {
  --open_attempts_;
  running_with_parts_.erase(attempt);
  state.stage = attempt_stage::kEnded;
  state.end = std::move(end);
  state.end.parts = state.next_offset;
  state.expires = now_ + settings_.answer_retention;
  expiries_.emplace(state.expires, attempt);
  if (EntryOf(attempt).connected) {
    actions_.emplace_back(delivery::send_end{attempt, state.end});
  }
}

void attempt_ledger::Close(const attempt_id& attempt, attempt_state& state) {
  expiries_.erase({state.expires, attempt});
  DropParts(attempt, state);
  state.stage = attempt_stage::kClosed;
  state.end = {};
  RecordClosed(entries_.at(EntryIdOf(attempt)), attempt);
}

void attempt_ledger::DropParts(const attempt_id& attempt,
                               attempt_state& state) {
  kept_bytes_ -= state.bytes;
  state.bytes = 0;
  state.has_dropped_parts = state.has_dropped_parts || !state.parts.empty();
  state.parts = {};
  running_with_parts_.erase(attempt);
}

void attempt_ledger::Replay(const attempt_id& attempt,
                            const attempt_state& state) {
  if (state.has_dropped_parts) {
    // Parts that were lost with the link can no longer be replayed.
    actions_.emplace_back(delivery::send_end{
        attempt, MakeError(error_kind::kOutcomeUnknown,
                           "the answer was larger than the agent keeps")});
    return;
  }
  std::uint64_t offset = state.first_offset;
  for (const part& kept : state.parts) {
    actions_.emplace_back(
        delivery::send_part{attempt, offset++, kept.version, kept.data});
  }
  if (state.stage == attempt_stage::kEnded) {
    actions_.emplace_back(delivery::send_end{attempt, state.end});
  }
}

void attempt_ledger::RecordClosed(entry_state& entry,
                                  const attempt_id& attempt) {
  entry.closed.insert(attempt);
  while (entry.closed.size() > settings_.max_remembered) {
    const attempt_id oldest = *entry.closed.begin();
    entry.closed.erase(entry.closed.begin());
    entry.attempts.erase(oldest);
    entry.low_water_mark =
        std::max(entry.low_water_mark.value_or(oldest), oldest);
  }
}

void attempt_ledger::EnforceByteLimit() {
  // Parts of ended attempts are dropped first, because their entry has most
  // likely disconnected.
  while (kept_bytes_ > settings_.max_kept_bytes) {
    const auto ended = std::find_if(
        expiries_.begin(), expiries_.end(),
        [this](const auto& entry) { return Find(entry.second)->bytes > 0; });
    if (ended != expiries_.end()) {
      const attempt_id attempt = ended->second;
      DropParts(attempt, *Find(attempt));
    } else {
      const attempt_id attempt = *running_with_parts_.begin();
      DropParts(attempt, *Find(attempt));
    }
  }
}

void attempt_ledger::Expire() {
  while (!expiries_.empty() && expiries_.begin()->first <= now_) {
    const attempt_id attempt = expiries_.begin()->second;
    Close(attempt, *Find(attempt));
  }
  if (entries_.empty() || now_ < next_entry_scan_) {
    return;
  }
  std::erase_if(entries_, [this](const auto& item) {
    const entry_state& entry = item.second;
    return entry.closed.size() == entry.attempts.size() &&
           entry.last_event + settings_.entry_retention <= now_;
  });
  next_entry_scan_ = now_ + settings_.entry_retention;
}

}  // namespace fireflyslip
