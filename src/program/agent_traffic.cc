#include "program/agent_traffic.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

namespace fireflyslip {
namespace {

using boost::asio::awaitable;

}  // namespace

agent_traffic::agent_traffic(io_thread& thread,
                             process_context& process,
                             send_function send)
    : thread_(thread),
      process_(process),
      send_(std::move(send)),
      timers_(thread.context()),
      client_(thread.context()) {}

void agent_traffic::Start() {
  timers_.SubscribePeriodic(process_.settings().load_report_interval,
                            [this] { SendLoad(); });
}

void agent_traffic::Drain() {
  draining_ = true;
}

void agent_traffic::OnPeerConnected(const hello_message& peer) {
  if (peer.role == ToString(process_role::kEntry)) {
    entries_.insert(peer.vm);
    SendLoad();
  }
}

void agent_traffic::OnPeerLost(const vm_id& peer) {
  entries_.erase(peer);
}

void agent_traffic::OnMessage(const vm_id& peer, link_message message) {
  std::visit(overloaded{
                 [&](attempt_message& attempt) {
                   OnAttempt(peer, std::move(attempt));
                 },
                 [&](cancel_message& cancel) {
                   const auto found = running_.find(cancel.attempt);
                   if (found != running_.end()) {
                     found->second.call->Cancel();
                   }
                 },
                 [](auto&) {},
             },
             message);
}

void agent_traffic::OnAttempt(const vm_id& entry, attempt_message message) {
  const attempt_id id = message.attempt;
  if (running_.contains(id)) {
    return;
  }
  const endpoint& upstream = *process_.settings().upstream;
  process_.Record(event_kind::kAttemptReceived, {{"entry", entry.value()}},
                  id.request, message.workspace);
  running_[id] = {entry, std::move(message), 0,
                  std::make_unique<upstream_call>(
                      client_, http_endpoint{upstream.address, upstream.port})};
  boost::asio::co_spawn(thread_.context(), Run(id), boost::asio::detached);
}

awaitable<void> agent_traffic::Run(attempt_id attempt) {
  running_attempt& running = running_.at(attempt);
  const attempt_message& message = running.message;
  const auto on_part = [this, &running](const model_version& version,
                                        std::string data) {
    send_(running.entry,
          answer_part_message{running.message.attempt, running.parts++, version,
                              std::move(data)});
  };
  const result<upstream_result> ended = co_await running.call->Run(
      message, milliseconds(message.deadline_ms), on_part);
  answer_end_message end;
  end.attempt = attempt;
  if (IsOk(ended)) {
    const upstream_result& answer = ValueOf(ended);
    if (message.model.empty()) {
      on_part({}, answer.body);
    }
    end.http_status = answer.http_status;
    end.content_type = answer.content_type;
  } else {
    end.failed = true;
    end.problem = ErrorOf(ended).kind;
    end.detail = ErrorOf(ended).detail;
    end.conclusion = AnswerFor(end.problem).default_outcome;
  }
  end.parts = running.parts;
  process_.Record(event_kind::kAttemptEnded,
                  {{"parts", std::to_string(running.parts)}}, attempt.request,
                  message.workspace);
  send_(running.entry, std::move(end));
  running_.erase(attempt);
}

void agent_traffic::SendLoad() {
  load_report_message report;
  report.running = running_.size();
  report.accepts_work = !draining_;
  for (const vm_id& entry : entries_) {
    send_(entry, report);
  }
}

}  // namespace fireflyslip
