#include "program/agent_traffic.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "program/agent_policy.h"

namespace fireflyslip {
namespace {

using boost::asio::awaitable;
using delivery::attempt_end;
using delivery::entry_id;

/// Entries may send attempts until they have received the leaving notice.
constexpr seconds kDrainGracePeriod{3};

/// Minimum timeout of a non-idempotent call. It may exceed the deadline of the
/// entry, because the outcome of an aborted call stays `unknown` permanently.
constexpr seconds kMinNonIdempotentCallTime{30};

/// Scheduling cost of a call to a service, in tokens.
constexpr std::uint64_t kServiceCallTokens = 1;

attempt_fate ToAttemptFate(delivery::attempt_status state) {
  switch (state) {
    case delivery::attempt_status::kQueued:
      return attempt_fate::kQueued;
    case delivery::attempt_status::kRunning:
      return attempt_fate::kRunning;
    case delivery::attempt_status::kRefused:
      return attempt_fate::kRefused;
    case delivery::attempt_status::kCompleted:
      return attempt_fate::kCompleted;
    case delivery::attempt_status::kUnknown:
      break;
  }
  return attempt_fate::kUnknown;
}

answer_end_message ToMessage(const delivery::send_end& action) {
  answer_end_message message;
  message.attempt = action.attempt;
  message.parts = action.end.parts;
  message.http_status = action.end.status;
  message.content_type = action.end.content_type;
  message.failed = action.end.kind.has_value();
  message.problem = action.end.kind.value_or(error_kind::kInternalError);
  message.detail = action.end.detail;
  message.conclusion = action.end.result;
  return message;
}

std::string ErrorName(error_kind kind) {
  return std::string(ErrorResponseFor(kind).name);
}

}  // namespace

agent_traffic::agent_traffic(io_thread& thread,
                             process_context& process,
                             send_function send)
    : thread_(thread),
      process_(process),
      send_(std::move(send)),
      timers_(thread.context()),
      client_(thread.context(), SingleUseConnections()),
      ledger_(attempt_ledger(),
              timers_,
              [this](const attempt_ledger::action& action) { Apply(action); }),
      scheduler_(
          request_scheduler(
              MakeSchedulingPolicy({}, process.settings().upstream_slots)),
          timers_,
          [this](const request_scheduler::action& action) { Apply(action); }),
      journals_(
          thread.context(),
          process,
          timers_,
          {
              [this](const attempt_id& attempt) { StartUpstreamCall(attempt); },
              [this](const attempt_id& attempt, const stored_answer& answer) {
                OnClaimAnswer(attempt, answer);
              },
              [this](const attempt_id& attempt, const error& refusal) {
                OnClaimRefused(attempt, refusal);
              },
          }) {}

void agent_traffic::Start() {
  timers_.SubscribePeriodic(process_.settings().load_report_interval,
                            [this] { SendLoadReports(); });
}

void agent_traffic::Drain() {
  if (!draining_since_) {
    draining_since_ = MonotonicNow();
    SendLoadReports();
  }
}

std::size_t agent_traffic::in_progress() const {
  const std::size_t active = attempts_.size() + ledger_.core().kept_answers();
  const bool in_grace = draining_since_ && !refuses_new_work();
  return in_grace ? std::max<std::size_t>(active, 1) : active;
}

void agent_traffic::OnSnapshot(snapshot_pointer snapshot) {
  const bool changed = snapshot->revision > snapshot_->revision;
  const bool accepted = accepts_work();
  snapshot_ = std::move(snapshot);
  if (changed) {
    request_scheduler::policy_changed event;
    event.policy = MakeSchedulingPolicy(snapshot_->configuration,
                                        process_.settings().upstream_slots);
    scheduler_.Handle(event);
    journals_.OnSnapshot(*snapshot_);
  }
  if (accepts_work() != accepted) {
    SendLoadReports();
  }
}

void agent_traffic::OnPeerConnected(const hello_message& peer) {
  if (peer.role != ToString(process_role::kEntry)) {
    return;
  }
  OnPeerLost(peer.vm);
  entries_[peer.vm] = peer.incarnation;
  ledger_.Handle(delivery::link_resumed{entry_id{peer.vm, peer.incarnation}});
  SendLoadReports();
}

void agent_traffic::OnPeerLost(const vm_id& peer) {
  const auto found = entries_.find(peer);
  if (found != entries_.end()) {
    const entry_id entry{peer, found->second};
    entries_.erase(found);
    ledger_.Handle(delivery::link_lost{entry});
  }
}

void agent_traffic::OnMessage(const vm_id& peer, link_message message) {
  std::visit(
      overloaded{
          [&](attempt_message& attempt) {
            OnAttempt(peer, std::move(attempt));
          },
          [&](const cancel_message& cancel) {
            Record(event_kind::kAttemptCancelled, cancel.attempt);
            ledger_.Handle(delivery::cancel{cancel.attempt});
          },
          [&](const acknowledge_message& acknowledge) {
            ledger_.Handle(delivery::acknowledged{acknowledge.attempt});
          },
          [&](const query_fate_message& query) {
            ledger_.Handle(delivery::attempt_status_queried{query.attempt});
          },
          [](const auto&) {},
      },
      message);
}

void agent_traffic::OnAttempt(const vm_id& entry, attempt_message message) {
  const attempt_id id = message.attempt;
  const workspace_id workspace = message.workspace;
  if (id.request.vm != entry) {
    // The answer would be sent to an entry that did not send the attempt.
    process_.Record(event_kind::kAttemptDropped,
                    {{"cause", "foreign_id"}, {"entry", entry.value()}},
                    id.request, workspace);
    return;
  }
  process_.Record(event_kind::kAttemptReceived,
                  {{"attempt", std::to_string(id.number)}}, id.request,
                  workspace);
  const std::uint64_t offset = message.resume_offset;
  incoming_attempt_ = std::move(message);
  ledger_.Handle(delivery::attempt_arrived{id, offset});
  if (incoming_attempt_) {
    incoming_attempt_.reset();
    process_.Record(
        event_kind::kAttemptDropped,
        {{"cause", "duplicate"}, {"attempt", std::to_string(id.number)}},
        id.request, workspace);
  }
}

std::optional<error> agent_traffic::FindRefusal(
    const attempt_message& message) const {
  if (refuses_new_work()) {
    return error{error_kind::kUpstreamLeaving,
                 "the upstream is leaving and accepts no new attempts"};
  }
  if (snapshot_->revision == 0) {
    return error{error_kind::kNoUpstream,
                 "the agent has not received a configuration yet"};
  }
  const upstream_declaration* declared = snapshot_->configuration.Find(
      upstream_id(process_.settings().vm.value()));
  const bool matches =
      declared == nullptr ||
      (message.model.empty() ? declared->service == message.service
                             : declared->model == message.model);
  if (!matches) {
    return error{error_kind::kNoUpstream,
                 "the upstream serves another model or service"};
  }
  if (!message.model.empty() && !accepts_model_requests_) {
    return error{error_kind::kNoUpstream,
                 "the engine does not accept requests now"};
  }
  return std::nullopt;
}

void agent_traffic::Admit(const attempt_id& attempt) {
  attempt_message message = *std::exchange(incoming_attempt_, std::nullopt);
  // The entry may use an older configuration, in which the call is not declared
  // as non-idempotent.
  const bool needs_claim = message.model.empty() &&
                           (message.non_idempotent ||
                            snapshot_->configuration.IsNonIdempotent(
                                message.service, message.method, message.path));
  std::optional<error> refusal = FindRefusal(message);
  if (!refusal && needs_claim && message.key.empty()) {
    refusal = error{
        error_kind::kIdempotencyKeyRequired,
        "the call is declared as non-idempotent and needs an idempotency key"};
  }
  if (refusal) {
    process_.Record(event_kind::kAttemptRefused,
                    {{"error", ErrorName(refusal->kind)}}, attempt.request,
                    message.workspace);
    ledger_.Handle(
        delivery::refuse_attempt{attempt, refusal->kind, refusal->detail});
    return;
  }
  active_attempt& active = attempts_[attempt];
  active.message = std::make_shared<attempt_message>(std::move(message));
  active.arrival = MonotonicNow();
  active.deadline = active.arrival + milliseconds(active.message->deadline_ms);
  active.needs_claim = needs_claim;
  request_scheduler::enqueue event;
  event.attempt = attempt;
  event.workspace = active.message->workspace;
  event.weight = active.message->weight > 0 ? active.message->weight : 1;
  event.rank = active.message->rank;
  event.deadline = active.deadline;
  event.cost_tokens =
      active.message->model.empty()
          ? kServiceCallTokens
          : std::max<std::uint64_t>(active.message->estimated_tokens, 1);
  event.resumable = !active.message->model.empty();
  event.suspect = active.message->suspect;
  Record(event_kind::kAttemptQueued, attempt);
  scheduler_.Handle(std::move(event));
}

void agent_traffic::StartAttempt(const attempt_id& attempt) {
  active_attempt& active = attempts_.at(attempt);
  process_.metrics().ObserveSeconds(
      "fireflyslip_queue_seconds",
      {{"rank", std::string(ToString(active.message->rank))}},
      ToSeconds(MonotonicNow() - active.arrival));
  if (!active.was_started) {
    active.was_started = true;
    ledger_.Handle(delivery::run_started{attempt});
  } else {
    Record(event_kind::kAttemptResumed, attempt,
           {{"offset", std::to_string(active.message->resume_offset)}});
  }
  if (active.needs_claim) {
    active.phase = attempt_phase::kClaiming;
    // Keeps the message alive, because `Claim()` removes the attempt from the
    // map if it refuses the claim immediately.
    const std::shared_ptr<attempt_message> message = active.message;
    journals_.Claim(*message, active.deadline);
  } else {
    StartUpstreamCall(attempt);
  }
}

void agent_traffic::StartUpstreamCall(const attempt_id& attempt) {
  active_attempt& active = attempts_.at(attempt);
  const endpoint& upstream = *process_.settings().upstream;
  active.phase = attempt_phase::kRunning;
  active.parts = 0;
  active.crashed = false;
  active.call = std::make_shared<upstream_call>(
      client_, http_endpoint{upstream.address, upstream.port});
  time_point deadline = active.deadline;
  if (active.needs_claim) {
    Record(event_kind::kClaimWritten, attempt);
    deadline = std::max(deadline, MonotonicNow() + kMinNonIdempotentCallTime);
  }
  Record(event_kind::kAttemptStarted, attempt);
  boost::asio::co_spawn(thread_.context(),
                        RunCall(attempt, active.message, active.call, deadline),
                        boost::asio::detached);
}

awaitable<void> agent_traffic::RunCall(attempt_id attempt,
                                       std::shared_ptr<attempt_message> message,
                                       std::shared_ptr<upstream_call> call,
                                       time_point deadline) {
  const upstream_call::part_function on_part = [this, &attempt](
                                                   const model_version& version,
                                                   std::string data) {
    ++attempts_.at(attempt).parts;
    version_ = version;
    ledger_.Handle(delivery::part_produced{attempt, version, std::move(data)});
    attempts_.at(attempt).message->resume_version = version;
  };
  const result<upstream_result> ended =
      co_await call->Run(*message, deadline, on_part);
  OnRunEnded(attempt, ended);
}

void agent_traffic::OnRunEnded(const attempt_id& attempt,
                               const result<upstream_result>& ended) {
  active_attempt& active = attempts_.at(attempt);
  if (active.needs_claim) {
    journals_.Finish(attempt, ended);
    FinishAttempt(attempt, kServiceCallTokens);
    return;
  }
  if (active.call->connection_lost()) {
    ReportCrash();
  }
  attempt_message& message = *active.message;
  const std::uint64_t parts = active.parts;
  message.resume_offset += parts;
  if (IsOk(ended)) {
    ReportAnswer(attempt, ValueOf(ended));
  } else if (active.preempting) {
    active.preempting = false;
    active.was_preempted = true;
    active.phase = attempt_phase::kQueued;
    active.call.reset();
    Record(event_kind::kAttemptPreempted, attempt,
           {{"parts", std::to_string(parts)}});
    scheduler_.Handle(request_scheduler::preemption_completed{attempt, parts});
    return;
  } else {
    error failure = ErrorOf(ended);
    if (active.crashed) {
      failure = error{error_kind::kUpstreamFailed, "the engine crashed"};
    }
    // The outcome cannot be `not_run` if the attempt ran before a preemption or
    // produced a part, whatever the error of this run.
    const bool ran_before = active.was_preempted || parts > 0;
    ReportFailure(attempt, failure,
                  ran_before ? outcome::kUnknown
                             : ErrorResponseFor(failure.kind).default_outcome);
  }
  FinishAttempt(attempt, message.model.empty() ? kServiceCallTokens : parts);
}

void agent_traffic::StopAttempt(const attempt_id& attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) {
    return;
  }
  active_attempt& active = found->second;
  switch (active.phase) {
    case attempt_phase::kQueued: {
      const bool was_started = active.was_started;
      attempts_.erase(found);
      scheduler_.Handle(request_scheduler::cancelled{attempt});
      if (was_started) {
        ReportFailure(attempt, error{error_kind::kOutcomeUnknown, "cancelled"},
                      outcome::kUnknown);
      }
      break;
    }
    case attempt_phase::kClaiming:
      journals_.Abandon(attempt);
      break;
    case attempt_phase::kRunning:
      // A non-idempotent call is not cancelled: its answer is recorded in the
      // journal for duplicates.
      if (!active.needs_claim) {
        active.preempting = false;
        active.call->Cancel();
      }
      break;
  }
}

