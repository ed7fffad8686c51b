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

// Time for a lost link to return and for the agent to say what became of a
// non-idempotent attempt. A silent link is closed after 3 s and opened again.
constexpr duration kFateWait = seconds(5);

// After the deadline, the agent may still confirm that a queued attempt was
// removed, so that the answer is `not_run` instead of `unknown`.
constexpr duration kCancelWait = milliseconds(200);

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

error LateError(const request_context& context) {
  return context.may_have_run ? error{error_kind::kOutcomeUnknown,
                                      "no complete answer before the deadline"}
                              : error{error_kind::kDeadlineExceeded,
                                      "not run before the deadline"};
}

error CrashError() {
  return {error_kind::kRequestCrashesUpstream,
          "the request crashed the upstreams that ran it"};
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
               [this](const auto& action) { decided_ = action; }) {}

void request_forwarder::OnAgentConnected(const vm_id& agent,
                                         incarnation_number incarnation) {
  for (auto& [request, open] : open_) {
    if (open.upstream == agent) {
      open.events->Push(link_returned{incarnation});
    }
  }
}

void request_forwarder::OnAgentLost(const vm_id& agent) {
  for (auto& [request, open] : open_) {
    if (open.upstream == agent) {
      open.events->Push(link_lost{});
    }
  }
}

request_forwarder::open_request* request_forwarder::FindOpen(
    const vm_id& agent,
    const attempt_id& attempt) {
  const auto found = open_.find(attempt.request);
  return found != open_.end() && found->second.upstream == agent
             ? &found->second
             : nullptr;
}

void request_forwarder::OnMessage(const vm_id& agent,
                                  answer_part_message message) {
  if (open_request* open = FindOpen(agent, message.attempt)) {
    open->events->Push(std::move(message));
  }
}

void request_forwarder::OnMessage(const vm_id& agent,
                                  answer_end_message message) {
  if (open_request* open = FindOpen(agent, message.attempt)) {
    open->events->Push(std::move(message));
    return;
  }
  // Nobody waits for this answer, so the agent may free it.
  process_.Record(event_kind::kAnswerDropped, {{"upstream", agent.value()}},
                  message.attempt.request);
  send_(agent, acknowledge_message{message.attempt});
}

void request_forwarder::OnMessage(const vm_id& agent,
                                  const fate_message& message) {
  if (open_request* open = FindOpen(agent, message.attempt)) {
    open->events->Push(message);
  }
}

awaitable<status> request_forwarder::Forward(request_context& context,
                                             answer_writer& writer) {
  open_request& open = open_[context.id];
  open.upstream = context.upstream;
  open.events = std::make_unique<async_queue<attempt_event>>(context_);
  // The rank is not passed on: urgent requests would be hedged, which is not
  // supported by the forwarding of answers yet.
  retries_.Handle(retry_controller::first_attempt{context.id, context.workspace,
                                                  request_rank::kStandard,
                                                  IsIdempotent(context)});
  forwarding run{
      context, writer,
      open,    answer_assembler(context.id, AssemblerSettings(context)),
      {},      {},
      {},      {}};
  const status ended = co_await Run(run);
  open_.erase(context.id);
  retries_.Handle(retry_controller::answered{context.id, std::nullopt});
  co_return ended;
}

awaitable<status> request_forwarder::Run(forwarding& run) {
  request_context& context = run.context;
  while (true) {
    const attempt_result result = co_await RunAttempt(run);
    const bool not_run = result.ended != attempt_result::kind::kFinished &&
                         result.known == outcome::kNotRun;
    context.may_have_run = context.may_have_run || !not_run;
    upstreams_.OnEnded(context, run.open.upstream,
                       result.ended == attempt_result::kind::kFailed &&
                           result.known == outcome::kUnknown);
    switch (result.ended) {
      case attempt_result::kind::kFinished:
        crashes_.OnCompleted(context.fingerprint);
        co_return std::monostate();
      case attempt_result::kind::kCallerLeft:
        process_.Record(event_kind::kAttemptCancelled,
                        {{"reason", "caller left"}}, context.id,
                        context.workspace);
        co_return Conclude(run, result.problem);
      case attempt_result::kind::kTimedOut:
        co_return Conclude(run, LateError(context));
      case attempt_result::kind::kFailed:
        break;
    }
    if (result.known == outcome::kCompleted) {
      context.known_outcome = outcome::kCompleted;
      co_return result.problem;
    }
    if (result.final) {
      co_return Conclude(run, result.problem);
    }
    const status prepared = co_await PrepareNext(run, result);
    if (!IsOk(prepared)) {
      co_return Conclude(run, ErrorOf(prepared));
    }
  }
}

