#include "program/request_forwarder.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <string>
#include <utility>

namespace fireflyslip {
namespace {

using boost::asio::awaitable;

// Timeout for a lost link to be reestablished, and then for the agent to report
// the outcome of a non-idempotent attempt. It exceeds the 3 s after which a
// silent link is closed and reopened.
constexpr duration kOutcomeQueryTimeout = seconds(5);

// Time that the agent has after the deadline to confirm that a queued attempt
// was removed, so that the outcome is `not_run` instead of `unknown`.
constexpr duration kCancelConfirmationTimeout = milliseconds(200);

duration TimeUntil(time_point time) {
  return std::max(time - MonotonicNow(), duration(0));
}

bool IsIdempotent(const request_context& context) {
  return !context.non_idempotent;
}

answer_assembler_settings AssemblerSettings(const request_context& context) {
  answer_assembler_settings settings;
  settings.idempotent = IsIdempotent(context);
  return settings;
}

error DeadlineError(const request_context& context) {
  return context.may_have_run
             ? error{error_kind::kOutcomeUnknown,
                     "the answer was not complete at the deadline"}
             : error{error_kind::kDeadlineExceeded,
                     "the request was not run before the deadline"};
}

error CrashError() {
  return {error_kind::kRequestCrashesUpstream,
          "the request repeatedly crashed upstreams and is blocked"};
}

metrics::labels RankLabel(const request_context& context) {
  return {{"rank", std::string(ToString(context.rank))}};
}

}  // namespace

request_forwarder::request_forwarder(boost::asio::io_context& context,
                                     process_context& process,
                                     timer_service& timers,
                                     upstream_directory& upstreams,
                                     crash_guard& crashes,
                                     send_function send)
    : context_(context),
      process_(process),
      upstreams_(upstreams),
      crashes_(crashes),
      send_(std::move(send)),
      retries_(retry_controller(random_source(process.incarnation())),
               timers,
               [this](const auto& action) { retry_decision_ = action; }) {}

void request_forwarder::OnAgentConnected(const vm_id& agent,
                                         incarnation_number incarnation) {
  for (auto& [request, in_flight] : in_flight_) {
    if (in_flight.upstream == agent) {
      in_flight.events->Push(link_restored{incarnation});
    }
  }
}

void request_forwarder::OnAgentLost(const vm_id& agent) {
  for (auto& [request, in_flight] : in_flight_) {
    if (in_flight.upstream == agent) {
      in_flight.events->Push(link_lost{});
    }
  }
}

request_forwarder::in_flight_request* request_forwarder::FindInFlight(
    const vm_id& agent,
    const attempt_id& attempt) {
  const auto found = in_flight_.find(attempt.request);
  return found != in_flight_.end() && found->second.upstream == agent
             ? &found->second
             : nullptr;
}

void request_forwarder::OnMessage(const vm_id& agent,
                                  answer_part_message message) {
  if (in_flight_request* in_flight = FindInFlight(agent, message.attempt)) {
    in_flight->events->Push(std::move(message));
  }
}

void request_forwarder::OnMessage(const vm_id& agent,
                                  answer_end_message message) {
  if (in_flight_request* in_flight = FindInFlight(agent, message.attempt)) {
    in_flight->events->Push(std::move(message));
    return;
  }
  // The request has already ended; the acknowledgement lets the agent discard
  // the answer.
  process_.Record(event_kind::kAnswerDropped, {{"upstream", agent.value()}},
                  message.attempt.request);
  send_(agent, acknowledge_message{message.attempt});
}

void request_forwarder::OnMessage(const vm_id& agent,
                                  const fate_message& message) {
  if (in_flight_request* in_flight = FindInFlight(agent, message.attempt)) {
    in_flight->events->Push(message);
  }
}

awaitable<status> request_forwarder::Forward(request_context& context,
                                             answer_writer& writer) {
  in_flight_request& in_flight = in_flight_[context.id];
  in_flight.upstream = context.upstream;
  in_flight.events = std::make_unique<async_queue<attempt_event>>(context_);
  // The rank of the request is not passed on: the controller would hedge urgent
  // requests, and the forwarder does not support hedging yet.
  retries_.Handle(retry_controller::first_attempt{context.id, context.workspace,
                                                  request_rank::kStandard,
                                                  IsIdempotent(context)});
  forwarding_state state{
      context,   writer,
      in_flight, answer_assembler(context.id, AssemblerSettings(context)),
      {},        {},
      {},        {}};
  const status ended = co_await RunAttempts(state);
  in_flight_.erase(context.id);
  retries_.Handle(retry_controller::answered{context.id, std::nullopt});
  co_return ended;
}

awaitable<status> request_forwarder::RunAttempts(forwarding_state& state) {
  request_context& context = state.context;
  while (true) {
    const attempt_result result = co_await RunAttempt(state);
    const bool not_run = result.ended != attempt_result::kind::kFinished &&
                         result.known_outcome == outcome::kNotRun;
    context.may_have_run = context.may_have_run || !not_run;
    upstreams_.OnAttemptEnded(context, state.in_flight.upstream,
                              result.ended == attempt_result::kind::kFailed &&
                                  result.known_outcome == outcome::kUnknown);
    switch (result.ended) {
      case attempt_result::kind::kFinished:
        crashes_.OnCompleted(context.fingerprint);
        co_return std::monostate();
      case attempt_result::kind::kCallerDisconnected:
        process_.Record(event_kind::kAttemptCancelled,
                        {{"reason", "caller left"}}, context.id,
                        context.workspace);
        co_return FailRequest(state, result.problem);
      case attempt_result::kind::kTimedOut:
        co_return FailRequest(state, DeadlineError(context));
      case attempt_result::kind::kFailed:
        break;
    }
    if (result.known_outcome == outcome::kCompleted) {
      context.known_outcome = outcome::kCompleted;
      co_return result.problem;
    }
    if (result.final) {
      co_return FailRequest(state, result.problem);
    }
    const status prepared = co_await PrepareRetry(state, result);
    if (!IsOk(prepared)) {
      co_return FailRequest(state, ErrorOf(prepared));
    }
  }
}

error request_forwarder::FailRequest(forwarding_state& state, error problem) {
  state.context.known_outcome =
      state.context.may_have_run ? outcome::kUnknown : outcome::kNotRun;
  return problem;
}

retry_controller::action request_forwarder::DecideRetry(
    const forwarding_state& state,
    const attempt_result& failed) {
  const request_context& context = state.context;
  const std::uint64_t forwarded = state.assembler.next_offset();
  retry_controller::attempt_failed event;
  event.request = context.id;
  event.workspace = context.workspace;
  event.attempt = context.attempts - 1;
  event.known_outcome = failed.known_outcome;
  event.kind = failed.problem.kind;
  event.idempotent = IsIdempotent(context);
  event.bytes_forwarded = forwarded;
  event.resumable =
      !context.response_started ||
      (state.version && upstreams_.IsServed(context.model, *state.version));
  event.remaining = TimeUntil(context.deadline);
  retry_decision_.reset();
  retries_.Handle(event);
  if (!retry_decision_) {
    return retry_controller::give_up{context.id, failed.problem.kind};
  }
  return *retry_decision_;
}

std::optional<error> request_forwarder::AbandonAttempt(
    forwarding_state& state,
    const attempt_result& failed) {
  if (failed.abandoned) {
    return std::nullopt;
  }
  const bool never_ran = failed.known_outcome == outcome::kNotRun;
  const delivery::attempt_lost lost{state.attempt, never_ran};
  for (const auto& action : state.assembler.Handle(lost, MonotonicNow())) {
    if (const auto* fail = std::get_if<delivery::fail>(&action)) {
      return error{fail->kind, failed.problem.detail};
    }
  }
  return std::nullopt;
}

void request_forwarder::RestartIfNotResumable(forwarding_state& state) {
  request_context& context = state.context;
  if (!state.version || context.response_started ||
      upstreams_.IsServed(context.model, *state.version)) {
    return;
  }
  // No part was sent to the caller yet, so the answer can start over on any
  // version.
  state.assembler = answer_assembler(context.id, AssemblerSettings(context));
  state.version.reset();
  state.writer.Restart();
  context.parts = 0;
}

void request_forwarder::RecordRetry(const forwarding_state& state,
                                    const error& reason) {
  process_.metrics().Count("fireflyslip_retries_total",
                           RankLabel(state.context));
  process_.Record(event_kind::kRetryScheduled,
                  {{"after", std::string(ErrorResponseFor(reason.kind).name)},
                   {"failed", state.in_flight.upstream.value()}},
                  state.context.id, state.context.workspace);
}

awaitable<status> request_forwarder::PrepareRetry(
    forwarding_state& state,
    const attempt_result& failed) {
  request_context& context = state.context;
  attempt_result reason = failed;
  state.excluded.insert(state.in_flight.upstream);
  bool is_abandoned = false;
  while (true) {
    if (crashes_.IsBlocked(context.fingerprint)) {
      co_return CrashError();
    }
    const retry_controller::action decision = DecideRetry(state, reason);
    const auto* retry =
        std::get_if<retry_controller::schedule_retry>(&decision);
    if (retry == nullptr) {
      co_return reason.problem;
    }
    if (!is_abandoned) {
      is_abandoned = true;
      if (const auto stopped = AbandonAttempt(state, failed)) {
        co_return *stopped;
      }
    }
    RecordRetry(state, reason.problem);
    co_await Sleep(retry->delay);
    if (crashes_.IsBlocked(context.fingerprint)) {
      co_return CrashError();
    }
    RestartIfNotResumable(state);
    const result<vm_id> next =
        upstreams_.Route(context, state.excluded, state.version);
    if (IsOk(next)) {
      state.in_flight.upstream = ValueOf(next);
      co_return std::monostate();
    }
    // A failed routing counts as an attempt, so that the limit of the retry
    // controller also bounds these retries.
    ++context.attempts;
    reason.problem = ErrorOf(next);
    reason.known_outcome = outcome::kNotRun;
  }
}

awaitable<void> request_forwarder::Sleep(duration delay) {
  boost::asio::steady_timer timer(context_);
  timer.expires_after(delay);
  boost::system::error_code ignored;
  co_await timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

attempt_message request_forwarder::MakeAttemptMessage(
    const forwarding_state& state) const {
  const request_context& context = state.context;
  attempt_message message;
  message.attempt = state.attempt;
  message.workspace = context.workspace;
  message.weight = context.weight;
  message.rank = context.rank;
  message.deadline_ms = static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(TimeUntil(context.deadline))
          .count());
  message.model = context.model;
  message.service = context.service;
  message.method = context.request.method;
  message.path = context.service_path;
  message.content_type = std::string(context.request.Field("Content-Type"));
  message.body = context.request.body;
  message.key = context.key;
  message.non_idempotent = context.non_idempotent;
  message.estimated_tokens = context.estimated_tokens;
  message.resume_offset = state.assembler.next_offset();
  message.resume_version = state.version.value_or(model_version());
  message.suspect = crashes_.IsSuspect(context.fingerprint);
  message.fingerprint = context.fingerprint;
  return message;
}

void request_forwarder::SendAttempt(forwarding_state& state) {
  request_context& context = state.context;
  state.attempt = {context.id, ++context.attempts};
  state.outcome_deadline.reset();
  state.assembler.Handle(
      delivery::attempt_sent{state.attempt, state.assembler.next_offset()},
      MonotonicNow());
  state.in_flight.incarnation =
      upstreams_.IncarnationOf(state.in_flight.upstream).value_or(0);
  state.in_flight.events =
      std::make_unique<async_queue<attempt_event>>(context_);
  process_.metrics().Count("fireflyslip_attempts_total", RankLabel(context));
  process_.Record(event_kind::kAttemptSent,
                  {{"upstream", state.in_flight.upstream.value()},
                   {"attempt", std::to_string(state.attempt.number)},
                   {"offset", std::to_string(state.assembler.next_offset())}},
                  context.id, context.workspace);
  send_(state.in_flight.upstream, MakeAttemptMessage(state));
}

awaitable<request_forwarder::attempt_result> request_forwarder::RunAttempt(
    forwarding_state& state) {
  SendAttempt(state);
  while (true) {
    optional_result ended = co_await WaitForEvent(state);
    if (ended) {
      co_return *ended;
    }
  }
}

awaitable<request_forwarder::optional_result> request_forwarder::WaitForEvent(
    forwarding_state& state) {
  time_point limit = state.context.deadline;
  if (state.outcome_deadline) {
    limit = std::min(limit, *state.outcome_deadline);
  }
  if (const auto gap_deadline = state.assembler.NextDeadline()) {
    limit = std::min(limit, *gap_deadline);
  }
  std::optional<attempt_event> event =
      co_await state.in_flight.events->Pop(TimeUntil(limit));
  if (event) {
    co_return co_await OnEvent(state, *event);
  }
  const time_point now = MonotonicNow();
  if (now >= state.context.deadline) {
    const attempt_result timed_out = co_await CancelAtDeadline(state);
    co_return timed_out;
  }
  if (state.outcome_deadline && now >= *state.outcome_deadline) {
    attempt_result result;
    result.problem = error{error_kind::kOutcomeUnknown,
                           "the link to the upstream was lost and the agent "
                           "did not report the outcome of the call in time"};
    co_return result;
  }
  const auto actions = state.assembler.Handle(tick{}, now);
  co_return co_await ApplyActions(state, actions);
}

awaitable<request_forwarder::optional_result> request_forwarder::OnEvent(
    forwarding_state& state,
    attempt_event& event) {
  if (const auto* report = std::get_if<fate_message>(&event)) {
    co_return OnOutcomeReport(state, *report);
  }
  if (std::holds_alternative<link_lost>(event)) {
    co_return OnLinkLost(state);
  }
  if (const auto* link = std::get_if<link_restored>(&event)) {
    co_return OnLinkRestored(state, *link);
  }
  std::vector<answer_assembler::action> actions;
  const time_point now = MonotonicNow();
  if (auto* part = std::get_if<answer_part_message>(&event)) {
    delivery::part_received next{part->attempt, part->offset, part->version,
                                 std::move(part->data)};
    actions = state.assembler.Handle(next, now);
  } else {
    const auto& end = std::get<answer_end_message>(event);
    if (end.attempt == state.attempt && end.failed) {
      co_return OnAnswerEnd(state, end);
    }
    if (end.attempt == state.attempt) {
      state.context.content_type = end.content_type;
    }
    delivery::end_received last;
    last.attempt = end.attempt;
    last.result.parts = end.parts;
    last.result.status = end.http_status;
    actions = state.assembler.Handle(last, now);
  }
  co_return co_await ApplyActions(state, actions);
}

request_forwarder::optional_result request_forwarder::OnAnswerEnd(
    forwarding_state& state,
    const answer_end_message& end) {
  send_(state.in_flight.upstream, acknowledge_message{end.attempt});
  attempt_result result;
  result.problem = error{end.problem, end.detail};
  result.known_outcome = end.conclusion;
  if (state.outcome_deadline && end.conclusion == outcome::kNotRun) {
    // The attempt was lost with the link: the outcome query reached the agent
    // first, and the agent therefore refused the attempt.
    result.problem =
        error{error_kind::kNoUpstream, "the link to the upstream was lost"};
  }
  return result;
}

request_forwarder::optional_result request_forwarder::OnOutcomeReport(
    forwarding_state& state,
    const fate_message& report) {
  if (report.attempt != state.attempt || !state.outcome_deadline) {
    return std::nullopt;
  }
  attempt_result result;
  switch (report.fate) {
    case attempt_fate::kRefused:
      result.problem =
          error{error_kind::kNoUpstream, "the link to the upstream was lost"};
      result.known_outcome = outcome::kNotRun;
      return result;
    case attempt_fate::kUnknown:
      result.problem = error{error_kind::kOutcomeUnknown,
                             "the agent has no record of the call"};
      return result;
    case attempt_fate::kQueued:
    case attempt_fate::kRunning:
    case attempt_fate::kCompleted:
      break;
  }
  state.outcome_deadline.reset();  // The agent sends the parts next.
  return std::nullopt;
}

request_forwarder::optional_result request_forwarder::OnLinkLost(
    forwarding_state& state) {
  attempt_result result;
  result.problem =
      error{error_kind::kUpstreamFailed, "the link to the upstream was lost"};
  if (IsIdempotent(state.context)) {
    return result;
  }
  const retry_controller::action decision = DecideRetry(state, result);
  if (!std::holds_alternative<retry_controller::query_outcome>(decision)) {
    result.final = true;
    return result;
  }
  state.outcome_deadline = MonotonicNow() + kOutcomeQueryTimeout;
  return std::nullopt;
}

request_forwarder::optional_result request_forwarder::OnLinkRestored(
    forwarding_state& state,
    const link_restored& link) {
  if (link.incarnation != state.in_flight.incarnation) {
    // A restarted agent has no record of the attempt and would report it as
    // refused, although the previous process may have run it.
    attempt_result result;
    result.problem =
        error{IsIdempotent(state.context) ? error_kind::kUpstreamFailed
                                          : error_kind::kOutcomeUnknown,
              "the agent was restarted"};
    return result;
  }
  state.outcome_deadline = MonotonicNow() + kOutcomeQueryTimeout;
  process_.Record(event_kind::kFateQueried,
                  {{"upstream", state.in_flight.upstream.value()},
                   {"attempt", std::to_string(state.attempt.number)}},
                  state.context.id, state.context.workspace);
  send_(state.in_flight.upstream,
        query_fate_message{state.attempt, state.assembler.next_offset()});
  return std::nullopt;
}

void request_forwarder::RecordFirstPart(const forwarding_state& state) {
  const request_context& context = state.context;
  if (context.parts != 1) {
    return;
  }
  const duration latency = MonotonicNow() - context.arrival;
  process_.metrics().ObserveSeconds("fireflyslip_first_part_seconds",
                                    RankLabel(context), ToSeconds(latency));
  retries_.Handle(retry_controller::answered{context.id, latency});
}

awaitable<request_forwarder::optional_result> request_forwarder::ApplyActions(
    forwarding_state& state,
    const std::vector<answer_assembler::action>& actions) {
  request_context& context = state.context;
  optional_result ended;
  bool caller_disconnected = false;
  for (const answer_assembler::action& action : actions) {
    if (const auto* part = std::get_if<delivery::forward_to_caller>(&action)) {
      if (caller_disconnected) {
        continue;
      }
      state.outcome_deadline.reset();
      state.version = part->version;
      ++context.parts;
      RecordFirstPart(state);
      const bool written = co_await state.writer.WritePart(part->data);
      caller_disconnected = !written;
    } else if (const auto* finish = std::get_if<delivery::finish>(&action)) {
      context.http_status = finish->status;
      ended.emplace();
      ended->ended = attempt_result::kind::kFinished;
    } else if (const auto* fail = std::get_if<delivery::fail>(&action)) {
      ended.emplace();
      ended->problem = error{fail->kind, fail->detail};
      ended->known_outcome = fail->result;
      ended->final = true;
    } else if (std::holds_alternative<delivery::resume_on_another_upstream>(
                   action)) {
      ended.emplace();
      ended->problem = error{error_kind::kUpstreamFailed,
                             "the upstream sent an unusable answer"};
      ended->abandoned = true;
    } else if (const auto* done = std::get_if<delivery::acknowledge>(&action)) {
      send_(state.in_flight.upstream, acknowledge_message{done->attempt});
    } else if (const auto* stop =
                   std::get_if<delivery::cancel_attempt>(&action)) {
      send_(state.in_flight.upstream, cancel_message{stop->attempt});
    }
  }
  if (caller_disconnected) {
    if (!ended) {
      send_(state.in_flight.upstream, cancel_message{state.attempt});
    }
    ended.emplace();
    ended->ended = attempt_result::kind::kCallerDisconnected;
    ended->problem =
        error{error_kind::kOutcomeUnknown, "the caller disconnected"};
  }
  co_return ended;
}

awaitable<request_forwarder::attempt_result>
request_forwarder::CancelAtDeadline(forwarding_state& state) {
  process_.Record(
      event_kind::kAttemptCancelled,
      {{"reason", "deadline"}, {"upstream", state.in_flight.upstream.value()}},
      state.context.id, state.context.workspace);
  send_(state.in_flight.upstream, cancel_message{state.attempt});
  attempt_result result;
  result.ended = attempt_result::kind::kTimedOut;
  const time_point limit = MonotonicNow() + kCancelConfirmationTimeout;
  while (MonotonicNow() < limit) {
    std::optional<attempt_event> event =
        co_await state.in_flight.events->Pop(TimeUntil(limit));
    if (!event) {
      continue;
    }
    const auto* end = std::get_if<answer_end_message>(&*event);
    const auto* report = std::get_if<fate_message>(&*event);
    if (end != nullptr) {
      send_(state.in_flight.upstream, acknowledge_message{end->attempt});
    }
    if (end != nullptr && end->attempt == state.attempt) {
      if (end->failed) {
        result.known_outcome = end->conclusion;
      }
      break;
    }
    if (report != nullptr && report->attempt == state.attempt &&
        report->fate == attempt_fate::kRefused) {
      result.known_outcome = outcome::kNotRun;
      break;
    }
  }
  co_return result;
}

}  // namespace fireflyslip