void agent_traffic::PreemptAttempt(const attempt_id& attempt) {
  active_attempt& active = attempts_.at(attempt);
  if (active.call != nullptr) {
    active.preempting = true;
    active.call->Cancel();
  }
}

void agent_traffic::RefuseQueued(const request_scheduler::refuse& refusal) {
  Record(event_kind::kAttemptRefused, refusal.attempt,
         {{"error", ErrorName(refusal.kind)}});
  attempts_.erase(refusal.attempt);
  if (refusal.was_started) {
    ReportFailure(refusal.attempt,
                  error{refusal.kind,
                        "the attempt was preempted and not resumed in time"},
                  outcome::kUnknown);
  } else {
    ledger_.Handle(delivery::refuse_attempt{
        refusal.attempt, refusal.kind, "the scheduler refused the attempt"});
  }
}

void agent_traffic::OnClaimAnswer(const attempt_id& attempt,
                                  const stored_answer& answer) {
  const auto found = attempts_.find(attempt);
  const bool is_duplicate = found != attempts_.end() &&
                            found->second.phase == attempt_phase::kClaiming;
  if (is_duplicate) {
    Record(event_kind::kClaimDuplicate, attempt);
  }
  if (answer.body) {
    ReportAnswer(attempt, upstream_result{answer.status, answer.content_type,
                                          *answer.body});
  } else {
    ReportFailure(
        attempt,
        error{error_kind::kOutcomeUnknown,
              "the call was run, but its answer was too large to record"},
        outcome::kCompleted);
  }
  if (is_duplicate) {
    FinishAttempt(attempt, 0);
  }
}