error request_forwarder::Conclude(forwarding& run, error problem) {
  run.context.known_outcome =
      run.context.may_have_run ? outcome::kUnknown : outcome::kNotRun;
  return problem;
}

retry_controller::action request_forwarder::Decide(
    const forwarding& run,
    const attempt_result& failed) {
  const request_context& context = run.context;
  const std::uint64_t forwarded = run.assembler.next_offset();
  retry_controller::attempt_failed event;
  event.request = context.id;
  event.workspace = context.workspace;
  event.attempt = context.attempts - 1;
  event.known_outcome = failed.known;
  event.kind = failed.problem.kind;
  event.idempotent = IsIdempotent(context);
  event.bytes_forwarded = forwarded;
  event.resumable =
      !context.response_started ||
      (run.version && upstreams_.IsServed(context.model, *run.version));
  event.remaining = TimeUntil(context.deadline);
  decided_.reset();
  retries_.Handle(event);
  if (!decided_) {
    return retry_controller::give_up{context.id, failed.problem.kind};
  }
  return *decided_;
}

std::optional<error> request_forwarder::Abandon(forwarding& run,
                                                const attempt_result& failed) {
  if (failed.abandoned) {
    return std::nullopt;
  }
  const bool never_ran = failed.known == outcome::kNotRun;
  const delivery::attempt_lost lost{run.attempt, never_ran};
  for (const auto& action : run.assembler.Handle(lost, MonotonicNow())) {
    if (const auto* fail = std::get_if<delivery::fail>(&action)) {
      return error{fail->kind, failed.problem.detail};
    }
  }
  return std::nullopt;
}

void request_forwarder::RestartIfNotResumable(forwarding& run) {
  request_context& context = run.context;
  if (!run.version || context.response_started ||
      upstreams_.IsServed(context.model, *run.version)) {
    return;
  }
  // Nothing was sent to the caller, so any version may answer from the start.
  run.assembler = answer_assembler(context.id, AssemblerSettings(context));
  run.version.reset();
  run.writer.Restart();
  context.parts = 0;
}

void request_forwarder::RecordRetry(const forwarding& run,
                                    const error& reason) {
  process_.metrics().Count("fireflyslip_retries_total", RankLabel(run.context));
  process_.Record(event_kind::kRetryScheduled,
                  {{"after", std::string(ErrorResponseFor(reason.kind).name)},
                   {"failed", run.open.upstream.value()}},
                  run.context.id, run.context.workspace);
}

awaitable<status> request_forwarder::PrepareNext(forwarding& run,
                                                 const attempt_result& failed) {
  request_context& context = run.context;
  attempt_result reason = failed;
  run.excluded.insert(run.open.upstream);
  bool is_abandoned = false;
  while (true) {
    if (crashes_.IsBlocked(context.fingerprint)) {
      co_return CrashError();
    }
    const retry_controller::action decision = Decide(run, reason);
    const auto* retry =
        std::get_if<retry_controller::schedule_retry>(&decision);
    if (retry == nullptr) {
      co_return reason.problem;
    }
    if (!is_abandoned) {
      is_abandoned = true;
      if (const auto stopped = Abandon(run, failed)) {
        co_return *stopped;
      }
    }
    RecordRetry(run, reason.problem);
    co_await Sleep(retry->delay);
    if (crashes_.IsBlocked(context.fingerprint)) {
      co_return CrashError();
    }
    RestartIfNotResumable(run);
    const result<vm_id> next =
        upstreams_.Route(context, run.excluded, run.version);
    if (IsOk(next)) {
      run.open.upstream = ValueOf(next);
      co_return std::monostate();
    }
    // Counts as an attempt, so that the controller bounds the number of tries.
    ++context.attempts;
    reason.problem = ErrorOf(next);
    reason.known = outcome::kNotRun;
  }
}

