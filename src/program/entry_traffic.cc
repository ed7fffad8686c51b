#include "program/entry_traffic.h"

#include <algorithm>
#include <utility>

namespace fireflyslip {
namespace {

using boost::asio::awaitable;

milliseconds TimeLeft(time_point deadline) {
  return std::max(
      std::chrono::duration_cast<milliseconds>(deadline - MonotonicNow()),
      milliseconds(0));
}

}  // namespace

entry_traffic::entry_traffic(io_thread& thread,
                             process_context& process,
                             send_function send)
    : thread_(thread),
      process_(process),
      send_(std::move(send)),
      server_(thread.context(),
              http_limits{},
              [this](http_request request, response_writer& writer) {
                return Serve(std::move(request), writer);
              }) {}

status entry_traffic::Start() {
  const endpoint& listen = *process_.settings().listen;
  const auto port = server_.Listen({listen.address, listen.port});
  if (!IsOk(port)) {
    return ErrorOf(port);
  }
  return std::monostate();
}

void entry_traffic::Drain() {
  server_.Drain();
}

void entry_traffic::OnPeerConnected(const hello_message& peer) {
  if (peer.role == ToString(process_role::kAgent)) {
    upstreams_[peer.vm] = {};
  }
}

void entry_traffic::OnPeerLost(const vm_id& peer) {
  upstreams_.erase(peer);
  for (auto& [attempt, open] : attempts_) {
    if (open.upstream == peer) {
      open.events->Push(attempt_lost{});
    }
  }
}

void entry_traffic::OnMessage(const vm_id& peer, link_message message) {
  const auto to_attempt = [this](auto&& event) {
    const auto found = attempts_.find(event.attempt);
    if (found != attempts_.end()) {
      found->second.events->Push(std::forward<decltype(event)>(event));
    }
  };
  std::visit(
      overloaded{
          [&](answer_part_message& part) { to_attempt(part); },
          [&](answer_end_message& end) { to_attempt(end); },
          [&](fate_message& fate) { to_attempt(fate); },
          [&](load_report_message& load) { upstreams_[peer].load = load; },
          [&](leaving_message&) { upstreams_[peer].leaving = true; },
          [](auto&) {},
      },
      message);
}

const std::array<entry_traffic::filter, 2> entry_traffic::kFilters = {
    &entry_traffic::Identify,
    &entry_traffic::Forward,
};

awaitable<status> entry_traffic::RunFilter(std::size_t step,
                                           request_context& context,
                                           answer_writer& writer) {
  return (this->*kFilters[step])(context, writer);
}

awaitable<void> entry_traffic::Serve(http_request request,
                                     response_writer& writer) {
  request_context context;
  context.id = {process_.settings().vm, process_.incarnation(),
                ++last_sequence_};
  context.arrival = MonotonicNow();
  context.request = std::move(request);
  context.snapshot = snapshot_;
  process_.Record(event_kind::kRequestReceived,
                  {{"path", std::string(context.request.path())}}, context.id);
  answer_writer answer(context, writer);
  status passed;
  for (std::size_t step = 0; IsOk(passed) && step < kFilters.size(); ++step) {
    passed = co_await RunFilter(step, context, answer);
  }
  if (!IsOk(passed)) {
    co_await answer.Fail(ErrorOf(passed));
  }
  RecordEnd(context, passed);
}

void entry_traffic::RecordEnd(const request_context& context,
                              const status& ended) {
  const double elapsed = ToSeconds(MonotonicNow() - context.arrival);
  const std::string answer =
      IsOk(ended) ? "ok" : std::string(AnswerFor(ErrorOf(ended).kind).name);
  process_.metrics().ObserveSeconds(
      "fireflyslip_request_seconds",
      {{"rank", std::string(ToString(context.rank))}, {"answer", answer}},
      elapsed);
  process_.Record(event_kind::kRequestAnswered, {{"answer", answer}},
                  context.id, context.workspace);
}

awaitable<status> entry_traffic::Identify(request_context& context,
                                          answer_writer& /*writer*/) {
  co_return IdentifyRequest(context);
}

awaitable<status> entry_traffic::Forward(request_context& context,
                                         answer_writer& writer) {
  const result<vm_id> upstream = SelectUpstream(context);
  if (!IsOk(upstream)) {
    co_return ErrorOf(upstream);
  }
  co_return co_await RunAttempt(context, ValueOf(upstream), writer);
}

result<vm_id> entry_traffic::SelectUpstream(
    const request_context& context) const {
  const configuration& current = context.snapshot->configuration;
  std::vector<upstream_id> candidates =
      context.model.empty() ? current.UpstreamsOf(context.service)
                            : current.UpstreamsOf(context.model);
  if (context.non_idempotent) {
    const auto home =
        HomeUpstream(JournalSlot(ScopedKey(context.workspace, context.key)),
                     context.service, candidates);
    candidates = home ? std::vector{*home} : std::vector<upstream_id>();
  }
  std::optional<vm_id> best;
  std::uint64_t least = 0;
  for (const upstream_id& candidate : candidates) {
    const vm_id vm(candidate.value());
    const auto found = upstreams_.find(vm);
    if (found == upstreams_.end() || found->second.leaving ||
        !found->second.load.accepts_work) {
      continue;
    }
    if (!best || found->second.outstanding < least) {
      best = vm;
      least = found->second.outstanding;
    }
  }
  if (!best) {
    return error{error_kind::kNoUpstream, "no upstream is connected"};
  }
  return *best;
}

attempt_message entry_traffic::MakeAttempt(const request_context& context,
                                           const attempt_id& attempt) const {
  attempt_message message;
  message.attempt = attempt;
  message.workspace = context.workspace;
  message.weight = context.weight;
  message.rank = context.rank;
  message.deadline_ms =
      static_cast<std::uint64_t>(TimeLeft(context.deadline).count());
  message.model = context.model;
  message.service = context.service;
  message.method = context.request.method;
  message.path = context.service_path;
  message.content_type = std::string(context.request.Field("Content-Type"));
  message.body = context.request.body;
  message.key = context.key;
  message.non_idempotent = context.non_idempotent;
  message.estimated_tokens = context.estimated_tokens;
  return message;
}

awaitable<status> entry_traffic::RunAttempt(request_context& context,
                                            const vm_id& upstream,
                                            answer_writer& writer) {
  const attempt_id attempt{context.id, ++context.attempts};
  open_attempt& open = attempts_[attempt];
  open.upstream = upstream;
  open.events = std::make_unique<async_queue<attempt_event>>(thread_.context());
  ++upstreams_[upstream].outstanding;
  process_.Record(event_kind::kAttemptSent, {{"upstream", upstream.value()}},
                  context.id, context.workspace);
  send_(upstream, MakeAttempt(context, attempt));
  status ended = error{error_kind::kOutcomeUnknown, "no answer in time"};
  while (true) {
    const auto event = co_await open.events->Pop(TimeLeft(context.deadline));
    if (!event || std::holds_alternative<attempt_lost>(*event)) {
      break;
    }
    if (const auto* part = std::get_if<answer_part_message>(&*event)) {
      ++context.parts;
      co_await writer.Part(part->data);
    }
    if (const auto* end = std::get_if<answer_end_message>(&*event)) {
      if (end->failed) {
        context.known_outcome = end->conclusion;
        ended = error{end->problem, end->detail};
      } else {
        co_await writer.Finish(end->http_status, end->content_type);
        ended = std::monostate();
      }
      break;
    }
  }
  attempts_.erase(attempt);
  const auto found = upstreams_.find(upstream);
  if (found != upstreams_.end() && found->second.outstanding > 0) {
    --found->second.outstanding;
  }
  co_return ended;
}

}  // namespace fireflyslip