void agent_traffic::OnClaimRefused(const attempt_id& attempt,
                                   const error& refusal) {
  if (refusal.kind == error_kind::kOutcomeUnknown) {
    Record(event_kind::kClaimUnknown, attempt);
  }
  ReportFailure(attempt, refusal,
                ErrorResponseFor(refusal.kind).default_outcome);
  const auto found = attempts_.find(attempt);
  if (found != attempts_.end() &&
      found->second.phase == attempt_phase::kClaiming) {
    FinishAttempt(attempt, 0);
  }
}

void agent_traffic::ReportAnswer(const attempt_id& attempt,
                                 const upstream_result& answer) {
  const auto found = attempts_.find(attempt);
  if (found != attempts_.end() && found->second.message->model.empty()) {
    ledger_.Handle(delivery::part_produced{attempt, {}, answer.body});
  }
  attempt_end end;
  end.status = answer.http_status;
  end.content_type = answer.content_type;
  ledger_.Handle(delivery::run_ended{attempt, std::move(end)});
  Record(event_kind::kAttemptEnded, attempt,
         {{"status", std::to_string(answer.http_status)}});
}

void agent_traffic::ReportFailure(const attempt_id& attempt,
                                  const error& failure,
                                  outcome conclusion) {
  attempt_end end;
  end.kind = failure.kind;
  end.detail = failure.detail;
  end.result = conclusion;
  ledger_.Handle(delivery::run_ended{attempt, std::move(end)});
  Record(event_kind::kAttemptEnded, attempt,
         {{"error", ErrorName(failure.kind)},
          {"outcome", std::string(ToString(conclusion))}});
}