awaitable<void> request_forwarder::Sleep(duration delay) {
  boost::asio::steady_timer timer(context_);
  timer.expires_after(delay);
  boost::system::error_code ignored;
  co_await timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

attempt_message request_forwarder::MakeAttempt(const forwarding& run) const {
  const request_context& context = run.context;
  attempt_message message;
  message.attempt = run.attempt;
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
  message.resume_offset = run.assembler.next_offset();
  message.resume_version = run.version.value_or(model_version());
  message.suspect = crashes_.IsSuspect(context.fingerprint);
  message.fingerprint = context.fingerprint;
  return message;
}

void request_forwarder::SendAttempt(forwarding& run) {
  request_context& context = run.context;
  run.attempt = {context.id, ++context.attempts};
  run.fate_deadline.reset();
  run.assembler.Handle(
      delivery::attempt_sent{run.attempt, run.assembler.next_offset()},
      MonotonicNow());
  run.open.incarnation =
      upstreams_.IncarnationOf(run.open.upstream).value_or(0);
  run.open.events = std::make_unique<async_queue<attempt_event>>(context_);
  process_.metrics().Count("fireflyslip_attempts_total", RankLabel(context));
  process_.Record(event_kind::kAttemptSent,
                  {{"upstream", run.open.upstream.value()},
                   {"attempt", std::to_string(run.attempt.number)},
                   {"offset", std::to_string(run.assembler.next_offset())}},
                  context.id, context.workspace);
  send_(run.open.upstream, MakeAttempt(run));
}

awaitable<request_forwarder::attempt_result> request_forwarder::RunAttempt(
    forwarding& run) {
  SendAttempt(run);
  while (true) {
    step ended = co_await Wait(run);
    if (ended) {
      co_return *ended;
    }
  }
}

awaitable<request_forwarder::step> request_forwarder::Wait(forwarding& run) {
  time_point limit = run.context.deadline;
  if (run.fate_deadline) {
    limit = std::min(limit, *run.fate_deadline);
  }
  if (const auto gap = run.assembler.NextDeadline()) {
    limit = std::min(limit, *gap);
  }
  std::optional<attempt_event> event =
      co_await run.open.events->Pop(TimeUntil(limit));
  if (event) {
    co_return co_await OnEvent(run, *event);
  }
  const time_point now = MonotonicNow();
  if (now >= run.context.deadline) {
    const attempt_result late = co_await CancelLate(run);
    co_return late;
  }
  if (run.fate_deadline && now >= *run.fate_deadline) {
    attempt_result result;
    result.problem = error{error_kind::kOutcomeUnknown,
                           "the link to the upstream was lost and the agent "
                           "did not say what became of the call"};
    co_return result;
  }
  const auto actions = run.assembler.Handle(tick{}, now);
  co_return co_await Carry(run, actions);
}

awaitable<request_forwarder::step> request_forwarder::OnEvent(
    forwarding& run,
    attempt_event& event) {
  if (const auto* fate = std::get_if<fate_message>(&event)) {
    co_return OnFate(run, *fate);
  }
  if (std::holds_alternative<link_lost>(event)) {
    co_return OnLinkLost(run);
  }
  if (const auto* link = std::get_if<link_returned>(&event)) {
    co_return OnLinkReturned(run, *link);
  }
  std::vector<answer_assembler::action> actions;
  const time_point now = MonotonicNow();
  if (auto* part = std::get_if<answer_part_message>(&event)) {
    delivery::part_received next{part->attempt, part->offset, part->version,
                                 std::move(part->data)};
    actions = run.assembler.Handle(next, now);
  } else {
    const auto& end = std::get<answer_end_message>(event);
    if (end.attempt == run.attempt && end.failed) {
      co_return OnEnd(run, end);
    }
    if (end.attempt == run.attempt) {
      run.context.content_type = end.content_type;
    }
    delivery::end_received last;
    last.attempt = end.attempt;
    last.result.parts = end.parts;
    last.result.status = end.http_status;
    actions = run.assembler.Handle(last, now);
  }
  co_return co_await Carry(run, actions);
}

request_forwarder::step request_forwarder::OnEnd(
    forwarding& run,
    const answer_end_message& end) {
  send_(run.open.upstream, acknowledge_message{end.attempt});
  attempt_result result;
  result.problem = error{end.problem, end.detail};
  result.known = end.conclusion;
  if (run.fate_deadline && end.conclusion == outcome::kNotRun) {
    // The refusal results from the query: the attempt had not arrived.
    result.problem =
        error{error_kind::kNoUpstream, "the link to the upstream was lost"};
  }
  return result;
}

request_forwarder::step request_forwarder::OnFate(forwarding& run,
                                                  const fate_message& fate) {
  if (fate.attempt != run.attempt || !run.fate_deadline) {
    return std::nullopt;
  }
  attempt_result result;
  switch (fate.fate) {
    case attempt_fate::kRefused:
      result.problem =
          error{error_kind::kNoUpstream, "the link to the upstream was lost"};
      result.known = outcome::kNotRun;
      return result;
    case attempt_fate::kUnknown:
      result.problem = error{error_kind::kOutcomeUnknown,
                             "the agent does not know the call any more"};
      return result;
    case attempt_fate::kQueued:
    case attempt_fate::kRunning:
    case attempt_fate::kCompleted:
      break;
  }
  run.fate_deadline.reset();  // The parts follow.
  return std::nullopt;
}

request_forwarder::step request_forwarder::OnLinkLost(forwarding& run) {
  attempt_result result;
  result.problem =
      error{error_kind::kUpstreamFailed, "the link to the upstream was lost"};
  if (IsIdempotent(run.context)) {
    return result;
  }
  const retry_controller::action decision = Decide(run, result);
  if (!std::holds_alternative<retry_controller::query_outcome>(decision)) {
    result.final = true;
    return result;
  }
  run.fate_deadline = MonotonicNow() + kFateWait;
  return std::nullopt;
}

request_forwarder::step request_forwarder::OnLinkReturned(
    forwarding& run,
    const link_returned& link) {
  if (link.incarnation != run.open.incarnation) {
    // The new process would refuse the attempt that the old one may have run.
    attempt_result result;
    result.problem =
        error{IsIdempotent(run.context) ? error_kind::kUpstreamFailed
                                        : error_kind::kOutcomeUnknown,
              "the agent was restarted"};
    return result;
  }
  run.fate_deadline = MonotonicNow() + kFateWait;
  process_.Record(event_kind::kFateQueried,
                  {{"upstream", run.open.upstream.value()},
                   {"attempt", std::to_string(run.attempt.number)}},
                  run.context.id, run.context.workspace);
  send_(run.open.upstream,
        query_fate_message{run.attempt, run.assembler.next_offset()});
  return std::nullopt;
}

void request_forwarder::CountFirstPart(const forwarding& run) {
  const request_context& context = run.context;
  if (context.parts != 1) {
    return;
  }
  const duration latency = MonotonicNow() - context.arrival;
  process_.metrics().ObserveSeconds("fireflyslip_first_part_seconds",
                                    RankLabel(context), ToSeconds(latency));
  retries_.Handle(retry_controller::answered{context.id, latency});
}

awaitable<request_forwarder::step> request_forwarder::Carry(
    forwarding& run,
    const std::vector<answer_assembler::action>& actions) {
  request_context& context = run.context;
  step ended;
  bool caller_left = false;
  for (const answer_assembler::action& action : actions) {
    if (const auto* part = std::get_if<delivery::forward_to_caller>(&action)) {
      if (caller_left) {
        continue;
      }
      run.fate_deadline.reset();
      run.version = part->version;
      ++context.parts;
      CountFirstPart(run);
      const bool written = co_await run.writer.Part(part->data);
      caller_left = !written;
    } else if (const auto* finish = std::get_if<delivery::finish>(&action)) {
      context.http_status = finish->status;
      ended.emplace();
      ended->ended = attempt_result::kind::kFinished;
    } else if (const auto* fail = std::get_if<delivery::fail>(&action)) {
      ended.emplace();
      ended->problem = error{fail->kind, fail->detail};
      ended->known = fail->result;
      ended->final = true;
    } else if (std::holds_alternative<delivery::resume_on_another_upstream>(
                   action)) {
      ended.emplace();
      ended->problem = error{error_kind::kUpstreamFailed,
                             "the answer of the upstream is not usable"};
      ended->abandoned = true;
    } else if (const auto* done = std::get_if<delivery::acknowledge>(&action)) {
      send_(run.open.upstream, acknowledge_message{done->attempt});
    } else if (const auto* stop =
                   std::get_if<delivery::cancel_attempt>(&action)) {
      send_(run.open.upstream, cancel_message{stop->attempt});
    }
  }
  if (caller_left) {
    if (!ended) {
      send_(run.open.upstream, cancel_message{run.attempt});
    }
    ended.emplace();
    ended->ended = attempt_result::kind::kCallerLeft;
    ended->problem = error{error_kind::kOutcomeUnknown, "the caller left"};
  }
  co_return ended;
}

awaitable<request_forwarder::attempt_result> request_forwarder::CancelLate(
    forwarding& run) {
  process_.Record(
      event_kind::kAttemptCancelled,
      {{"reason", "deadline"}, {"upstream", run.open.upstream.value()}},
      run.context.id, run.context.workspace);
  send_(run.open.upstream, cancel_message{run.attempt});
  attempt_result result;
  result.ended = attempt_result::kind::kTimedOut;
  const time_point limit = MonotonicNow() + kCancelWait;
  while (MonotonicNow() < limit) {
    std::optional<attempt_event> event =
        co_await run.open.events->Pop(TimeUntil(limit));
    if (!event) {
      continue;
    }
    const auto* end = std::get_if<answer_end_message>(&*event);
    const auto* fate = std::get_if<fate_message>(&*event);
    if (end != nullptr) {
      send_(run.open.upstream, acknowledge_message{end->attempt});
    }
    if (end != nullptr && end->attempt == run.attempt) {
      if (end->failed) {
        result.known = end->conclusion;
      }
      break;
    }
    if (fate != nullptr && fate->attempt == run.attempt &&
        fate->fate == attempt_fate::kRefused) {
      result.known = outcome::kNotRun;
      break;
    }
  }
  co_return result;
}

}  // namespace fireflyslip