void agent_traffic::FinishAttempt(const attempt_id& attempt,
                                  std::uint64_t tokens) {
  attempts_.erase(attempt);
  scheduler_.Handle(request_scheduler::finished{attempt, tokens});
}

void agent_traffic::Apply(const attempt_ledger::action& action) {
  std::visit(
      overloaded{
          [&](const delivery::admit& admitted) { Admit(admitted.attempt); },
          [&](const delivery::stop_run& stop) { StopAttempt(stop.attempt); },
          [&](const delivery::send_part& part) {
            send_(part.attempt.request.vm,
                  answer_part_message{part.attempt, part.offset, part.version,
                                      part.data});
          },
          [&](const delivery::send_end& end) {
            send_(end.attempt.request.vm, ToMessage(end));
          },
          [&](const delivery::send_attempt_status& attempt_status) {
            process_.Record(event_kind::kFateQueried, {},
                            attempt_status.attempt.request);
            send_(attempt_status.attempt.request.vm,
                  fate_message{attempt_status.attempt,
                               ToAttemptFate(attempt_status.state)});
          },
      },
      action);
}

void agent_traffic::Apply(const request_scheduler::action& action) {
  std::visit(overloaded{
                 [&](const request_scheduler::start& start) {
                   StartAttempt(start.attempt);
                 },
                 [&](const request_scheduler::preempt& preempt) {
                   PreemptAttempt(preempt.attempt);
                 },
                 [&](const request_scheduler::refuse& refusal) {
                   RefuseQueued(refusal);
                 },
             },
             action);
}

void agent_traffic::SetModelAvailability(bool accepts, model_version version) {
  accepts_model_requests_ = accepts;
  version_ = std::move(version);
  SendLoadReports();
}

std::size_t agent_traffic::running_model_requests() const {
  return static_cast<std::size_t>(std::count_if(
      attempts_.begin(), attempts_.end(),
      [](const auto& item) { return !item.second.message->model.empty(); }));
}

void agent_traffic::OnUpstreamCrashed() {
  ReportCrash();
  for (auto& [attempt, active] : attempts_) {
    if (active.phase == attempt_phase::kRunning && active.crashed) {
      active.preempting = false;
      active.call->Cancel();
    }
  }
}

// All streams of a crashed engine break at about the same time. The first one
// reports all running attempts, so that each attempt is reported once.
void agent_traffic::ReportCrash() {
  upstream_crashed_message message;
  for (auto& [attempt, active] : attempts_) {
    if (active.phase == attempt_phase::kRunning &&
        !active.message->model.empty() && !active.crashed) {
      active.crashed = true;
      if (!active.message->fingerprint.empty()) {
        message.fingerprints.push_back(active.message->fingerprint);
      }
    }
  }
  if (message.fingerprints.empty()) {
    return;
  }
  process_.Record(
      event_kind::kUpstreamFailed,
      {{"fingerprints", std::to_string(message.fingerprints.size())}});
  for (const auto& [entry, incarnation] : entries_) {
    send_(entry, message);
  }
}

void agent_traffic::OnPause() {
  journals_.OnPause();
}

void agent_traffic::SendLoadReports() {
  const request_scheduler& queue = scheduler_.core();
  load_report_message report;
  report.running = queue.running();
  report.queued_tokens = static_cast<std::uint64_t>(queue.queued_tokens());
  report.tokens_per_second =
      queue.slot_rate() * process_.settings().upstream_slots;
  const upstream_declaration* declared = snapshot_->configuration.Find(
      upstream_id(process_.settings().vm.value()));
  if (declared != nullptr && declared->model) {
    report.model = *declared->model;
    report.version = version_;
  }
  report.accepts_work = accepts_work();
  for (const auto& [entry, incarnation] : entries_) {
    send_(entry, report);
  }
  metrics& gauges = process_.metrics();
  gauges.Set("fireflyslip_running_attempts", {},
             static_cast<double>(queue.running()));
  gauges.Set("fireflyslip_queued_attempts", {},
             static_cast<double>(queue.queued()));
  gauges.Set("fireflyslip_kept_answers", {},
             static_cast<double>(ledger_.core().kept_answers()));
}

void agent_traffic::Record(event_kind kind,
                           const attempt_id& attempt,
                           std::vector<event_field> fields) {
  const auto found = attempts_.find(attempt);
  fields.push_back({"attempt", std::to_string(attempt.number)});
  process_.Record(kind, std::move(fields), attempt.request,
                  found == attempts_.end() ? workspace_id()
                                           : found->second.message->workspace);
}

bool agent_traffic::accepts_work() const {
  return !draining_since_ && snapshot_->revision > 0 &&
         (!serves_model() || accepts_model_requests_);
}

bool agent_traffic::refuses_new_work() const {
  return draining_since_ &&
         *draining_since_ + kDrainGracePeriod <= MonotonicNow();
}

bool agent_traffic::serves_model() const {
  const upstream_declaration* declared = snapshot_->configuration.Find(
      upstream_id(process_.settings().vm.value()));
  return declared != nullptr && declared->model.has_value();
}

}  // namespace fireflyslip
